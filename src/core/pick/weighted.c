#include "impl.h"

#include <math.h>

#define SCAN_MAX 32 /* candidates looked at for one choice */
#define SLOW 1.5 /* times the usual latency that cost no weight */
#define SLOW_POWER 4 /* how steeply weight falls above */
#define FORGET_US 10000000 /* after this a slow candidate is tried again */
#define WEIGHT_MIN 1e-6

/** Latency over the usual one: of own replies, of own requests still out, or
 * as reported, whichever is longest; 0 when nothing is known. What targets
 * report can only take weight from them. */
static double
slowness(const struct pick *p, const struct candidate *c, int64_t now)
{
	double us = 0;

	if (!p->rate_n)
		return 0;
	if (now - c->latency_at <= FORGET_US)
		us = fmax(c->latency_us, c->service_us);
	if (c->in_flight)
		us = fmax(us, (double)now - c->started / c->in_flight);
	return us * p->rate_sum / p->rate_n;
}

static double
weight(const struct pick *p, const struct candidate *c, int64_t now)
{
	double slow = slowness(p, c, now) / SLOW;
	double w = c->share * (c->limit ? c->limit : p->limit);

	if (slow > 1)
		w /= pow(slow, SLOW_POWER);
	return fmax(w, WEIGHT_MIN);
}

/** Earliest deadline first over virtual time; a candidate passed over for
 * long does not catch up. */
uint32_t
pick_weighted(struct pick *p, const struct query *q)
{
	const struct list *l = &p->list[q->group];
	uint32_t scan = l->n < SCAN_MAX ? l->n : SCAN_MAX;
	uint32_t start = rng_below(&p->rng, l->n);
	uint32_t best = INDEX_NONE;
	double first = 0;
	uint32_t i;

	for (i = 0; i < scan || (best == INDEX_NONE && i < l->n); i++) {
		uint32_t index = l->index[(start + i) % l->n];
		const struct candidate *c = &p->candidate[index];
		double turn;

		if (!pick_allowed(p, q, index))
			continue;
		turn = fmax(c->turn + 1 / weight(p, c, q->now), p->turn_now);
		if (best != INDEX_NONE && turn >= first)
			continue;
		best = index;
		first = turn;
	}
	if (best == INDEX_NONE)
		return best;
	p->candidate[best].turn = first;
	p->turn_now = first;
	return best;
}
