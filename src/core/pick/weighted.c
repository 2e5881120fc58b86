#include "impl.h"

#include <math.h>

#define SCAN_MAX 32 /* candidates compared in one choice */
#define SLOW_RATIO 1.5 /* times usual latency, up to which weight is full */
#define SLOW_POWER 4 /* above SLOW_RATIO, weight falls with this power */
/* Latencies of a candidate without a new one for so long are disregarded, so
 * that a slow candidate is tried again. */
#define FORGET_US 10000000
#define WEIGHT_MIN 1e-6

/* Ratio of a candidate's latency to the usual one, which is the harmonic mean
 * over all candidates; 0 when nothing is known. The candidate's latency is the
 * longest of that of own replies, the time so far of own requests in flight,
 * and the reported one. Thus a target's reports can only lower its weight. */
static double
relative_latency(const struct pick *p, const struct candidate *c, int64_t now)
{
	double us = 0;

	if (!p->inverse_n)
		return 0;
	if (now - c->latency_at <= FORGET_US)
		us = fmax(c->latency_us, c->report_us);
	if (c->in_flight)
		us = fmax(us, (double)now - c->sent_sum / c->in_flight);
	return us * p->inverse_sum / p->inverse_n;
}

static double
weight(const struct pick *p, const struct candidate *c, int64_t now)
{
	double excess = relative_latency(p, c, now) / SLOW_RATIO;
	double w = c->share * (c->limit ? c->limit : p->limit);

	if (excess > 1)
		w /= pow(excess, SLOW_POWER);
	return fmax(w, WEIGHT_MIN);
}

/* Chooses the candidate whose next turn is the earliest in virtual time: its
 * last turn plus the inverse of its weight. The next turn is never before the
 * present virtual time, so that a candidate that was not chosen for long does
 * not catch up. */
uint32_t
pick_weighted(struct pick *p, const struct query *q)
{
	const struct list *l = &p->list[q->group];
	uint32_t scan = l->n < SCAN_MAX ? l->n : SCAN_MAX;
	uint32_t start = rng_below(&p->rng, l->n);
	uint32_t best = INDEX_NONE;
	double *virtual_now = &p->virtual_now[q->classes];
	double earliest = 0;
	uint32_t i;

	for (i = 0; i < scan || (best == INDEX_NONE && i < l->n); i++) {
		uint32_t index = l->index[(start + i) % l->n];
		const struct candidate *c = &p->candidate[index];
		double turn;

		if (!pick_allowed(p, q, index))
			continue;
		turn = fmax(c->virtual_turn + 1 / weight(p, c, q->now),
		    *virtual_now);
		if (best != INDEX_NONE && turn >= earliest)
			continue;
		best = index;
		earliest = turn;
	}
	if (best == INDEX_NONE)
		return best;
	p->candidate[best].virtual_turn = earliest;
	*virtual_now = earliest;
	return best;
}
