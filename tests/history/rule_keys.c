#include "check.h"

#include <string.h>

/* What is known of one Call-Key. */
struct key {
	const struct event *call;
	const struct event *first_run;
	const struct event *second_run;
	const struct event *refused;
	const struct event *whole;
	const struct event *last;
};

static struct key *
key_of(GHashTable *keys, const char *name)
{
	struct key *k = g_hash_table_lookup(keys, name);

	if (!k) {
		k = g_new0(struct key, 1);
		g_hash_table_insert(keys, (void *)name, k);
	}
	return k;
}

static void
note_answer(struct check *c, struct key *k, const struct event *e)
{
	const char *outcome = event_get(e, "outcome");

	/* Status 0: nothing left the caller, and nobody said anything. */
	if (!strcmp(outcome, "not-run") && event_number(e, "status") > 0) {
		c->checked[RULE_NOT_RUN]++;
		k->refused = e;
	}
	if (strcmp(outcome, "whole"))
		return;
	c->checked[RULE_WHOLE]++;
	k->whole = e;
}

static void
note(struct check *c, struct key *k, const struct event *e)
{
	k->last = e;
	if (event_is(e, "call") && !k->call)
		k->call = e;
	if (event_is(e, "answer"))
		note_answer(c, k, e);
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
			breach(c, RULE_ONCE, k->first_run, k->second_run, "key",
			    name);
	}
	if (k->refused && k->first_run)
		breach(c, RULE_NOT_RUN, earlier(k->refused, k->first_run),
		    later(k->refused, k->first_run), "key", name);
	if (k->whole && (!k->first_run || k->first_run->at > k->whole->at))
		breach(c, RULE_WHOLE, earlier(k->whole, k->call),
		    later(k->whole, k->first_run ? k->first_run : k->whole),
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
		if (!*name || !strcmp(name, "-") || check_straight(c, e))
			continue;
		note(c, key_of(keys, name), e);
	}
	/* In order of their last event, so that the output is always equal. */
	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		name = event_get(e, "key");
		k = g_hash_table_lookup(keys, name);
		if (k && k->last == e)
			check_key(c, name, k);
	}
	g_hash_table_destroy(keys);
}
