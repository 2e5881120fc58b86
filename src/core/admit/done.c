#include "impl.h"

#define RECENT_GAIN 0.125
#define STRETCH_MAX 10.0 /* a single straggler does not decide */
#define SLOW_RECENT 0xffu /* completions looked back on */
#define SLOW_FALL 3 /* slow ones of these */
#define FAILED_RECENT 0xffffu
#define FAILED_FALL 4
#define SHED_SHARE 0.9 /* of the limit left after the target shed */

static void
note_stretch(struct admit *a, double us, int64_t need_us)
{
	double x;

	if (need_us <= 0)
		return;
	x = us / (double)need_us;
	if (x > STRETCH_MAX)
		x = STRETCH_MAX;
	a->stretch += (a->stretch > 0 ? RECENT_GAIN : 1) * (x - a->stretch);
}

static void
good(struct admit *a, int64_t now, const struct admit_run *run)
{
	double us = (double)(now - run->started);
	int slow = us > admit_slow_us(a);

	a->recent_us +=
	    (a->recent_us > 0 ? RECENT_GAIN : 1) * (us - a->recent_us);
	note_stretch(a, us, run->need_us);
	a->failed <<= 1;
	a->slow = a->slow << 1 | (uint32_t)slow;
	a->suspect = slow;
	if (__builtin_popcount(a->slow & SLOW_RECENT) >= SLOW_FALL) {
		admit_fall(a, ADMIT_FALL_LATENCY);
		return;
	}
	trial_learn(a, now, run);
	if (!slow)
		admit_learn(a, us);
}

static void
failed(struct admit *a)
{
	a->suspect = 1;
	a->failed = a->failed << 1 | 1;
	if (__builtin_popcount(a->failed & FAILED_RECENT) >= FAILED_FALL)
		admit_fall(a, ADMIT_FALL_FAILURES);
}

static void
shed(struct admit *a)
{
	a->limit *= SHED_SHARE;
	if (a->limit < admit_cold_limit(a))
		a->limit = admit_cold_limit(a);
}

/* Time given up on is no progress, so that a target whose requests are all
 * cancelled still counts as stalled. */
void
admit_done(struct admit *a, int64_t now, const struct admit_run *run,
    enum admit_outcome outcome)
{
	admit_settle(a, now);
	if (--a->in_flight == 0)
		a->idle_since = now;
	admit_running(a, run->rank, -1);
	if (outcome != ADMIT_CANCELLED)
		a->progress = now;
	if (run->epoch != a->epoch)
		return;
	switch (outcome) {
	case ADMIT_GOOD:
		good(a, now, run);
		break;
	case ADMIT_FAILED:
		failed(a);
		break;
	case ADMIT_RESET:
		admit_fall(a, ADMIT_FALL_RESET);
		break;
	case ADMIT_SHED:
		shed(a);
		break;
	case ADMIT_CANCELLED:
		break;
	}
}
