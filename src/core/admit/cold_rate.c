#include "impl.h"

#define US_PER_S 1e6
#define OVERSHOOT_PART 0.8 /* of what a target bears above its rate */
#define BURST_PART 2 /* one part in so many of the slack */

void
admit_cold_share(struct admit_config *c, double per_s, double overshoot,
    int slack)
{
	int burst = slack / BURST_PART;

	c->cold_per_s = per_s * (1 + OVERSHOOT_PART * (overshoot - 1));
	c->cold_burst = burst > 1 ? burst : 1;
}

static int
bound(const struct admit *a, int64_t now)
{
	return a->config.cold_per_s > 0 && now < a->cold_until;
}

int
admit_told_cold(const struct admit *a, int64_t now)
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

/* It begins without tokens: what was let through just before is not known. */
void
admit_set_cold(struct admit *a, int64_t now, int64_t until)
{
	if (!bound(a, now) && until > now) {
		a->cold_tokens = 0;
		a->cold_at = now;
	}
	a->cold_until = until;
}

int64_t
admit_cold_next(const struct admit *a, int64_t now)
{
	double lack;

	if (!bound(a, now))
		return now;
	lack = 1 - tokens(a, now);
	if (lack <= 0)
		return now;
	return now + (int64_t)(lack / a->config.cold_per_s * US_PER_S) + 1;
}

int64_t
admit_next(const struct admit *a, int64_t now)
{
	int64_t next = admit_cold_next(a, now);

	return a->hold_until > next ? a->hold_until : next;
}

void
admit_hold(struct admit *a, int64_t until)
{
	a->hold_until = until;
}

void
admit_cold_take(struct admit *a, int64_t now)
{
	if (!bound(a, now))
		return;
	a->cold_tokens = tokens(a, now) - 1;
	a->cold_at = now;
}
