#ifndef KQ_ADMIT_H
#define KQ_ADMIT_H

#include <stdint.h>

#include "load.h"

/**
 * DOC: Admission to one target, on the inbound side.
 *
 * The number of requests in flight is exact and never above the limit at the
 * moment a request is let through. The limit is the least of slots,
 * connections and an adaptive limit: while requests wait, another limit is
 * tried now and then, and kept if latency fell by more than in proportion,
 * which by Little's law is more throughput (hill climbing; Hellerstein,
 * Morrison and Eilebrecht, "Applying control theory in the real world", ACM
 * SIGMETRICS PER 2009). A cold target starts at the cold limit of its service
 * file; the limit then rises by one for each limit's worth of requests
 * completed in good time. Requests above the limit wait in a bounded queue, or
 are
 * refused before any byte of them was sent.
 *
 After each call of admit_done(), admit_cancel() or any call that may raise
 * the limit, and at admit_timer(), call admit_pop() until it says
 * ADMIT_POP_NONE.
 */

struct admit;

/**
 * struct admit_config - bounds of one target
 * @slots: requests the target works on at once
 * @knee: requests in flight up to which the target is not slowed by its own
 *	load, as far as known before it was tried; 0 is all slots
 * @connections: connections the target accepts
 * @cold_limit: requests in flight a cold target bears; at least 1 is used
 * @cold_calls: completions in good time before the limit rises at all
 * @cold_good_us: a completion at most this slow counts as good
 * @cold_idle_us: idle this long, a target counts as cold; 0 is never
 * @queue_max: requests that may wait
 * @cold_per_s: requests a second that a target bears while admit_set_cold()
 *	holds; 0 is any
 * @cold_burst: of these, requests that may follow each other at once
 */
struct admit_config {
	int slots;
	int connections;
	int cold_limit;
	int cold_calls;
	int64_t cold_good_us;
	int64_t cold_idle_us;
	int queue_max;
	double cold_per_s;
	int cold_burst;
	int knee;
};

/**
 * struct admit_want - what a request needs and what it is worth waiting for
 * @deadline: when the answer is useless, same clock as now
 * @start_by: begun later, it is answered too late to be worth much; the
 *deadline if that is all the same
 * @need_us: time that it takes at the target, 0 when not known
 * @elsewhere: nonzero if another target can still be asked
 * @rank: 0 is the most urgent
 * @missed: share of its kind that was refused for want of room, lately
 * @through_hold: nonzero if it is short enough to be begun on a slow machine
 */
struct admit_want {
	int64_t deadline;
	int64_t start_by;
	int64_t need_us;
	int elsewhere;
	int through_hold;
	int rank;
	double missed;
};

enum admit_verdict { ADMIT_RUN, ADMIT_WAIT, ADMIT_REFUSE };

enum admit_reason {
	ADMIT_OK,
	ADMIT_FULL, /* the queue is full */
	ADMIT_DEADLINE, /* can't be done before its deadline */
	ADMIT_COLD, /* the target is cold and the queue is full */
	ADMIT_DRAINING, /* the target is leaving */
	ADMIT_OUT, /* the data centre is out */
	ADMIT_REASONS
};

enum admit_outcome {
	ADMIT_GOOD, /* a whole answer */
	ADMIT_FAILED, /* the target answered that it failed */
	ADMIT_RESET, /* connection refused, reset or cut by the target */
	ADMIT_SHED, /* the target said that it did not run the request */
	ADMIT_CANCELLED /* given up by the caller; says nothing of the target */
};

/** enum admit_fall - why a target was last taken for cold */
enum admit_fall {
	ADMIT_FALL_NEW,
	ADMIT_FALL_START, /* start id changed */
	ADMIT_FALL_RESET, /* connection reset */
	ADMIT_FALL_FAILURES, /* burst of failures */
	ADMIT_FALL_LATENCY, /* latency jump */
	ADMIT_FALL_STALL, /* requests in flight and none completed */
	ADMIT_FALL_IDLE, /* idle for long */
	ADMIT_FALLS
};

/** struct admit_run - kept by the caller for each request in flight */
struct admit_run {
	int64_t started;
	int64_t need_us;
	int rank;
	uint32_t epoch;
};

enum admit_pop { ADMIT_POP_NONE, ADMIT_POP_RUN, ADMIT_POP_EXPIRED };

/**
 * struct admit_item - an entry that left the queue
 * @handle: queue handle, invalid from now on
 * @tag: the caller's own handle, as given to admit_request()
 * @run: filled in for ADMIT_POP_RUN
 * @reason: for ADMIT_POP_EXPIRED, why it is refused
 */
struct admit_item {
	uint32_t handle;
	uint32_t tag;
	struct admit_run run;
	enum admit_reason reason;
};

