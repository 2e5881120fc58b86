#include "check.h"

/* Last write that the platform accepted more than the grace before @now. */
static const struct event *
newest_due(const struct check *c, int64_t now)
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

/* Checks that the version that a daemon @reported and used until @now is not
 * older than one that must be in force by then. */
static void
check_in_force(struct check *c, const struct event *reported,
    const struct event *now)
{
	const struct event *accepted = newest_due(c, now->at);

	if (!accepted)
		return;
	c->checked[RULE_CONFIG_IN_FORCE]++;
	if (event_number(reported, "version") <
	    event_number(accepted, "version"))
		report_breach(c, RULE_CONFIG_IN_FORCE, accepted, now, "who",
		    reported->who);
}

static void
check_version(struct check *c, GHashTable *last, const struct event *e)
{
	const struct event *before = g_hash_table_lookup(last, e->who);

	g_hash_table_insert(last, (void *)e->who, (void *)e);
	c->checked[RULE_CONFIG_MONOTONIC]++;
	if (!before)
		return;
	if (event_number(e, "version") < event_number(before, "version"))
		report_breach(c, RULE_CONFIG_MONOTONIC, before, e, "who",
		    e->who);
	check_in_force(c, before, e);
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
			check_version(c, last, e);
		/* The version of a daemon that ended is not checked further. */
		if (event_is(e, "stop") || event_is(e, "killed"))
			g_hash_table_remove(last, event_is(e, "stop")
						      ? e->who
						      : event_get(e, "name"));
	}
	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		if (g_hash_table_lookup(last, e->who) == e)
			check_in_force(c, e, end);
	}
	g_hash_table_destroy(last);
}
