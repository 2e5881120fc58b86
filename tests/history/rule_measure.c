#include "check.h"

/* Token bucket of one target. It holds the budget of one second, at least one
 * token, and is full at the target's first request. */
struct bucket {
	double tokens;
	const struct event *since_full; /* first request since it was full */
	int64_t at;
};

#define SLACK 0.05 /* tokens, for the rounding of event times */

static void
bucket_take(struct check *c, struct bucket *b, const struct event *e,
    double budget)
{
	double burst = MAX(budget, 1.0);

	b->tokens += (double)(e->at - b->at) / SECOND * budget;
	if (!b->since_full || b->tokens >= burst) {
		b->tokens = burst;
		b->since_full = e;
	}
	b->at = e->at;
	b->tokens -= 1;
	if (b->tokens < -SLACK)
		report_breach(c, RULE_MEASURE, b->since_full, e, "who", e->who);
}

void
rule_measure(struct check *c)
{
	GHashTable *buckets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const struct event *e;
	struct bucket *b;
	double *budget;
	uint32_t i;

	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		if (!event_is(e, "measure") ||
		    !g_hash_table_size(c->options->budget))
			continue;
		budget = g_hash_table_lookup(c->options->budget,
		    event_get(e, "service"));
		c->checked[RULE_MEASURE]++;
		b = g_hash_table_lookup(buckets, e->who);
		if (!b) {
			b = g_new0(struct bucket, 1);
			g_hash_table_insert(buckets, (void *)e->who, b);
		}
		bucket_take(c, b, e, budget ? *budget : 0);
	}
	g_hash_table_destroy(buckets);
}
