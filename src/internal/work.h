#ifndef KQ_WORK_H
#define KQ_WORK_H

#include <stdint.h>

/**
 * DOC: How long work takes at a target, and from what load on it slows down.
 *
 * Load it answers: bursts at which requests wait. What can still be answered in
 * time is told by how long that kind of request usually takes there, at the
 * usual pace of the machine. Some targets slow down when they are nearly full,
 * others do not; which it is shows in the same latencies, taken apart by the
 * number that ran beside them (a knee, as in Kleinrock, "Power and
 * deterministic rules of thumb", ICC 1979).
 */

#define WORK_KNEE_SHARE \
	0.8 /* of the slots; above it a target counts as nearly full */

/** struct work - time of one kind of request; zero it before first use
 * @us: smoothed, at the usual pace; 0 when not known
 * @missed: smoothed share of those that were refused for want of room */
struct work {
	double us;
	double missed;
	uint32_t n;
};

/** struct knee - one target; zero it before first use
 * @low, @high: mean time over the usual, begun below and above the share
 * @found: the target slows down above it */
struct knee {
	double low;
	double high;
	uint32_t nlow;
	uint32_t nhigh;
	int found;
};

/** work_note() - a request was answered after @us, begun at @pace (0: usual) */
void work_note(struct work *, double us, int pace);
/** work_admitted() - a request was begun, or refused for want of room */
void work_admitted(struct work *, int begun);
/** work_us() - time to expect, or @fallback when too little is known */
int64_t work_us(const struct work *, int64_t fallback);

/**
 * knee_note() - the same, with the number in flight when it began, itself among
 * them; call it before work_note()
 * Return: nonzero if the knee was found just now
 */
int knee_note(struct knee *, const struct work *, double us, int pace,
    int in_flight, int slots);
/** knee_limit() - requests in flight at which a target works best */
int knee_limit(const struct knee *, int slots);

#endif
