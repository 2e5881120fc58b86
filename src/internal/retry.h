#ifndef KQ_RETRY_H
#define KQ_RETRY_H

#include <stdint.h>

#include "quantile.h"

/**
 * DOC: Retries and hedges of one service, on the outbound side.
 *
 * Both are paid from one token bucket, to which each success adds tokens (a
 * share of recent successes, as in Finagle's retry budgets). A call that
 * enters the system (depth 0) reserves its extra attempts from the bucket of
 * the daemon where it enters. Their number is sent downstream with the call;
 * the number used comes back with the reply and is charged to that same
 * bucket, below zero if need be. A daemon further downstream makes an extra
 * attempt only if the call still has one left and its own bucket can pay for
 * it too. An extra attempt itself is sent with none. So the extra calls of a
 * whole call tree stay within the share that the successes at its entry allow,
 * however deep the tree is.
 *
 * Where nothing of this is sent downstream, as targets don't pass it on, there
 * is nothing to reserve for them: a call then pays for an extra attempt when it
 * makes it (@pays_late). A reservation would take from the calls beside it what
 * the call rarely uses.
 *
 * Hedging after a quantile of the latency: Dean and Barroso, "The tail at
 * scale", CACM 2013.
 */

#define RETRY_DEPTH_MAX 28 /* calls at this depth have no extra attempts */
#define RETRY_EXTRA_MAX 2 /* limit on the extra attempts of a call */
#define RETRY_TOKENS_MAX 32 /* limit on the tokens in a bucket */

/**
 * struct retry - retry budget and latencies of one service
 * @ratio: tokens that a success adds
 * @hedge: nonzero if idempotent requests may be hedged
 * @pays_late: nonzero if calls reserve nothing
 * @tokens: extra attempts that can be paid for; may be below zero
 * @tokens_max: limit on @tokens
 * @latency: of attempts that succeeded
 * @retries: total of retries allowed
 * @hedges: total of hedges allowed
 * @denied: total of extra attempts denied because they could not be paid for
 */
struct retry {
	double ratio;
	int hedge;
	int pays_late;
	double tokens;
	double tokens_max;
	struct quantile latency;
	uint64_t retries;
	uint64_t hedges;
	uint64_t denied;
};

/**
 * struct retry_call - extra attempts of one call in progress
 * @deadline: when the answer becomes useless, same clock as now
 * @depth: number of calls upstream of this one; 0 where the call entered the
 *         system
 * @idempotent: nonzero if it may be sent again after bytes of it were sent
 * @extra_left: extra attempts still allowed, by this daemon or downstream
 * @reserved: tokens taken from the bucket by retry_call_start(), or for the
 *	attempts made if the call pays late
 * @extra_used: extra attempts made so far, by this daemon or downstream;
 *              sent back with the reply
 * @attempts: attempts sent by this daemon
 */
struct retry_call {
	int64_t deadline;
	int depth;
	int idempotent;
	int extra_left;
	int reserved;
	int extra_used;
	int attempts;
};

/** enum retry_cause - why an attempt did not succeed */
enum retry_cause {
	RETRY_NOT_RUN, /* refused and certainly not run */
	RETRY_FAILED, /* run, and answered with a failure */
	RETRY_LOST, /* bytes were sent and no whole answer came */
	RETRY_FINAL /* the daemon downstream gave up for good */
};

/** enum retry_verdict - whether another attempt may be sent */
enum retry_verdict {
	RETRY_GO, /* yes; it has been paid for */
	RETRY_NO_FINAL, /* no: the daemon downstream gave up for good */
	RETRY_NO_UNSAFE, /* no: it is not idempotent and might run twice; for a
			  hedge also: hedging is off */
	RETRY_NO_TIME, /* no: it would likely end after the deadline */
	RETRY_NO_BUDGET, /* no: it can't be paid for */
	RETRY_VERDICTS
};

/** retry_init() - start with a few tokens, or none if @ratio is not above 0 */
void retry_init(struct retry *, double ratio, int hedge);
/** retry_configure() - apply a new service file; latencies stay, and so do
 * tokens, but a @ratio that is not above 0 leaves none */
void retry_configure(struct retry *, double ratio, int hedge);
/** retry_set_pays_late() - set whether calls at depth 0 pay for extra attempts
 * when they make them, and reserve nothing for those below */
void retry_set_pays_late(struct retry *, int on);
/** retry_set_tokens_max() - set the limit on tokens, at most RETRY_TOKENS_MAX;
 * where a limit holds for all daemons together, @most is the share of this one
 */
void retry_set_tokens_max(struct retry *, double most);

/**
 * retry_call_start() - begin a call
 * @depth: 0 if it enters the system here
 * @carried: extra attempts that it was sent with; not read at depth 0
 */
void retry_call_start(struct retry *, struct retry_call *, int depth,
    int carried, int idempotent, int64_t deadline);
/** retry_begin_attempt() - count an attempt that is about to be sent. Return:
 * extra attempts to send it with; it is sent with a depth of @depth + 1 */
int retry_begin_attempt(struct retry_call *);
/** retry_movable() - whether a target may refuse the next attempt only because
 * it is crowded; the last extra attempt is kept for failures. Call it before
 * retry_begin_attempt() and send the result with the attempt. */
int retry_movable(const struct retry *, const struct retry_call *);
/** retry_add_used() - account for @used extra attempts made downstream, as a
 * reply says, good or bad; call it before retry_allow_resend() */
void retry_add_used(struct retry_call *, int used);
/** retry_success() - record that an attempt succeeded after @latency_us; adds
 * tokens */
void retry_success(struct retry *, int64_t latency_us);
/** retry_allow_resend() - decide whether to send the request again after an
 * attempt that did not succeed; RETRY_GO pays for the next attempt */
enum retry_verdict retry_allow_resend(struct retry *, struct retry_call *,
    enum retry_cause, int64_t now);
/** retry_hedge_delay() - get the time from the first attempt to the call of
 * retry_allow_hedge(), in microseconds; -1 if this call won't be hedged */
int64_t retry_hedge_delay(const struct retry *, const struct retry_call *);
/** retry_allow_hedge() - decide whether to send a second attempt while one is
 * in progress; RETRY_GO pays for it */
enum retry_verdict
retry_allow_hedge(struct retry *, struct retry_call *, int64_t now);
/** retry_refund() - take back the payment for an attempt that could not be
 * started */
void retry_refund(struct retry *, struct retry_call *);
/** retry_call_end() - end a call: at depth 0, return the tokens reserved and
 * charge those used */
void retry_call_end(struct retry *, struct retry_call *);

#endif
