#include "impl.h"

void
admit_report(const struct admit *a, int64_t now, struct load_report *l)
{
	l->in_flight = (uint32_t)a->in_flight;
	l->queued = (uint32_t)a->queue.n;
	l->limit = (uint32_t)admit_limit(a, now);
	l->latency_us =
	    a->recent_us < UINT32_MAX ? (uint32_t)a->recent_us : UINT32_MAX;
	l->cold = (uint8_t)admit_cold(a, now);
	l->draining = (uint8_t)(a->draining || a->out);
	l->age_us = 0;
}
