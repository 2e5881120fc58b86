#include "impl.h"

#include <math.h>

#define DEMAND_US 1000000.0 /* time over which demand is averaged */
/* Shortest such time, used soon after the first request. */
#define DEMAND_LEAST_US 100000.0
#define RESERVE_PART 2 /* at most the limit divided by this is reserved */

int
admit_rank(int organisation_priority, int route_priority)
{
	return organisation_priority * RANK_STEP + route_priority;
}

static int
clamp_priority(int priority)
{
	return priority < PRIORITIES_APART ? priority : PRIORITIES_APART - 1;
}

/** Class of a rank, in the order of ranks. */
static int
class_of(int rank)
{
	return PRIORITIES_APART * clamp_priority(rank / RANK_STEP) +
	       clamp_priority(rank % RANK_STEP);
}

static double
decay(const struct admit *a, int64_t now)
{
	return exp(-(double)(now - a->demand_at) / DEMAND_US);
}

/** Effective time over which the demand was summed; approaches DEMAND_US. */
static double
demand_span(const struct admit *a, int64_t now)
{
	double age = (double)(now - a->demand_from);

	if (age < DEMAND_LEAST_US)
		age = DEMAND_LEAST_US;
	return DEMAND_US * (1 - exp(-age / DEMAND_US));
}

void
admit_add_demand(struct admit *a, int64_t now, int rank, int64_t need_us)
{
	double part = decay(a, now);
	int i;

	if (!a->demand_from)
		a->demand_from = now;
	for (i = 0; i < RANK_CLASSES; i++)
		a->demand_us[i] *= part;
	a->demand_at = now;
	a->demand_us[class_of(rank)] += (double)need_us;
}

void
admit_add_running(struct admit *a, int rank, int change)
{
	a->running[class_of(rank)] += change;
}

/* Service time demanded per unit of time is the mean number of requests in
 * flight that the demand needs. */
int
admit_rank_limit(const struct admit *a, int64_t now, int rank, int limit)
{
	double part = decay(a, now), reserved = 0, unmet;
	int i, max = limit / RESERVE_PART;

	for (i = 0; i < class_of(rank); i++) {
		unmet = a->demand_us[i] * part / demand_span(a, now) -
			a->running[i];
		reserved += unmet > 0 ? unmet : 0;
	}
	return limit - (reserved < max ? (int)ceil(reserved) : max);
}
