#include "check.h"

#include <string.h>

#define DATACENTRE "datacentre/"

struct quiet {
	GHashTable *out; /* data centre: event that took it out */
	GHashTable *leaving; /* target: event that began its leaving */
};

static const char *
name_of(const struct event *e)
{
	const char *name = event_get(e, "name");

	return *name ? name : event_get(e, "dc");
}

/* A data centre object that the platform took. */
static void
written(struct quiet *q, const struct event *e)
{
	const char *name = event_get(e, "name"), *value;

	if (!g_str_has_prefix(name, DATACENTRE) ||
	    event_number(e, "status") != 200)
		return;
	name += strlen(DATACENTRE);
	value = event_get(e, "value");
	if (!strstr(value, "\"state\":\"out\"") &&
	    !strstr(value, "\"state\":_\"out\""))
		g_hash_table_remove(q->out, name);
	else if (!g_hash_table_contains(q->out, name))
		g_hash_table_insert(q->out, (void *)name, (void *)e);
}

static void
note(struct quiet *q, const struct event *e)
{
	if (event_is(e, "write"))
		written(q, e);
	if (event_is(e, "dc-out") && !g_hash_table_contains(q->out, name_of(e)))
		g_hash_table_insert(q->out, (void *)name_of(e), (void *)e);
	if (event_is(e, "dc-in"))
		g_hash_table_remove(q->out, name_of(e));
	if (event_is(e, "leave"))
		g_hash_table_insert(q->leaving, (void *)e->who, (void *)e);
	if (event_is(e, "drain"))
		g_hash_table_insert(q->leaving, (void *)name_of(e), (void *)e);
	if (event_is(e, "start"))
		g_hash_table_remove(q->leaving, e->who);
}

static void
check_run(struct check *c, const struct quiet *q, const struct event *e)
{
	const char *dc = event_get(e, "dc");
	const struct event *s;

	c->checked[RULE_DATACENTRE]++;
	c->checked[RULE_LEAVING]++;
	s = g_hash_table_lookup(q->out, dc);
	if (s && e->at > s->at + c->options->grace)
		breach(c, RULE_DATACENTRE, s, e, "key", event_get(e, "key"));
	s = g_hash_table_lookup(q->leaving, e->who);
	if (s && e->at > s->at + c->options->grace)
		breach(c, RULE_LEAVING, s, e, "key", event_get(e, "key"));
}

void
rule_quiet(struct check *c)
{
	struct quiet q = { g_hash_table_new(g_str_hash, g_str_equal),
		g_hash_table_new(g_str_hash, g_str_equal) };
	const struct event *e;
	uint32_t i;

	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		note(&q, e);
		if (event_is(e, "run"))
			check_run(c, &q, e);
	}
	g_hash_table_destroy(q.out);
	g_hash_table_destroy(q.leaving);
}
