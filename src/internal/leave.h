#ifndef KQ_LEAVE_H
#define KQ_LEAVE_H

#include <stdint.h>

/**
 * DOC: What a daemon that was told to stop may still take.
 *
 * The time at which the process ends is known from the order to stop on. A
 * request that can't be finished by then is refused at once, while it is
 * certain that it did not run, in place of being cut later. How long requests
 * take is estimated by a smoothed mean and a smoothed mean deviation (Jacobson,
 * "Congestion avoidance and control", SIGCOMM 1988; RFC 6298).
 */

/** leave_since() - the moment from which the grace of a stop counts that is
 * taken up at @now, if the order came after @since: the earliest, but so that a
 * third of the grace is left after a long suspension */
int64_t leave_since(int64_t since, int64_t now, int64_t grace_us);

/** struct leave_plan - times of a stop; all 0 before the order to stop
 * @serve_until: the ports close then, unless requests still run at the target
 * @late_from: callers and other daemons could have turned elsewhere by then;
 *	from then on the usual time of a request is no reason to take it
 * @close_by: they close then at the latest
 * @answer_by: what is still in flight then is ended with an answer
 * @end: the process begins to end then
 * @exit_by: it waits for nothing any more, other daemons or its log, then */
struct leave_plan {
	int64_t serve_until;
	int64_t late_from;
	int64_t close_by;
	int64_t answer_by;
	int64_t end;
	int64_t exit_by;
};

/** leave_plan_init() - plan a stop that was ordered at @since
 * @serve_us: time from @now for which callers are to be served, shortened where
 *	@grace_us leaves no time to finish after it
 * @grace_us: time from the order to forced termination */
void leave_plan_init(struct leave_plan *, int64_t since, int64_t now,
    int64_t serve_us, int64_t grace_us);
/** leave_may_close() - whether the ports may be closed at @now; while requests
 * run at the target, it may make calls through this daemon */
int leave_may_close(const struct leave_plan *, int64_t now, int target_idle);
/** leave_fits() - whether a request that starts at @now is finished or past its
 * @deadline before the stop ends it; always before the order to stop
 * @usual_us: time that such requests take at most as a rule, 0 if not known */
int leave_fits(const struct leave_plan *, int64_t now, int64_t deadline,
    int64_t usual_us);

/** struct answer_time - time from the start of requests of one kind until their
 * whole answers; zero it before first use
 * @us: smoothed mean, microseconds
 * @deviation_us: smoothed mean deviation, microseconds
 * @longest_us: longest time, of open requests as well, since the last multiple
 *	of ANSWER_TIME_WINDOW answers, and between that and the one before,
 *	microseconds
 * @n: number of answers */
struct answer_time {
	double us;
	double deviation_us;
	int64_t longest_us[2];
	uint32_t n;
};

#define ANSWER_TIME_WINDOW 256 /* answers */

/** answer_time_note() - record a whole answer after @us microseconds */
void answer_time_note(struct answer_time *, int64_t us);
/** answer_time_note_open() - record that a request has had no answer for @us
 * microseconds */
void answer_time_note_open(struct answer_time *, int64_t us);
/** answer_time_most() - time within which nearly all answers come, in
 * microseconds; 0 after too few answers */
int64_t answer_time_most(const struct answer_time *);

/** enum leave_basis - why a request may start */
enum leave_basis {
	LEAVE_REFUSED, /* it may not */
	LEAVE_NOT_STOPPING,
	LEAVE_BY_BOUND, /* its deadline comes before the stop ends requests */
	LEAVE_BY_USUAL /* its kind usually takes less time than is left */
};

/** struct leave_decision - whether a request may start, for the log
 * @left_us: time until the stop ends requests, 0 without a stop */
struct leave_decision {
	enum leave_basis basis;
	int64_t left_us;
};

/** leave_decide() - whether a request may start: its deadline comes before the
 * stop ends requests or, until the plan's @late_from, requests of its kind
 * usually take less time
 * @t: time of its kind, NULL if only its deadline counts */
struct leave_decision leave_decide(const struct leave_plan *, int64_t now,
    int64_t deadline, const struct answer_time *t);
const char *leave_basis_name(enum leave_basis);

#endif
