#include "impl.h"

#define WINDOW_MIN 8 /* least completions over which latency is averaged */
#define USUAL_GAIN_UP 0.02
#define USUAL_GAIN_DOWN 0.25
#define WARM_SHARE 0.5 /* of the ceiling; a target with this limit is warm */

static void
update_usual(struct admit *a, double latency_us)
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
	a->usual_us += (mean > a->usual_us ? USUAL_GAIN_UP : USUAL_GAIN_DOWN) *
		       (mean - a->usual_us);
	a->window_n = 0;
	a->window_us = 0;
}

/** Raise the limit by one for each limit's worth of completions that were not
 * slow, while at least half the limit is in use; but not before the target has
 * completed as many as its service file asks for (cold_calls). */
static void
raise_limit(struct admit *a)
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
admit_note_success(struct admit *a, double latency_us)
{
	update_usual(a, latency_us);
	raise_limit(a);
}
