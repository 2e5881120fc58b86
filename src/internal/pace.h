#ifndef KQ_PACE_H
#define KQ_PACE_H

#include <stdint.h>

/**
 * DOC: When the machine of a target is slow, and whether to start work there.
 *
 * Load it answers: machines shared with others, on which work takes several
 * times as long for a tenth of a second at a time. Work keeps the pace at which
 * it began, so that waiting for the machine, or going elsewhere, is shorter
 * than starting at once. (Dean and Barroso, "The tail at scale", CACM 2013, on
 * variability by sharing.)
 *
 * A target that has just started is slow as well, for seconds: its base rises
 * then, and only what is slow against the base is waited for.
 */

#define PACE_USUAL 100
#define PACE_SLOW 150 /* percent of the base; readings above count as slow */
#define PACE_FRESH_US 10000 /* so old, a reading decides alone */
#define PACE_USABLE_US 40000 /* so old, it decides if there is no newer one */
#define PACE_RECHECK_US 20000 /* between two looks at a slow machine */
#define PACE_LEFT_US \
	75000 /* what is left of a spell of 0.15 s on the average */
#define PACE_SPELL_US 450000 /* slow for three spells, it is not in one */
#define PACE_COLD_US 150000 /* nor, after one, where the target is cold */
#define PACE_ANSWER_US 10000 /* longest wait for a reading asked for */

/** struct pace - last reading; zero it before first use
 * @value: percent of the usual time, 0 when the target does not say
 * @at: time of the reading
 * @base: percent of the usual time while no spell is on, 0 before a reading
 * @since: reading with which it began to be slow, 0 while it is not
 * @least: least reading since then
 * @asked: time at which a reading was asked for that has not come, or 0 */
struct pace {
	int value;
	int64_t at;
	int base;
	int least;
	int64_t since;
	int64_t asked;
};

enum pace_verdict {
	PACE_GO, /* start work */
	PACE_ASK, /* the reading is too old: ask for one */
	PACE_WAIT, /* a reading was asked for */
	PACE_HOLD /* the machine is slow */
};

/** pace_note() - a reading; @cold: whether the target says that it is cold */
void pace_note(struct pace *, int64_t now, int value, int cold);
void pace_ask(struct pace *, int64_t now);
/** pace_lost() - the reading asked for will not come */
void pace_lost(struct pace *);
/** pace_judge() - @can_ask: whether the measuring budget allows a reading now
 */
enum pace_verdict pace_judge(const struct pace *, int64_t now, int can_ask);
/** pace_slow() - whether a reading that is still usable says slow */
int pace_slow(const struct pace *, int64_t now);
/** pace_base() - percent of the usual time that work takes outside of spells */
int pace_base(const struct pace *);
/** pace_over_base() - last reading in percent of the base, 0 without one */
int pace_over_base(const struct pace *);
/** pace_short() - whether work of this length is sooner done on a slow machine
 * than after what is usually left of a slow spell */
int pace_short(const struct pace *, int64_t need_us);
/** pace_due() - when to judge again after PACE_WAIT or PACE_HOLD */
int64_t pace_due(const struct pace *, int64_t now);

#endif
