#include "impl.h"

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

int
admit_reported_cold(const struct admit *a, int64_t now)
{
	return now < a->cold_until;
}

void
admit_configure_cold_rate(struct admit *a)
{
	a->cold_rate.per_s = a->config.cold_per_s;
	a->cold_rate.burst = a->config.cold_burst;
}

void
admit_set_cold(struct admit *a, int64_t now, int64_t until)
{
	if (!admit_reported_cold(a, now) && until > now)
		rate_start(&a->cold_rate, now);
	a->cold_until = until;
}

int64_t
admit_cold_next_start(const struct admit *a, int64_t now)
{
	if (!admit_reported_cold(a, now))
		return now;
	return rate_next_start(&a->cold_rate, now);
}
