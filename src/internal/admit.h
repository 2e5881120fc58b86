#ifndef KQ_ADMIT_H
#define KQ_ADMIT_H

#include <stdint.h>

#include "load.h"

/**
 * DOC: Admission to one target, on the inbound side.
 *
 * The number of requests in flight is exact and never above the limit when a
 * request is started. The limit is the least of slots, connections and an
 * adaptive limit: while requests wait, a higher or lower limit is tried now and
 * then, and adopted if it gives more throughput, which by Little's law is limit
 * over latency (hill climbing; Hellerstein, Morrison and Eilebrecht,
 * "Applying control theory in the real world", ACM SIGMETRICS PER 2009). A cold
 * target starts at the cold limit of its service file; the limit then rises by
 * one whenever as many requests as the limit allows in flight have completed
 * without being slow. Requests above the limit wait in a bounded queue, or are
 * refused before any byte of them was sent.
 *
 * After each call of admit_done(), admit_cancel() or any call that may raise
 * the limit, and at admit_timer(), call admit_pop() until it returns
 * ADMIT_POP_NONE.
 */

struct admit;

/**
 * struct admit_config - bounds of one target
 * @slots: requests that the target works on at once
 * @connections: connections that may be open to the target
 * @cold_limit: requests in flight that a cold target can take; less than 1
 *	counts as 1
 * @cold_calls: completions that were not slow before the limit rises at all
 * @cold_good_us: a completion with at most this latency is never slow
 * @cold_idle_us: a target idle for this long counts as cold; 0: never
 * @queue_max: requests that may wait
 * @cold_per_s: requests a second that may start while the target reports that
 *	it is cold (admit_set_cold()); 0: any number
 * @cold_burst: of these, requests that may start at once
 * @knee: requests in flight beyond which the target's latency rises; the search
 *	for the best limit starts there; 0: all slots
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
 * struct admit_want - properties of a request that admission depends on
 * @deadline: when the answer becomes useless, same clock as now
 * @start_by: latest start with which the request meets its objective; the
 *	deadline if it has none
 * @need_us: expected service time at the target, 0 when not known
 * @other_target: nonzero if another target can still be asked
 * @ignore_hold: nonzero if the request is short enough to start on a slow
 *	machine in spite of admit_set_hold()
 * @rank: urgency as admit_rank() returns it, 0 first
 * @refused_share: share of recent requests of its kind (struct work) that were
 *	refused for lack of room
 * @organisation: identifies the organisation that it belongs to, 0 for none
 */
struct admit_want {
	int64_t deadline;
	int64_t start_by;
	int64_t need_us;
	int other_target;
	int ignore_hold;
	int rank;
	double refused_share;
	uint64_t organisation;
};

enum admit_verdict { ADMIT_RUN, ADMIT_WAIT, ADMIT_REFUSE };

enum admit_reason {
	ADMIT_OK,
	ADMIT_FULL, /* queue full, evicted, or late with another target left */
	ADMIT_DEADLINE, /* can't be answered before its deadline */
	ADMIT_COLD, /* the queue is full because the target is cold */
	ADMIT_DRAINING, /* the target is draining */
	ADMIT_OUT, /* the data centre is out */
	ADMIT_REASONS
};

enum admit_outcome {
	ADMIT_GOOD, /* a whole answer */
	ADMIT_FAILED, /* the target answered that it failed */
	ADMIT_RESET, /* connection refused, reset or cut by the target */
	ADMIT_SHED, /* the target said that it did not run the request */
	ADMIT_CANCELLED /* by this daemon; says nothing about the target */
};

