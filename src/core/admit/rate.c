#include "impl.h"

#include <math.h>

static double
tokens(const struct rate *r, int64_t now)
{
	double earned = (double)(now - r->at) / US_PER_S * r->per_s;

	return fmin(r->tokens + earned, r->burst);
}

void
rate_start(struct rate *r, int64_t now)
{
	r->tokens = 0;
	r->at = now;
}

void
rate_change(struct rate *r, int64_t now, double per_s, double burst)
{
	r->tokens = tokens(r, now);
	r->at = now;
	r->per_s = per_s;
	r->burst = burst > 1 ? burst : 1;
}

int64_t
rate_next_start(const struct rate *r, int64_t now)
{
	double missing;

	if (r->per_s <= 0)
		return now;
	missing = 1 - tokens(r, now);
	if (missing <= 0)
		return now;
	return now + (int64_t)(missing / r->per_s * US_PER_S) + 1;
}

void
rate_take(struct rate *r, int64_t now)
{
	if (r->per_s <= 0)
		return;
	r->tokens = tokens(r, now) - 1;
	r->at = now;
}
