#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

static const struct scenario scenarios[] = {
	{ "steady-50", 0.5, 0, 0, 0, 0, 0, 0, 100 },
	{ "steady-75", 0.75, 0, 0, 0, 0, 0, 0, 100 },
	{ "steady-90", 0.9, 0, 0, 0, 0, 0, 0, 100 },
	{ "five-callers", 0.9, 0, 0, 0, 0, 0, 0, 5 },
	{ "straggler", 0.5, 1, 0, 0, 0, 0, 0, 100 },
	{ "straggler-1000", 0.5, 1, 0, 0, 0, 0, 0, 1000 },
	{ "noisy", 0.5, 0, 1, 0, 0, 0, 0, 100 },
	{ "stale", 0.75, 0, 0, 100, 0, 0, 0, 100 },
	{ "lying", 0.75, 0, 0, 0, 2, 0, 0, 100 },
	{ "cold", 0.75, 0, 0, 0, 0, 1, 0, 100 },
	{ "burst", 0.5, 0, 0, 0, 0, 0, 1, 100 },
};

static const struct way ways[] = {
	{ "random", 0, 0, PICK_RANDOM, 0, INT_MAX, 0 },
	{ "round-robin", 0, 0, PICK_ROUND_ROBIN, 0, INT_MAX, 0 },
	{ "least-of-two", 0, 0, PICK_LEAST_OF_TWO, 0, INT_MAX, 0 },
	{ "latency-of-two", 0, 0, PICK_LATENCY_OF_TWO, 0, INT_MAX, 0 },
	{ "probe-pool", 60, 1, PICK_PROBE_POOL, 0, INT_MAX, 0 },
	{ "probe-pool-3", 1e9, 3, PICK_PROBE_POOL, 0, INT_MAX, 0 },
	{ "expected", 60, 1, PICK_EXPECTED, 0, INT_MAX, 0 },
	{ "weighted", 2, 0.1, PICK_WEIGHTED, 0, INT_MAX, 0 },
	{ "weighted-crowded", 2, 0.1, PICK_WEIGHTED, 0, SLOTS / 2, 0 },
	{ "weighted-hedged", 2, 0.1, PICK_WEIGHTED, 0, SLOTS / 2, 1 },
	{ "oracle", 0, 0, PICK_RANDOM, 1, INT_MAX, 0 },
};

#define COUNT(a) (sizeof(a) / sizeof *(a))

static void
run(const struct scenario *s, const struct way *w, uint32_t calls,
    uint64_t seed)
{
	struct result r;

	if (sim_run(s, w, calls, seed, &r) < 0) {
		fprintf(stderr, "out of memory\n");
		exit(EXIT_FAILURE);
	}
	printf("%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.4f\t%.3f\t%.3f\n", s->name,
	    w->name, r.mean_ms, r.p50_ms, r.p99_ms, r.p999_ms,
	    (double)r.failed / (double)r.calls,
	    (double)r.attempts / (double)r.calls,
	    (double)r.probes / (double)r.calls);
	fflush(stdout);
}

/** usage: bench-pick CALLS SEED [SCENARIO [WAY]], or bench-pick cost */
int
main(int argc, char **argv)
{
	uint32_t calls;
	uint64_t seed;
	size_t i;
	size_t k;

	if (argc == 2 && strcmp(argv[1], "cost") == 0) {
		cost_run();
		return 0;
	}
	if (argc < 3) {
		fprintf(stderr,
		    "usage: bench-pick CALLS SEED [SCENARIO [WAY]]\n");
		return 2;
	}
	calls = (uint32_t)strtoul(argv[1], NULL, 10);
	seed = strtoull(argv[2], NULL, 10);
	if (calls < 1000)
		return 2;
	printf("scenario\tway\tmean_ms\tp50_ms\tp99_ms\tp99.9_ms\tfailed\t"
	       "attempts\tprobes\n");
	for (i = 0; i < COUNT(scenarios); i++) {
		if (argc > 3 && strcmp(argv[3], scenarios[i].name) != 0)
			continue;
		for (k = 0; k < COUNT(ways); k++)
			if (argc < 5 || strcmp(argv[4], ways[k].name) == 0)
				run(&scenarios[i], &ways[k], calls, seed);
	}
	return 0;
}
