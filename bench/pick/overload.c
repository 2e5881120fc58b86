#include <limits.h>
#include <stdio.h>

#include "sim.h"

#define CALLS 1200000
#define MEASURED_FROM_US 2000000 /* the overload has settled */

static const struct strategy with_admission = { .name = "admission",
	.probe_per_s = 2,
	.probe_per_call = 0.1,
	.policy = PICK_WEIGHTED,
	.refuse_at = SLOTS / 2,
	.hedge = 1,
	.admit = 1 };
static const struct strategy without_admission = { .name = "none",
	.policy = PICK_ROUND_ROBIN,
	.refuse_at = INT_MAX };

static double
good_per_s(const struct result *r)
{
	uint64_t sum = 0;
	int i;

	for (i = MEASURED_FROM_US / SLICE_US; i < OVERLOAD_TO_US / SLICE_US;
	     i++)
		sum += r->good[i];
	return (double)sum * 1e6 / (OVERLOAD_TO_US - MEASURED_FROM_US);
}

/**
 * Time in ms from the end of the overload until at least 99 of 100 calls are
 * answered in time in every later slice.
 */
static int
recovery_ms(const struct result *r)
{
	int i = OVERLOAD_END_US / SLICE_US - 1;

	while (i >= OVERLOAD_TO_US / SLICE_US &&
	       100.0 * r->in_time[i] >= 99.0 * r->arrived[i])
		i--;
	return (i + 1) * (SLICE_US / 1000) - OVERLOAD_TO_US / 1000;
}

static int
run(const struct strategy *st, double times, uint64_t seed)
{
	struct scenario scenario = { .name = "overload",
		.load = 0.5,
		.callers = 100,
		.deadline_us = 50000,
		.overload = times };
	struct result r;

	if (sim_run(&scenario, st, CALLS, seed, &r) < 0)
		return -1;
	printf("goodput_%s_%.1f %.0f per_s\n", st->name, times, good_per_s(&r));
	printf("recovery_%s_%.1f %d ms\n", st->name, times, recovery_ms(&r));
	printf("attempts_%s_%.1f %.3f per_call\n", st->name, times,
	    (double)r.attempts / (double)r.calls);
	return 0;
}

int
overload_run(uint64_t seed)
{
	static const double times[] = { 0.8, 0.9, 1, 1.2, 2, 4 };
	int i;

	for (i = 0; i < 6; i++) {
		if (run(&with_admission, times[i], seed) < 0 ||
		    run(&without_admission, times[i], seed) < 0)
			return -1;
	}
	return 0;
}
