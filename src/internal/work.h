#ifndef KQ_WORK_H
#define KQ_WORK_H

#include <stdint.h>

#include "leave.h"

/**
 * DOC: How long requests take at a target, and above which load it slows down.
 *
 * Meant for bursts in which requests wait. Whether a request can still be
 * answered in time is judged by how long requests of its kind usually take at
 * the target, at the usual pace of the machine. Some targets slow down when
 * they are nearly full, others do not; the same latencies show which, when they
 * are grouped by the number of requests in flight (a knee, as in Kleinrock,
 * "Power and deterministic rules of thumb", ICC 1979).
 */

/* With more than this share of its slots in use, a target is nearly full. */
#define WORK_KNEE_SHARE 0.8

/** struct work - times of one kind of request; zero it before first use. A kind
 * is a route: the inbound side keeps one struct for each.
 * @us: smoothed time at the usual pace, microseconds; 0 when not known
 * @refused_share: smoothed share of requests that were refused because there
 *	was no capacity for them
 * @n: number of answered requests
 * @time: time at the target at whatever pace */
struct work {
	double us;
	double refused_share;
	uint32_t n;
	struct answer_time time;
};

/** struct knee - load above which one target slows down; zero it before first
 * use
 * @low: mean ratio of time to usual time, of requests that began with at most
 *	WORK_KNEE_SHARE of the slots in use
 * @high: the same, of requests that began with more in use
 * @nlow: number of requests in @low
 * @nhigh: number of requests in @high
 * @found: nonzero if the target slows down above WORK_KNEE_SHARE */
struct knee {
	double low;
	double high;
	uint32_t nlow;
	uint32_t nhigh;
	int found;
};

/** work_note_time() - record a request that was answered after @us microseconds
 * and began at @pace, percent of the usual time (0 without a reading:
 * taken as usual) */
void work_note_time(struct work *, double us, int pace);
/** work_note_admission() - record whether a request was begun or was refused
 * because there was no capacity for it */
void work_note_admission(struct work *, int begun);
/** work_us() - time to expect at the usual pace, in microseconds, or @fallback
 * after too few answers */
int64_t work_us(const struct work *, int64_t fallback);

/**
 * knee_note_time() - record the time of a request that was answered; call it
 * before work_note_time(), as the time is compared with those of earlier
 * requests
 * @in_flight: requests in flight when it began, including itself
 * Return: nonzero if the knee was found by this call
 */
int knee_note_time(struct knee *, const struct work *, double us, int pace,
    int in_flight, int slots);
/** knee_limit() - requests in flight up to which the target does not slow down:
 * all slots unless a knee was found */
int knee_limit(const struct knee *, int slots);

#endif
