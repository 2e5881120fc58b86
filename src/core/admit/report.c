#include "impl.h"

void
admit_report(const struct admit *a, int64_t now, struct load_report *l)
{
	int limit = admit_limit(a, now);
	double per_s = admit_per_s(a, now), bears;

	if (per_s > 0) {
		/* Little's law: requests in flight at that rate. */
		bears = per_s * a->recent_us / US_PER_S;
		limit = bears < 1 ? 1 : bears < limit ? (int)bears : limit;
	}
	l->in_flight = (uint32_t)a->in_flight;
	l->queued = (uint32_t)a->queue.n;
	l->limit = (uint32_t)limit;
	l->latency_us =
	    a->recent_us < UINT32_MAX ? (uint32_t)a->recent_us : UINT32_MAX;
	l->cold = (uint8_t)(admit_cold(a, now) || now < a->cold_until);
	l->draining = (uint8_t)(a->draining || a->out);
	l->age_us = 0;
}