/** enum admit_cold_cause - why a target was declared cold */
enum admit_cold_cause {
	ADMIT_CAUSE_NEW, /* admit_new() */
	ADMIT_CAUSE_RESTART, /* start id changed */
	ADMIT_CAUSE_RESET, /* outcome ADMIT_RESET */
	ADMIT_CAUSE_FAILURES, /* many of the recent answers were failures */
	ADMIT_CAUSE_LATENCY, /* several of the recent answers were slow */
	ADMIT_CAUSE_STALL, /* requests in flight, but none completed for long */
	ADMIT_CAUSE_IDLE, /* idle for cold_idle_us */
	ADMIT_CAUSES
};

/** struct admit_run - state of one request in flight, to pass to admit_done()
 */
struct admit_run {
	int64_t started;
	int64_t need_us;
	uint64_t organisation;
	double charged_us; /* to its organisation */
	int rank;
	uint32_t epoch;
};

enum admit_pop { ADMIT_POP_NONE, ADMIT_POP_RUN, ADMIT_POP_REFUSED };

/**
 * struct admit_item - a request that left the queue
 * @handle: queue handle, invalid from now on
 * @tag: as given to admit_request()
 * @run: filled in for ADMIT_POP_RUN
 * @reason: for ADMIT_POP_REFUSED, why it is refused
 */
struct admit_item {
	uint32_t handle;
	uint32_t tag;
	struct admit_run run;
	enum admit_reason reason;
};

/** struct admit_counters - numbers of requests since admit_new() */
struct admit_counters {
	uint64_t run; /* given to the target */
	uint64_t waited; /* given to the target after they waited */
	uint64_t queued; /* put into the queue */
	uint64_t crowded; /* for which admit_crowded() returned nonzero */
	uint64_t cancelled; /* removed from the queue by admit_cancel() */
	uint64_t refused[ADMIT_REASONS];
	uint64_t turned_cold[ADMIT_CAUSES]; /* times declared cold, by cause */
};

/** admit_rank() - rank of a request: by the priority of its organisation first,
 * then by that of its route; each from 0 to 1000, 0 first */
int admit_rank(int organisation_priority, int route_priority);

/** admit_new() - create the state of a target, which is cold at first. The
 * queue's memory is allocated here and nowhere else. Return: NULL when out of
 * memory */
struct admit *admit_new(const struct admit_config *, int64_t now);
void admit_free(struct admit *);
/** admit_configure() - set new bounds after a change of the service file or an
 * announcement. queue_max can shrink, or grow up to the one given to
 * admit_new(); requests in flight are not affected */
void admit_configure(struct admit *, const struct admit_config *);

/**
 * admit_request() - run a request, queue it or refuse it
 * @deadline: when the answer becomes useless, same clock as @now
 * @tag: returned in struct admit_item, not interpreted here
 * @run: filled in for ADMIT_RUN: the request is in flight from now on
 * @handle: filled in for ADMIT_WAIT; never 0
 * @reason: filled in for ADMIT_REFUSE: the request is not run
 */
enum admit_verdict
admit_request(struct admit *, int64_t now, int64_t deadline, uint32_t tag,
    struct admit_run *run, uint32_t *handle, enum admit_reason *reason);
/**
 * admit_request_for() - run, queue or refuse a request, by its deadline,
 * objective, service time, rank and the refusals of its kind
 *
 * Meant for bursts above what the targets can do, in which a queue ordered by
 * deadline alone answers every request late. Requests that can still be in time
 * start first, by rank and then by the least time left (least slack: Dertouzos,
 * "Control robotics", 1974); late ones start when no request in time waits.
 * While more requests wait than can be in time, the less urgent ones become
 * late or are refused, so that as many as possible are in time; among equally
 * urgent ones it is those that take longest, unless their kind was refused much
 * more often (Moore, "An n job, one machine sequencing algorithm for
 * minimizing the number of late jobs", Management Science 1968). A request that
 * would be late here and has another target to go to is refused at once, and so
 * is one that can't be answered before its deadline.
 */
enum admit_verdict admit_request_for(struct admit *, int64_t now,
    const struct admit_want *, uint32_t tag, struct admit_run *run,
    uint32_t *handle, enum admit_reason *reason);
