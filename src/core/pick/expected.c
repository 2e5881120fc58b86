#include "impl.h"

#include <math.h>

#define CHOICES 2 /* random candidates compared */
#define TRUST_US 30000.0 /* age at which a report counts half */
/* If a candidate's latency was not updated for so long, it counts with at most
 * the mean over all reports, so that a slow candidate is tried again. */
#define FORGET_US 5000000
/* Up to this ratio of actual to predicted latency, a difference is noise. */
#define BIAS_NOISE 1.5

/* Expected load of a candidate: its report weighted by age, the mean over all
 * candidates for the rest, and the own requests sent since the report. Without
 * a report, the mean and all own requests in flight. */
static double
expected_load(const struct pick *p, const struct candidate *c, int64_t now)
{
	double age = (double)(now - c->report_at);
	double trust = TRUST_US / (TRUST_US + (age > 0 ? age : 0));
	double limit = c->limit ? c->limit : LIMIT_DEFAULT;

	if (!c->limit)
		return p->utilization * limit + c->in_flight;
	return trust * c->load + (1 - trust) * p->utilization * limit +
	       c->unreported;
}

/* Factor by which a candidate's latency exceeds its predicted one, relative to
 * the same factor over all candidates; at least 1. */
static double
relative_bias(const struct pick *p, const struct candidate *c)
{
	double b;

	if (c->predicted_us <= 0)
		return 1;
	b = c->latency_us / c->predicted_us / p->bias / BIAS_NOISE;
	return b > 1 ? b : 1;
}

/* Latency at low load, or the time that own requests in flight have taken so
 * far, if that is longer. */
static double
base_latency(const struct pick *p, const struct candidate *c, int64_t now)
{
	double us = c->report_us > 0 ? c->report_us : p->report_us;
	double waited = 0;

	us *= relative_bias(p, c);
	if (now - c->latency_at > FORGET_US && us > p->report_us)
		us = p->report_us;
	if (c->in_flight)
		waited = (double)now - c->sent_sum / c->in_flight;
	return waited > us ? waited : us;
}

double
pick_estimate(const struct pick *p, const struct candidate *c, int64_t now)
{
	double limit = c->limit ? c->limit : LIMIT_DEFAULT;
	double utilization = (expected_load(p, c, now) + 1) / limit;

	return base_latency(p, c, now) * (1 + utilization * utilization);
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
