#ifndef KQ_PACE_H
#define KQ_PACE_H

#include <stdint.h>

/**
 * DOC: Detects when the machine of a target is slow, and decides whether to
 * start a request there.
 *
 * Meant for machines shared with others, on which work takes several times as
 * long for about a tenth of a second at a time, here called a slow period. A
 * request keeps the pace at which it began, so that it is answered earlier if
 * it waits for the end of the slow period, or goes to another target, than if
 * it starts at once. (Dean and Barroso, "The tail at scale", CACM 2013, on
 * variability by sharing.)
 *
 * A target that has just started is slow as well, for seconds. Its base pace is
 * raised then, and requests wait only while readings are slow relative to the
 * base.
 */

#define PACE_USUAL 100
#define PACE_SLOW 150 /* percent of the base; readings above count as slow */
/* Up to this age the last reading decides; beyond it, a new one is requested if
 * the measuring budget allows it. */
#define PACE_FRESH_US 10000
/* Up to this age a slow reading counts if no newer one can be had. */
#define PACE_USABLE_US 40000
#define PACE_RECHECK_US 20000 /* between two checks of a slow machine */
/* Mean remaining time of a slow period of 0.15 s. */
#define PACE_SLOW_LEFT_US 75000
/* A machine that has been slow for as long as three slow periods is not in one;
 * the least reading of that time becomes its base. */
#define PACE_REBASE_US 450000
/* The same while the target is cold: one slow period. */
#define PACE_REBASE_COLD_US 150000
#define PACE_READING_WAIT_US 10000 /* longest wait for a requested reading */

/** struct pace - last reading of a machine; zero it before first use
 * @value: percent of the usual time, 0 when the target does not report it
 * @read_at: time of the reading
 * @base: percent of the usual time outside of slow periods; 0 stands for
 *	PACE_USUAL
 * @slow_since: time of the first of the slow readings in a row up to the last,
 *	0 if that one was not slow or set the base
 * @slow_min: least reading since @slow_since
 * @awaiting_since: time at which an outstanding reading was requested, or 0 */
struct pace {
	int value;
	int64_t read_at;
	int base;
	int slow_min;
	int64_t slow_since;
	int64_t awaiting_since;
};

enum pace_verdict {
	PACE_GO, /* start the request */
	PACE_MEASURE, /* the reading is too old: request a new one */
	PACE_WAIT, /* wait for the reading that was requested */
	PACE_HOLD /* wait: the machine is slow */
};

/** pace_note_reading() - record a reading
 * @value: percent of the usual time
 * @cold: nonzero if the target reports that it is cold */
void pace_note_reading(struct pace *, int64_t now, int value, int cold);
/** pace_await_reading() - note that a reading was requested */
void pace_await_reading(struct pace *, int64_t now);
/** pace_reading_failed() - note that the requested reading will not arrive */
void pace_reading_failed(struct pace *);
/** pace_judge() - decide whether to start a request now
 * @can_ask: nonzero if the measuring budget allows a reading now */
enum pace_verdict pace_judge(const struct pace *, int64_t now, int can_ask);
/** pace_slow() - whether the last reading is slow and still usable */
int pace_slow(const struct pace *, int64_t now);
/** pace_above() - whether the last reading, however old, is slow for a machine
 * with this base */
int pace_above(const struct pace *, int base);
/** pace_base() - percent of the usual time that work takes outside of slow
 * periods */
int pace_base(const struct pace *);
/** pace_over_base() - last reading in percent of the base, 0 without one */
int pace_over_base(const struct pace *);
/** pace_worth_starting() - whether a request that usually takes @need_us is so
 * short that it ends earlier when it starts now on the slow machine than after
 * the mean remaining time of a slow period */
int pace_worth_starting(const struct pace *, int64_t need_us);
/** pace_next_check() - time of the next pace_judge() after PACE_WAIT or
 * PACE_HOLD */
int64_t pace_next_check(const struct pace *, int64_t now);

#endif
