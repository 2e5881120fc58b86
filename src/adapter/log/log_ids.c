#include <string.h>

#include "adapter/log/log_impl.h"

#define LIST_BYTES 600 /* of the ids in one line */
#define ID_BYTES_MAX 64 /* of an id in a list; a longer one is cut */
#define OUTCOME_BYTES_MAX 24

/* Ids of requests that are to be written in one line of an event. */
struct id_list {
	char text[LIST_BYTES];
	size_t len;
	int64_t second; /* that lines counts lines of */
	int lines;
	int lost; /* ids over the rate since the last line */
};

static struct id_list lists[EVENT_REQUEST_LAST + 1 - EVENT_REQUEST_FIRST];
static GMutex lists_lock;

/* Writes the list; the lock is held. */
static void
put_list(struct id_list *l)
{
	char text[LIST_BYTES + 96];
	int n;

	n = g_snprintf(text, sizeof text, "event=%d requests=%.*s",
	    EVENT_REQUEST_FIRST + (int)(l - lists), (int)l->len, l->text);
	if (l->lost)
		g_snprintf(text + n, sizeof text - n, " ids_left_out=%d",
		    l->lost);
	l->lines++;
	l->len = 0;
	l->lost = 0;
	log_put_line(G_LOG_LEVEL_INFO, text);
}

/* Whether another id may be written in this second; the lock is held. */
static int
rate_allows(struct id_list *l, int64_t now)
{
	int64_t second = now / G_USEC_PER_SEC;

	if (l->second != second) {
		l->second = second;
		l->lines = 0;
	}
	return l->lines < ID_LINES_PER_S_MAX - 1; /* one is for the list */
}

/* Adds an id to the list; the lock is held. */
static void
append(struct id_list *l, const char *item, size_t n)
{
	if (l->len + n + 1 > LIST_BYTES)
		put_list(l);
	if (l->len)
		l->text[l->len++] = ',';
	memcpy(l->text + l->len, item, n);
	l->len += n;
}

void
log_request_id(enum event e, int64_t now, const char *id, const char *outcome)
{
	struct id_list *l = &lists[e - EVENT_REQUEST_FIRST];
	char item[ID_BYTES_MAX + OUTCOME_BYTES_MAX + 2];
	size_t n;
	int first, written;

	if (!log_level_enabled(G_LOG_LEVEL_INFO))
		return;
	n = (size_t)g_snprintf(item, sizeof item, "%.*s%s%.*s", ID_BYTES_MAX,
	    id, outcome ? "/" : "", OUTCOME_BYTES_MAX, outcome ? outcome : "");
	g_mutex_lock(&lists_lock);
	first = !l->len;
	written = rate_allows(l, now);
	if (written)
		append(l, item, n);
	else
		l->lost++;
	g_mutex_unlock(&lists_lock);
	if (first && written)
		log_sink_flush_ids();
}

void
log_ids_flush(void)
{
	size_t i;

	g_mutex_lock(&lists_lock);
	for (i = 0; i < G_N_ELEMENTS(lists); i++)
		if (lists[i].len || lists[i].lost)
			put_list(&lists[i]);
	g_mutex_unlock(&lists_lock);
}

/* Without the lock, which the thread that failed may hold. */
void
log_ids_dump(void)
{
	static const char head[] = " requests=";
	char text[sizeof head + LIST_BYTES];
	size_t i, n;

	memcpy(text, head, sizeof head - 1);
	for (i = 0; i < G_N_ELEMENTS(lists); i++) {
		n = MIN(lists[i].len, (size_t)LIST_BYTES);
		if (!n)
			continue;
		memcpy(text + sizeof head - 1, lists[i].text, n);
		log_fatal_line("level=info event=",
		    EVENT_REQUEST_FIRST + (enum event)i, text,
		    sizeof head - 1 + n);
	}
}
