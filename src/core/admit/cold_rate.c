#include "impl.h"

#define US_PER_S 1e6
#define OVERSHOOT_PART 0.8 /* of the allowed overshoot, the part used */
#define BURST_PART 2 /* the burst is the slack divided by this */

void
admit_set_cold_rate(struct admit_config *c, double per_s, double overshoot,
    int slack)
{
	int burst = slack / BURST_PART;

	c->cold_per_s = per_s * (1 + OVERSHOOT_PART * (overshoot - 1));
	c->cold_burst = burst > 1 ? burst : 1;
}

static int
rate_limited(const struct admit *a, int64_t now)
{
	return a->config.cold_per_s > 0 && now < a->cold_until;
}

int
admit_reported_cold(const struct admit *a, int64_t now)
{
	return now < a->cold_until;
}

static double
tokens(const struct admit *a, int64_t now)
{
	double t = a->cold_tokens +
		   (double)(now - a->cold_at) / US_PER_S * a->config.cold_per_s;

	return t < a->config.cold_burst ? t : a->config.cold_burst;
}

/* The bucket starts empty: how many requests were started just before is not
 * known. */
void
admit_set_cold(struct admit *a, int64_t now, int64_t until)
{
	if (!rate_limited(a, now) && until > now) {
		a->cold_tokens = 0;
		a->cold_at = now;
	}
	a->cold_until = until;
}

int64_t
admit_cold_next_start(const struct admit *a, int64_t now)
{
	double missing;

	if (!rate_limited(a, now))
		return now;
	missing = 1 - tokens(a, now);
	if (missing <= 0)
		return now;
	return now + (int64_t)(missing / a->config.cold_per_s * US_PER_S) + 1;
}

int64_t
admit_next_start(const struct admit *a, int64_t now)
{
	int64_t next = admit_cold_next_start(a, now);

	return a->hold_until > next ? a->hold_until : next;
}

void
admit_set_hold(struct admit *a, int64_t until)
{
	a->hold_until = until;
}

void
admit_cold_take_token(struct admit *a, int64_t now)
{
	if (!rate_limited(a, now))
		return;
	a->cold_tokens = tokens(a, now) - 1;
	a->cold_at = now;
}
