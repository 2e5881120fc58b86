#include "check.h"

#include <string.h>

#define DATACENTRE "datacentre/"

struct drained {
	GHashTable *out; /* data centre: event that took it out */
	GHashTable *leaving; /* target: event since which it leaves */
};

/* Target or data centre that an event is about. */
static const char *
subject_name(const struct event *e)
{
	const char *name = event_get(e, "name");

	return *name ? name : event_get(e, "dc");
}

/* Follows the state that an accepted write of a data centre object sets. */
static void
record_write(struct drained *d, const struct event *e)
{
	const char *name = event_get(e, "name"), *value;

	if (!g_str_has_prefix(name, DATACENTRE) ||
	    event_number(e, "status") != 200)
		return;
	name += strlen(DATACENTRE);
	value = event_get(e, "value");
	/* The platform writes '_' for white space in a value. */
	if (!strstr(value, "\"state\":\"out\"") &&
	    !strstr(value, "\"state\":_\"out\""))
		g_hash_table_remove(d->out, name);
	else if (!g_hash_table_contains(d->out, name))
		g_hash_table_insert(d->out, (void *)name, (void *)e);
}

static void
record_event(struct drained *d, const struct event *e)
{
	if (event_is(e, "write"))
		record_write(d, e);
	if (event_is(e, "dc-out") &&
	    !g_hash_table_contains(d->out, subject_name(e)))
		g_hash_table_insert(d->out, (void *)subject_name(e), (void *)e);
	if (event_is(e, "dc-in"))
		g_hash_table_remove(d->out, subject_name(e));
	if (event_is(e, "leave"))
		g_hash_table_insert(d->leaving, (void *)e->who, (void *)e);
	if (event_is(e, "drain"))
		g_hash_table_insert(d->leaving, (void *)subject_name(e),
		    (void *)e);
	if (event_is(e, "start"))
		g_hash_table_remove(d->leaving, e->who);
}

static void
check_run(struct check *c, const struct drained *d, const struct event *e)
{
	const char *dc = event_get(e, "dc");
	const struct event *s;

	c->checked[RULE_DATACENTRE]++;
	c->checked[RULE_LEAVING]++;
	s = g_hash_table_lookup(d->out, dc);
	if (s && e->at > s->at + c->options->grace)
		report_breach(c, RULE_DATACENTRE, s, e, "key",
		    event_get(e, "key"));
	s = g_hash_table_lookup(d->leaving, e->who);
	if (s && e->at > s->at + c->options->grace)
		report_breach(c, RULE_LEAVING, s, e, "key",
		    event_get(e, "key"));
}

void
rule_drained(struct check *c)
{
	struct drained d = { g_hash_table_new(g_str_hash, g_str_equal),
		g_hash_table_new(g_str_hash, g_str_equal) };
	const struct event *e;
	uint32_t i;

	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		record_event(&d, e);
		if (event_is(e, "run"))
			check_run(c, &d, e);
	}
	g_hash_table_destroy(d.out);
	g_hash_table_destroy(d.leaving);
}
