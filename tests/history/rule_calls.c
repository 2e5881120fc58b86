#include "check.h"

#include <string.h>

/* Ids of calls are unique within one load tool only. */
static char *
call_id(const struct event *e)
{
	return g_strdup_printf("%s %s", e->who, event_get(e, "id"));
}

/* Whether a call ended within nine tenths of its timeout. A later failure
 * counts as caused by the deadline, not by a stop that cut the call off. */
static int
before_deadline(const struct check *c, const struct event *call,
    const struct event *answer)
{
	int64_t timeout = c->options->timeout;

	return !timeout || answer->at - call->at < timeout / 10 * 9;
}

static void
check_answer(struct check *c, const struct event *call, const struct event *e)
{
	const char *outcome = event_get(e, "outcome");
	const char *key = event_get(e, "key");

	if (!call)
		call = e;
	if (!strcmp(outcome, "bad")) {
		c->checked[RULE_WHOLE_ANSWER]++;
		report_breach(c, RULE_WHOLE_ANSWER, call, e, "key", key);
	}
	if (!c->options->planned)
		return;
	c->checked[RULE_PLANNED_STOP]++;
	if ((!strcmp(outcome, "unknown") || !strcmp(outcome, "failed") ||
		!strcmp(outcome, "broken")) &&
	    before_deadline(c, call, e))
		report_breach(c, RULE_PLANNED_STOP, call, e, "key", key);
}

static int
compare_index(gconstpointer p, gconstpointer q)
{
	const struct event *a = p, *b = q;

	return a->index < b->index ? -1 : a->index > b->index;
}

/* Reports each call without an answer. Without a kill every call must end. */
static void
check_unanswered(struct check *c, GHashTable *open)
{
	GList *l, *left = g_hash_table_get_values(open);
	const struct event *call;

	left = g_list_sort(left, compare_index);
	for (l = left; l; l = l->next) {
		call = l->data;
		c->checked[RULE_PLANNED_STOP]++;
		report_breach(c, RULE_PLANNED_STOP, call,
		    check_event(c, c->events->len - 1), "key",
		    event_get(call, "key"));
	}
	g_list_free(left);
}

void
rule_calls(struct check *c)
{
	GHashTable *open =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const struct event *e;
	char *name;
	uint32_t i;

	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		if (check_is_direct(c, e))
			continue;
		name = call_id(e);
		if (event_is(e, "call"))
			g_hash_table_insert(open, g_strdup(name), (void *)e);
		if (event_is(e, "answer")) {
			check_answer(c, g_hash_table_lookup(open, name), e);
			g_hash_table_remove(open, name);
		}
		g_free(name);
	}
	if (c->options->planned)
		check_unanswered(c, open);
	g_hash_table_destroy(open);
}
