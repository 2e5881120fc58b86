#include "impl.h"

#include <math.h>

#define CHOICES 2
#define TRUST_US 30000.0 /* age at which a report counts half */
#define FORGET_US 5000000 /* after this a slow candidate is tried again */
#define BIAS_FREE 1.5 /* latency over the expected one that is noise */

/** Load that a report of this age lets expect, with own requests since. */
static double
expected_load(const struct pick *p, const struct candidate *c, int64_t now)
{
	double age = (double)(now - c->reported);
	double trust = TRUST_US / (TRUST_US + (age > 0 ? age : 0));
	double limit = c->limit ? c->limit : LIMIT_UNKNOWN;

	if (!c->limit)
		return p->use * limit + c->in_flight;
	return trust * c->load + (1 - trust) * p->use * limit + c->unseen;
}

/** How much slower than told the candidate answers, against all others. */
static double
bias(const struct pick *p, const struct candidate *c)
{
	double b;

	if (c->predicted_us <= 0)
		return 1;
	b = c->latency_us / c->predicted_us / p->bias / BIAS_FREE;
	return b > 1 ? b : 1;
}

/** Latency at little load; that of requests still out counts if longer. */
static double
service(const struct pick *p, const struct candidate *c, int64_t now)
{
	double us = c->service_us > 0 ? c->service_us : p->service_us;
	double out = 0;

	us *= bias(p, c);
	if (now - c->latency_at > FORGET_US && us > p->service_us)
		us = p->service_us;
	if (c->in_flight)
		out = (double)now - c->started / c->in_flight;
	return out > us ? out : us;
}

double
pick_estimate(const struct pick *p, const struct candidate *c, int64_t now)
{
	double limit = c->limit ? c->limit : LIMIT_UNKNOWN;
	double use = (expected_load(p, c, now) + 1) / limit;

	return service(p, c, now) * (1 + use * use);
}

uint32_t
pick_expected(struct pick *p, const struct query *q)
{
	uint32_t best = pick_sample(p, q, INDEX_NONE);
	double least;
	int i;

	if (best == INDEX_NONE)
		return best;
	least = pick_estimate(p, &p->candidate[best], q->now);
	for (i = 1; i < CHOICES; i++) {
		uint32_t other = pick_sample(p, q, best);
		double us;

		if (other == INDEX_NONE)
			break;
		us = pick_estimate(p, &p->candidate[other], q->now);
		if (us < least) {
			best = other;
			least = us;
		}
	}
	return best;
}
