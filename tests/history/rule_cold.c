#include "check.h"

void
rule_cold(struct check *c)
{
	const struct event *e;
	double *limit;
	uint32_t i;

	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		/* A cold target got more requests than it can run and failed.
		 */
		if (event_is(e, "fell"))
			report_breach(c, RULE_COLD_LOAD, e, e, "who", e->who);
		if (!event_is(e, "run") || event_number(e, "cold") <= 0)
			continue;
		c->checked[RULE_COLD_LOAD]++;
		limit = g_hash_table_lookup(c->options->cold_limit,
		    event_get(e, "service"));
		if (limit && (double)event_number(e, "inflight") > *limit)
			report_breach(c, RULE_COLD_LOAD, e, e, "who", e->who);
	}
}
