#include "impl.h"

#include <math.h>

#define DEMAND_US 1000000.0 /* time over which demand is averaged */
#define DEMAND_LEAST_US 100000.0 /* looked back on at first */
#define RESERVE_PART 2 /* one part in so many of the places at most */

static int
clamp(int rank)
{
	return rank < ADMIT_RANKS ? rank : ADMIT_RANKS - 1;
}

static double
fade(const struct admit *a, int64_t now)
{
	return exp(-(double)(now - a->demand_at) / DEMAND_US);
}

/** Time over which the demand was summed, in the end DEMAND_US. */
static double
span(const struct admit *a, int64_t now)
{
	double age = (double)(now - a->demand_from);

	if (age < DEMAND_LEAST_US)
		age = DEMAND_LEAST_US;
	return DEMAND_US * (1 - exp(-age / DEMAND_US));
}

void
admit_demand(struct admit *a, int64_t now, int rank, int64_t need_us)
{
	double part = fade(a, now);
	int i;

	if (!a->demand_from)
		a->demand_from = now;
	for (i = 0; i < ADMIT_RANKS; i++)
		a->demand_us[i] *= part;
	a->demand_at = now;
	a->demand_us[clamp(rank)] += (double)need_us;
}

void
admit_running(struct admit *a, int rank, int change)
{
	a->running[clamp(rank)] += change;
}

int
admit_open(const struct admit *a, int64_t now, int rank, int limit)
{
	double part = fade(a, now), kept = 0, lack;
	int i, most = limit / RESERVE_PART;

	for (i = 0; i < clamp(rank); i++) {
		lack = a->demand_us[i] * part / span(a, now) - a->running[i];
		kept += lack > 0 ? lack : 0;
	}
	return limit - (kept < most ? (int)ceil(kept) : most);
}
