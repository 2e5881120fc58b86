#include "impl.h"

/* A target without a completion for this many times the slow latency has
 * stalled. */
#define STALL_FACTOR 4

int
admit_max_limit(const struct admit *a)
{
	int n = a->config.slots;

	if (a->config.connections < n)
		n = a->config.connections;
	return n > 0 ? n : 1;
}

int
admit_cold_limit(const struct admit *a)
{
	int n = a->config.cold_limit;

	if (n < 1)
		return 1;
	return n < admit_max_limit(a) ? n : admit_max_limit(a);
}

double
admit_slow_us(const struct admit *a)
{
	double us = (double)a->config.cold_good_us;

	return SLOW_FACTOR * a->usual_us > us ? SLOW_FACTOR * a->usual_us : us;
}

static int
idle(const struct admit *a, int64_t now)
{
	return a->config.cold_idle_us > 0 && a->in_flight == 0 &&
	       now - a->idle_since >= a->config.cold_idle_us;
}

/** Whether no request completed for @times the slow latency although at least
 * as many as the cold limit are in flight. */
static int
stalled(const struct admit *a, int64_t now, int times)
{
	return a->in_flight >= admit_cold_limit(a) &&
	       (double)(now - a->progress_at) > times * admit_slow_us(a);
}

void
admit_turn_cold(struct admit *a, enum admit_cold_cause why)
{
	a->epoch++;
	a->counters.turned_cold[why]++;
	a->limit = admit_cold_limit(a);
	if (a->limit > a->ceiling)
		a->limit = a->ceiling;
	a->cold = 1;
	a->suspect = 0;
	a->good = 0;
	a->slow_bits = 0;
	a->failed_bits = 0;
	a->window_n = 0;
	a->window_us = 0;
	trial_stop_window(a);
}

void
admit_check_cold(struct admit *a, int64_t now)
{
	if (a->cold && (int)a->limit <= admit_cold_limit(a))
		return;
	if (idle(a, now))
		admit_turn_cold(a, ADMIT_CAUSE_IDLE);
	else if (stalled(a, now, STALL_FACTOR))
		admit_turn_cold(a, ADMIT_CAUSE_STALL);
}

static int
limit_once_known(const struct admit *a, int64_t now)
{
	if (a->suspect || idle(a, now) || stalled(a, now, 1))
		return admit_cold_limit(a);
	return a->trial.limit ? a->trial.limit : (int)a->limit;
}

int
admit_limit(const struct admit *a, int64_t now)
{
	return a->unknown ? 1 : limit_once_known(a, now);
}

int
admit_plan_limit(const struct admit *a, int64_t now)
{
	return limit_once_known(a, now);
}

int
admit_cold(const struct admit *a, int64_t now)
{
	return a->cold || idle(a, now) || stalled(a, now, STALL_FACTOR);
}

void
admit_restarted(struct admit *a, int64_t now)
{
	(void)now;
	a->usual_us = 0;
	trial_init(a);
	admit_turn_cold(a, ADMIT_CAUSE_RESTART);
}
