#include "check.h"

/* Newest version that the platform accepted longer ago than the grace. */
static const struct event *
due(const struct check *c, int64_t now)
{
	const struct event *e, *newest = NULL;
	uint32_t i;

	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		if (e->at + c->options->grace >= now)
			break;
		if (event_is(e, "write") && event_number(e, "status") == 200)
			newest = e;
	}
	return newest;
}

/* The daemon went by one version until now. */
static void
check_force(struct check *c, const struct event *said, const struct event *now)
{
	const struct event *accepted = due(c, now->at);

	if (!accepted)
		return;
	c->checked[RULE_CONFIG_FORCE]++;
	if (event_number(said, "version") < event_number(accepted, "version"))
		breach(c, RULE_CONFIG_FORCE, accepted, now, "who", said->who);
}

static void
check_next(struct check *c, GHashTable *last, const struct event *e)
{
	const struct event *before = g_hash_table_lookup(last, e->who);

	g_hash_table_insert(last, (void *)e->who, (void *)e);
	c->checked[RULE_CONFIG_BACK]++;
	if (!before)
		return;
	if (event_number(e, "version") < event_number(before, "version"))
		breach(c, RULE_CONFIG_BACK, before, e, "who", e->who);
	check_force(c, before, e);
}

void
rule_config(struct check *c)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);
	const struct event *e, *end;
	uint32_t i;

	if (!c->events->len)
		return;
	end = check_event(c, c->events->len - 1);
	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		if (event_is(e, "config"))
			check_next(c, last, e);
		if (event_is(e, "stop") || event_is(e, "killed"))
			g_hash_table_remove(last, event_is(e, "stop")
						      ? e->who
						      : event_get(e, "name"));
	}
	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		if (g_hash_table_lookup(last, e->who) == e)
			check_force(c, e, end);
	}
	g_hash_table_destroy(last);
}
