#include "line.h"

#include <stddef.h>

#include "http.h"

void
line_add(struct line *l, struct line_item *i)
{
	i->next = NULL;
	if (l->newest)
		l->newest->next = i;
	else
		l->first = i;
	l->newest = i;
	l->reading = i;
	l->n++;
}

void
line_remove(struct line *l, struct line_item *i)
{
	struct line_item **at = &l->first, *before = NULL;

	while (*at != i) {
		before = *at;
		at = &before->next;
	}
	*at = i->next;
	if (l->newest == i)
		l->newest = before;
	if (l->reading == i)
		l->reading = NULL;
	l->n--;
	i->next = NULL;
}

int
line_may_read(const struct line *l, int stopping)
{
	if (l->closing)
		return 0;
	if (!l->newest)
		return 1;
	return !stopping && l->newest->pipelinable && l->n < HTTP_PIPELINE_MAX;
}

int
line_may_run(const struct line *l)
{
	return !l->closing && (!l->newest || l->newest->keep_alive);
}

enum line_verdict
line_finish(struct line *l, struct line_item *i)
{
	i->open = 0;
	if (l->first != i) {
		i->whole = 1;
		return LINE_GO_ON;
	}
	line_remove(l, i);
	if (!i->keep_alive)
		return LINE_CLOSE;
	if (l->first)
		return LINE_NEXT;
	return l->closing ? LINE_CLOSE : LINE_GO_ON;
}

static enum line_verdict
end_broken(enum line_sent sent)
{
	if (sent == LINE_SENT_NONE)
		return LINE_ANSWER;
	return sent == LINE_SENT_PART ? LINE_CLOSE : LINE_RESET;
}

enum line_verdict
line_abort(struct line_item *i, enum line_sent sent)
{
	i->open = 0;
	return end_broken(sent);
}

enum line_verdict
line_fault(struct line *l, enum line_sent sent, int handed)
{
	struct line_item *i = l->reading;

	l->closing = 1;
	l->reading = NULL;
	if (!i && !handed)
		return LINE_REJECT;
	if (!i)
		return l->first ? LINE_GO_ON : LINE_CLOSE;
	i->keep_alive = 0;
	return i->whole ? LINE_GO_ON : end_broken(sent);
}

enum line_verdict
line_overrun(struct line *l)
{
	l->closing = 1;
	l->reading = NULL;
	return l->first ? LINE_GO_ON : LINE_CLOSE;
}

enum line_verdict
line_eof(const struct line *l, int partial)
{
	if (partial)
		return LINE_FAULT;
	return l->first ? LINE_PROBE : LINE_CLOSE;
}

enum line_verdict
line_timeout(int unsent, int partial)
{
	return !unsent && partial ? LINE_FAULT : LINE_DROP;
}