/**
 * admit_crowded() - whether a request whose retry budget allows another attempt
 * is better sent to another target
 *
 * That is so while the queue holds at least half as many requests as the limit
 * allows in flight. The caller may then refuse the request with ADMIT_FULL
 * instead of calling admit_request(); a request without another attempt left is
 * to be given to admit_request() all the same. Each nonzero result is counted.
 */
int admit_crowded(struct admit *, int64_t now);
/** admit_done() - count the end of a request in flight */
void admit_done(struct admit *, int64_t now, const struct admit_run *,
    enum admit_outcome);
/** admit_cancel() - remove a waiting request, e.g. when its caller went away; a
 * handle that already left the queue is ignored. Return: nonzero if the request
 * was waiting */
int admit_cancel(struct admit *, uint32_t handle);
/** admit_pop() - remove the next request to run from the queue, or one that is
 * to be refused */
enum admit_pop admit_pop(struct admit *, int64_t now, struct admit_item *);
/** admit_timer() - when to call admit_pop() next even if no other call comes
 * before; INT64_MAX: not needed */
int64_t admit_timer(const struct admit *, int64_t now);

/** admit_restarted() - the target announced or reported another start id */
void admit_restarted(struct admit *, int64_t now);
/** admit_set_cold() - the target reported that it is cold until @until; 0 or a
 * time past: that it is warm. While it is cold, cold_per_s and cold_burst bound
 * the requests started in any span of time (token bucket; ITU-T I.371) */
void admit_set_cold(struct admit *, int64_t now, int64_t until);
/** admit_set_cold_rate() - set cold_per_s and cold_burst so that a target gets
 * less than @per_s times @overshoot plus @slack requests in any second. They
 * leave a margin below that bound, as a request may be counted in another
 * second than the one in which it was sent */
void admit_set_cold_rate(struct admit_config *, double per_s, double overshoot,
    int slack);
/** admit_reported_cold() - whether the target is cold by its own last report */
int admit_reported_cold(const struct admit *, int64_t now);
/** admit_await_answer() - the target has not answered yet since admit_new(): at
 * most one request is in flight until admit_note_answered(). Its answer is
 * expected by @by, and after that within as long again as it is overdue:
 * waiting requests that can start then are not refused */
void admit_await_answer(struct admit *, int64_t by);
void admit_note_answered(struct admit *);
/** admit_set_stated_rate() - start at most @per_s requests a second, with a
 * burst of those of one second, the limit that the target states; 0: no limit
 */
void admit_set_stated_rate(struct admit *, int64_t now, double per_s);
/** admit_set_knee() - set the requests in flight beyond which the target's
 * latency rises; 0: all slots */
void admit_set_knee(struct admit *, int knee);
/** admit_set_hold() - before @until, start only requests with ignore_hold set,
 * which are short enough for a slow machine; others wait in the queue. A time
 * past ends the hold */
void admit_set_hold(struct admit *, int64_t until);
/** admit_drain() - take no new requests until admit_resume(). admit_pop()
 * refuses waiting ones; requests in flight finish, until admit_in_flight() is 0
 */
void admit_drain(struct admit *);
void admit_resume(struct admit *);
/** admit_set_out() - set whether the data centre is out; meanwhile requests are
 * refused */
void admit_set_out(struct admit *, int out);

int admit_in_flight(const struct admit *);
int admit_queued(const struct admit *);
/** admit_limit() - requests in flight allowed at @now */
int admit_limit(const struct admit *, int64_t now);
/** admit_cold() - whether the target counts as cold at @now by what was
 * observed here, whatever it reports */
int admit_cold(const struct admit *, int64_t now);
const struct admit_counters *admit_counters(const struct admit *);
/** admit_report() - fill in the load report for replies and probes, except for
 * the pace */
void admit_report(const struct admit *, int64_t now, struct load_report *);

#endif
