#include "impl.h"

#define WINDOW_MIN 8 /* completions over which latency is averaged */
#define USUAL_RISE 0.02
#define USUAL_FALL 0.25
#define WARM_SHARE 0.5 /* of the ceiling */

static void
learn_usual(struct admit *a, double latency_us)
{
	double mean;

	a->window_us += latency_us;
	if (++a->window_n < WINDOW_MIN || a->window_n < (int)a->limit)
		return;
	mean = a->window_us / a->window_n;
	if (mean < 1)
		mean = 1;
	if (a->usual_us == 0)
		a->usual_us = mean;
	a->usual_us += (mean > a->usual_us ? USUAL_RISE : USUAL_FALL) *
		       (mean - a->usual_us);
	a->window_n = 0;
	a->window_us = 0;
}

/** One more request in flight for each limit's worth of good completions,
 * as long as at least half the limit is in use; none before the target has
 * completed as many as its service file asks for. */
static void
warm_up(struct admit *a)
{
	if (a->good < a->config.cold_calls) {
		a->good++;
		return;
	}
	if (2 * (a->in_flight + 1) >= (int)a->limit)
		a->limit += 1 / a->limit;
	if (a->limit > a->ceiling)
		a->limit = a->ceiling;
	if (a->limit >= WARM_SHARE * a->ceiling)
		a->cold = 0;
}

void
admit_learn(struct admit *a, double latency_us)
{
	learn_usual(a, latency_us);
	warm_up(a);
}
