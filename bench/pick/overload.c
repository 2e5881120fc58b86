#include <limits.h>
#include <stdio.h>

#include "sim.h"

#define CALLS 1200000
#define SETTLED_US 2000000 /* of overload, from here on it is measured */

static const struct way with = { .name = "admission",
	.probe_per_s = 2,
	.probe_per_call = 0.1,
	.policy = PICK_WEIGHTED,
	.crowded = SLOTS / 2,
	.hedge = 1,
	.admit = 1 };
static const struct way none = { .name = "none",
	.policy = PICK_ROUND_ROBIN,
	.crowded = INT_MAX };

static double
good_per_s(const struct result *r)
{
	uint64_t sum = 0;
	int i;

	for (i = SETTLED_US / SLICE_US; i < OVERLOAD_TO_US / SLICE_US; i++)
		sum += r->good[i];
	return (double)sum * 1e6 / (OVERLOAD_TO_US - SETTLED_US);
}

/** Time after the overload until 99 of 100 calls are in time for good. */
static int
recovery_ms(const struct result *r)
{
	int i = OVERLOAD_END_US / SLICE_US - 1;

	while (i >= OVERLOAD_TO_US / SLICE_US &&
	       100.0 * r->in_time[i] >= 99.0 * r->asked[i])
		i--;
	return (i + 1) * (SLICE_US / 1000) - OVERLOAD_TO_US / 1000;
}

static int
run(const struct way *w, double times, uint64_t seed)
{
	struct scenario scenario = { .name = "overload",
		.load = 0.5,
		.callers = 100,
		.deadline_us = 50000,
		.overload = times };
	struct result r;

	if (sim_run(&scenario, w, CALLS, seed, &r) < 0)
		return -1;
	printf("goodput_%s_%.1f %.0f per_s\n", w->name, times, good_per_s(&r));
	printf("recovery_%s_%.1f %d ms\n", w->name, times, recovery_ms(&r));
	printf("attempts_%s_%.1f %.3f per_call\n", w->name, times,
	    (double)r.attempts / (double)r.calls);
	return 0;
}

int
overload_run(uint64_t seed)
{
	static const double times[] = { 0.8, 0.9, 1, 1.2, 2, 4 };
	int i;

	for (i = 0; i < 6; i++) {
		if (run(&with, times[i], seed) < 0 ||
		    run(&none, times[i], seed) < 0)
			return -1;
	}
	return 0;
}
