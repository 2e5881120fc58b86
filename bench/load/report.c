#include "load.h"

#include <stdio.h>

#define MS(us) ((double)(us) / 1000)

static void
figure(const struct load *l, const char *name, double value, const char *unit)
{
	if (l->opt.figures)
		printf("%s %.6g %s\n", name, value, unit);
	else
		printf("%-16s %12.6g %s\n", name, value, unit);
}

void
report_print(const struct load *l)
{
	int i;

	figure(l, "calls", (double)l->started, "calls");
	for (i = 0; i < OUTCOMES; i++)
		figure(l, outcome_name(i), (double)l->outcomes[i], "calls");
	figure(l, "timeouts", (double)l->timeouts, "calls");
	figure(l, "repeats", (double)l->repeats, "calls");
	figure(l, "moved", (double)l->moved, "calls");
	figure(l, "p50", MS(histogram_quantile(&l->latency, 0.5)), "ms");
	figure(l, "p90", MS(histogram_quantile(&l->latency, 0.9)), "ms");
	figure(l, "p99", MS(histogram_quantile(&l->latency, 0.99)), "ms");
	figure(l, "p999", MS(histogram_quantile(&l->latency, 0.999)), "ms");
	figure(l, "max", MS(l->latency.max), "ms");
	figure(l, "late_p99", MS(histogram_quantile(&l->lateness, 0.99)), "ms");
	figure(l, "rate", (double)l->outcomes[OUTCOME_WHOLE] / l->opt.seconds,
	    "calls/s");
}