/** struct admit_counters - sums since the start */
struct admit_counters {
	uint64_t run; /* given to the target */
	uint64_t waited; /* of these, after the queue */
	uint64_t queued; /* put into the queue */
	uint64_t crowded; /* admit_crowded() said yes */
	uint64_t cancelled; /* left the queue by admit_cancel() */
	uint64_t refused[ADMIT_REASONS];
	uint64_t fell[ADMIT_FALLS];
};

/** admit_new() - a target not yet known to be warm; the queue's memory is
 * allocated here and nowhere else */
struct admit *admit_new(const struct admit_config *, int64_t now);
void admit_free(struct admit *);
/** admit_configure() - new service file or announcement; the queue's bound can
 * shrink or grow up to the one given to admit_new(); in flight stays */
void admit_configure(struct admit *, const struct admit_config *);

/**
 * admit_request() - decide on a request
 * @deadline: when the answer is useless, same clock as @now
 * @tag: the caller's own handle
 * @run: filled in for ADMIT_RUN: the request is in flight from now on
 * @handle: filled in for ADMIT_WAIT; never 0
 * @reason: filled in for ADMIT_REFUSE: the request is not run
 */
enum admit_verdict
admit_request(struct admit *, int64_t now, int64_t deadline, uint32_t tag,
    struct admit_run *run, uint32_t *handle, enum admit_reason *reason);
/**
 * admit_request_for() - the same, with all that is known of the request
 *
 * Load it answers: bursts above what the targets bear, in which a queue by
 * deadline alone answers everybody late. Requests that can still be answered in
 * time go first, those with the least time left before others (least slack:
 * Dertouzos, "Control robotics", 1974), and what is late by now waits until
 * nothing else does. While more waits than can be in time, what is less urgent
 * gives way, and among the equally urgent what takes longest, so that the most
 * are in time (Moore, "An n job, one machine sequencing algorithm for
 * minimizing the number of late jobs", Management Science 1968). What would be
 * late here and has another target to go to is refused at once, and so is what
 * can't be answered at all.
 */
enum admit_verdict admit_request_for(struct admit *, int64_t now,
    const struct admit_want *, uint32_t tag, struct admit_run *run,
    uint32_t *handle, enum admit_reason *reason);
/**
 * admit_crowded() - whether a request that can still pay for another attempt
 * is better off at another target
 *
 * The queue is then longer than half the limit. The caller may refuse such a
 * request as not run, with ADMIT_FULL, in place of admit_request(); one that
 * has no attempt left is given to admit_request() all the same.
 */
int admit_crowded(struct admit *, int64_t now);
/** admit_done() - a request in flight has ended */
void admit_done(struct admit *, int64_t now, const struct admit_run *,
    enum admit_outcome);
/** admit_cancel() - the caller of a waiting request went away; a handle that
 * already left the queue is ignored. Return: nonzero if it was waiting */
int admit_cancel(struct admit *, uint32_t handle);
/** admit_pop() - next entry to run, or one that can't be done in time */
enum admit_pop admit_pop(struct admit *, int64_t now, struct admit_item *);
/** admit_timer() - when to call admit_pop() next even if nothing happens, or
 * INT64_MAX */
int64_t admit_timer(const struct admit *, int64_t now);

/** admit_restarted() - the target announced or reported another start id */
void admit_restarted(struct admit *, int64_t now);
/** admit_set_cold() - the target says that it is cold until then; 0 or a time
 * past: it is warm. The rate of its service then bounds what it is given, over
 * any span of time (token bucket; ITU-T I.371) */
void admit_set_cold(struct admit *, int64_t now, int64_t until);
/** admit_cold_share() - set rate and burst so that a target gets less than
 * @per_s times @overshoot and @slack requests in any second; a part is left for
 * those that are counted in another second than they were sent in */
void admit_cold_share(struct admit_config *, double per_s, double overshoot,
    int slack);
/** admit_told_cold() - whether admit_set_cold() still holds */
int admit_told_cold(const struct admit *, int64_t now);
/** admit_set_knee() - the target slows down above so many in flight */
void admit_set_knee(struct admit *, int knee);
/** admit_hold() - nothing is given to the target before @until, requests wait
 * in the queue; a time past ends it */
void admit_hold(struct admit *, int64_t until);
/** admit_drain() - no new work, for good; what waits is refused by
 * admit_pop(), what is in flight finishes (admit_in_flight() reaches 0) */
void admit_drain(struct admit *);
/** admit_set_out() - data centre out (nonzero) or in again */
void admit_set_out(struct admit *, int out);

int admit_in_flight(const struct admit *);
int admit_queued(const struct admit *);
/** admit_limit() - requests in flight allowed at @now */
int admit_limit(const struct admit *, int64_t now);
int admit_cold(const struct admit *, int64_t now);
const struct admit_counters *admit_counters(const struct admit *);
/** admit_report() - the load report for replies and probes */
void admit_report(const struct admit *, int64_t now, struct load_report *);

#endif
