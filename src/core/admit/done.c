#include "impl.h"

#define RECENT_GAIN 0.125
#define SLOWDOWN_MAX 10.0 /* bounds the effect of a single straggler */
#define SLOW_MASK 0xffu /* the last 8 whole answers */
#define SLOW_THRESHOLD 3 /* slow ones among them that mean a cold target */
#define FAILED_MASK 0xffffu /* the last 16 answers, whole or failures */
#define FAILED_THRESHOLD 4 /* failures among them that mean a cold target */
#define SHED_FACTOR 0.9 /* the limit is multiplied by it on ADMIT_SHED */

static void
note_slowdown(struct admit *a, double us, int64_t need_us)
{
	double x;

	if (need_us <= 0)
		return;
	x = us / (double)need_us;
	if (x > SLOWDOWN_MAX)
		x = SLOWDOWN_MAX;
	a->slowdown += (a->slowdown > 0 ? RECENT_GAIN : 1) * (x - a->slowdown);
}

static void
note_good(struct admit *a, int64_t now, const struct admit_run *run)
{
	double us = (double)(now - run->started);
	int slow = us > admit_slow_us(a);

	a->recent_us +=
	    (a->recent_us > 0 ? RECENT_GAIN : 1) * (us - a->recent_us);
	note_slowdown(a, us, run->need_us);
	a->failed_bits <<= 1;
	a->slow_bits = a->slow_bits << 1 | (uint32_t)slow;
	a->suspect = slow;
	if (__builtin_popcount(a->slow_bits & SLOW_MASK) >= SLOW_THRESHOLD) {
		admit_turn_cold(a, ADMIT_CAUSE_LATENCY);
		return;
	}
	trial_note_success(a, now, run);
	if (!slow)
		admit_note_success(a, us);
}

static void
note_failed(struct admit *a)
{
	a->suspect = 1;
	a->failed_bits = a->failed_bits << 1 | 1;
	if (__builtin_popcount(a->failed_bits & FAILED_MASK) >=
	    FAILED_THRESHOLD)
		admit_turn_cold(a, ADMIT_CAUSE_FAILURES);
}

static void
note_shed(struct admit *a)
{
	a->limit *= SHED_FACTOR;
	if (a->limit < admit_cold_limit(a))
		a->limit = admit_cold_limit(a);
}

/* A cancelled request is not progress, so that a target whose requests are all
 * cancelled still counts as stalled. */
void
admit_done(struct admit *a, int64_t now, const struct admit_run *run,
    enum admit_outcome outcome)
{
	admit_check_cold(a, now);
	if (--a->in_flight == 0)
		a->idle_since = now;
	admit_add_running(a, run->rank, -1);
	share_charge(&a->shares, now, run->organisation,
	    (double)(now - run->started) - run->charged_us);
	if (outcome != ADMIT_CANCELLED)
		a->progress_at = now;
	if (run->epoch != a->epoch)
		return;
	switch (outcome) {
	case ADMIT_GOOD:
		note_good(a, now, run);
		break;
	case ADMIT_FAILED:
		note_failed(a);
		break;
	case ADMIT_RESET:
		admit_turn_cold(a, ADMIT_CAUSE_RESET);
		break;
	case ADMIT_SHED:
		note_shed(a);
		break;
	case ADMIT_CANCELLED:
		break;
	}
}
