#include "impl.h"

#include <math.h>

#define WINDOW_MIN 8 /* completions */
#define TOLERANCE 1.5 /* latency over the usual one that is no queue */
#define GRADIENT_MIN 0.5
#define LIMIT_GAIN 0.3
#define USUAL_RISE 0.02
#define USUAL_FALL 0.25
#define WARM_SHARE 0.5 /* of slots and connections */

/** One more request in flight for each limit's worth of good completions. */
static void
warm_up(struct admit *a)
{
	if (2 * (a->in_flight + 1) < (int)a->limit)
		return;
	a->limit += 1 / a->limit;
	if (a->limit > admit_most(a))
		a->limit = admit_most(a);
	if (a->limit >= WARM_SHARE * admit_most(a))
		a->cold = 0;
}

static void
follow_gradient(struct admit *a, double mean)
{
	double gradient = TOLERANCE * a->usual_us / mean;
	double next;

	if (gradient > 1)
		gradient = 1;
	if (gradient < GRADIENT_MIN)
		gradient = GRADIENT_MIN;
	next = a->limit * gradient + sqrt(a->limit);
	if (next > a->limit && 2 * a->window_peak < (int)a->limit)
		return;
	a->limit += LIMIT_GAIN * (next - a->limit);
	if (a->limit > admit_most(a))
		a->limit = admit_most(a);
	if (a->limit < admit_cold_limit(a))
		a->limit = admit_cold_limit(a);
}

static void
end_window(struct admit *a)
{
	double mean = a->window_us / a->window_n;

	if (mean < 1)
		mean = 1;
	if (a->usual_us == 0)
		a->usual_us = mean;
	a->usual_us += (mean > a->usual_us ? USUAL_RISE : USUAL_FALL) *
		       (mean - a->usual_us);
	if (!a->cold)
		follow_gradient(a, mean);
	a->window_n = 0;
	a->window_us = 0;
	a->window_peak = a->in_flight;
}

void
admit_learn(struct admit *a, double latency_us)
{
	if (a->cold)
		warm_up(a);
	a->window_n++;
	a->window_us += latency_us;
	if (a->window_n >= WINDOW_MIN && a->window_n >= (int)a->limit)
		end_window(a);
}
