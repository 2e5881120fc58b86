#include "check.h"

#include <string.h>

/* Events that have one Call-Key. */
struct key {
	const struct event *call;
	const struct event *first_run;
	const struct event *second_run;
	const struct event *not_run; /* last response "not-run" */
	const struct event *whole_answer; /* last answer "whole" */
	const struct event *last; /* last event of any kind */
};

static struct key *
key_get(GHashTable *keys, const char *name)
{
	struct key *k = g_hash_table_lookup(keys, name);

	if (!k) {
		k = g_new0(struct key, 1);
		g_hash_table_insert(keys, (void *)name, k);
	}
	return k;
}

static void
key_add_answer(struct check *c, struct key *k, const struct event *e)
{
	const char *outcome = event_get(e, "outcome");

	/* Status 0 is the load tool's own "not-run": it could not send the
	 * request and got no response. */
	if (!strcmp(outcome, "not-run") && event_number(e, "status") > 0) {
		c->checked[RULE_NOT_RUN]++;
		k->not_run = e;
	}
	if (strcmp(outcome, "whole"))
		return;
	c->checked[RULE_WHOLE_ANSWER]++;
	k->whole_answer = e;
}

static void
key_add_event(struct check *c, struct key *k, const struct event *e)
{
	k->last = e;
	if (event_is(e, "call") && !k->call)
		k->call = e;
	if (event_is(e, "answer"))
		key_add_answer(c, k, e);
	if (!event_is(e, "run"))
		return;
	if (!k->first_run)
		k->first_run = e;
	else if (!k->second_run)
		k->second_run = e;
}

static const struct event *
earlier(const struct event *a, const struct event *b)
{
	return !b || a->index < b->index ? a : b;
}

static const struct event *
later(const struct event *a, const struct event *b)
{
	return a->index < b->index ? b : a;
}

static void
check_key(struct check *c, const char *name, const struct key *k)
{
	if (k->call && !strcmp(event_get(k->call, "kind"), "once")) {
		c->checked[RULE_ONCE]++;
		if (k->second_run)
			report_breach(c, RULE_ONCE, k->first_run, k->second_run,
			    "key", name);
	}
	if (k->not_run && k->first_run)
		report_breach(c, RULE_NOT_RUN,
		    earlier(k->not_run, k->first_run),
		    later(k->not_run, k->first_run), "key", name);
	if (k->whole_answer &&
	    (!k->first_run || k->first_run->at > k->whole_answer->at))
		report_breach(c, RULE_WHOLE_ANSWER,
		    earlier(k->whole_answer, k->call),
		    later(k->whole_answer,
			k->first_run ? k->first_run : k->whole_answer),
		    "key", name);
}

void
rule_keys(struct check *c)
{
	GHashTable *keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const struct event *e;
	const char *name;
	struct key *k;
	uint32_t i;

	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		name = event_get(e, "key");
		if (!*name || !strcmp(name, "-") || check_is_direct(c, e))
			continue;
		key_add_event(c, key_get(keys, name), e);
	}
	/* Keys are checked in order of their last event, since the order of the
	 * hash table is not defined. */
	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		name = event_get(e, "key");
		k = g_hash_table_lookup(keys, name);
		if (k && k->last == e)
			check_key(c, name, k);
	}
	g_hash_table_destroy(keys);
}
