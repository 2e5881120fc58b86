#include "check.h"

#include <string.h>

static char *
call_name(const struct event *e)
{
	return g_strdup_printf("%s %s", e->who, event_get(e, "id"));
}

/* A call that used up its deadline was not cut by a stop. */
static int
in_time(const struct check *c, const struct event *call,
    const struct event *answer)
{
	int64_t timeout = c->options->timeout;

	return !timeout || answer->at - call->at < timeout / 10 * 9;
}

static void
answered(struct check *c, const struct event *call, const struct event *e)
{
	const char *outcome = event_get(e, "outcome");
	const char *key = event_get(e, "key");

	if (!call)
		call = e;
	if (!strcmp(outcome, "bad")) {
		c->checked[RULE_WHOLE]++;
		breach(c, RULE_WHOLE, call, e, "key", key);
	}
	if (!c->options->planned)
		return;
	c->checked[RULE_STOP]++;
	if ((!strcmp(outcome, "unknown") || !strcmp(outcome, "failed") ||
		!strcmp(outcome, "broken")) &&
	    in_time(c, call, e))
		breach(c, RULE_STOP, call, e, "key", key);
}

static int
by_place(gconstpointer p, gconstpointer q)
{
	const struct event *a = p, *b = q;

	return a->index < b->index ? -1 : a->index > b->index;
}

/* Calls that never ended, though nothing was killed. */
static void
check_open(struct check *c, GHashTable *open)
{
	GList *l, *left = g_hash_table_get_values(open);
	const struct event *call;

	left = g_list_sort(left, by_place);
	for (l = left; l; l = l->next) {
		call = l->data;
		c->checked[RULE_STOP]++;
		breach(c, RULE_STOP, call, check_event(c, c->events->len - 1),
		    "key", event_get(call, "key"));
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
		if (check_straight(c, e))
			continue;
		name = call_name(e);
		if (event_is(e, "call"))
			g_hash_table_insert(open, g_strdup(name), (void *)e);
		if (event_is(e, "answer")) {
			answered(c, g_hash_table_lookup(open, name), e);
			g_hash_table_remove(open, name);
		}
		g_free(name);
	}
	if (c->options->planned)
		check_open(c, open);
	g_hash_table_destroy(open);
}
