#ifndef KQ_INBOUND_H
#define KQ_INBOUND_H

#include "daemon/data/impl.h"

/**
 * DOC: Inbound side of the data task: it receives calls from the outbound sides
 * of daemons.
 *
 * Every call to the target of this daemon passes through it. It decides on
 * admission, limits the load on a cold target, drains the target and keeps the
 * outcomes of non-idempotent requests, so that none runs twice.
 */

/** struct in_conn - an accepted connection from a daemon */
struct in_conn {
	struct data *data;
	struct peer_conn *conn;
	uint64_t id;
	GHashTable *calls; /* xid to struct in_call */
};

enum in_state {
	IN_WAITING_VERSION, /* waits for a newer configuration */
	IN_QUEUED, /* waits for admission */
	IN_WAITING_ANSWER, /* repeat of a request in progress */
	IN_RUNNING, /* sent to the target */
	IN_ANSWERING /* the head of the target's answer came */
};

/**
 * struct in_call - a call from the outbound side of a daemon
 * @conn: where to reply, NULL once the outbound side no longer waits
 * @tag: key in data->in_calls
 * @idempotent: nonzero if the request may run more than once
 * @repeat: nonzero if the caller sent the request id, so that the request may
 *	have run before
 * @choosy: nonzero if the call may be refused while the target's machine is
 *	slow, since another target can be tried
 * @movable: nonzero if the call may be refused while the target's queue is long
 * @started: when the call came
 * @objective: time after which an answer is late
 * @version: configuration version under which the target was picked
 * @from: incarnation of the daemon that sent the call
 * @retries_left: extra attempts that the levels below may make
 * @depth: levels of calls above
 * @id: request id, empty for idempotent requests
 * @trace: context of the span of the call
 * @target_trace: context of the span of the request to the target
 * @target_started: when the request was sent to the target, 0 before
 * @outcome: enum wire_outcome told to the outbound side, 0 if none was
 * @reason: enum wire_reason told to the outbound side
 * @body: received bytes of the request's body that the target did not take yet
 * @body_last: 1 once @body holds the end of the request's body, 2 once the
 *	request to the target was ended
 * @body_owed: bytes for which the outbound side is still to get credit
 * @entry: handle in the at-most-once table, 0 without
 * @waiter: handle of a repeat that waits in the at-most-once table, 0 without
 * @queue_handle: handle in the admission queue while IN_QUEUED
 * @work: usual time of the route's requests at the target, NULL without a route
 * @guess_us: time at the target to expect by the route's objective, while too
 *	little is known in @work
 * @need_us: time expected at the target, microseconds; 0 when not known
 * @rank: of the route, 0 is the most urgent
 * @begun_pace: pace of the target's machine when the request was sent
 * @begun_in_flight: requests in flight at the target when this one was sent,
 *	itself included
 * @target_call: the request to the target, NULL while there is none
 * @answer: head of the target's answer
 * @answer_held: nonzero while the reply waits for bytes of the answer's body
 * @answer_whole: nonzero if the reply carried the whole body of the answer, so
 *	that no last chunk follows
 * @was_sent: nonzero if a byte of the request may have reached the target
 * @cancelled: nonzero if the request to the target was cancelled; the call
 *	counts as in flight until the target has closed the connection too
 * @answer_paused: nonzero while reading of the answer is paused
 * @answer_used: extra attempts made at the levels below
 * @answer_credit: bytes of the answer's body that may be sent
 * @answer_body: bytes of the answer that wait for credit
 * @answer_done: nonzero once all bytes of the answer came
 * @timer: timeout of IN_WAITING_VERSION or of @answer_held
 */
struct in_call {
	struct data *data;
	struct peer_conn *conn;
	uint32_t xid;
	uint32_t tag;
	enum in_state state;
	struct head_copy head;
	int idempotent;
	int repeat;
	int choosy;
	int movable;
	int64_t started;
	int64_t deadline;
	int64_t objective;
	uint64_t version;
	uint64_t from;
	uint32_t retries_left;
	uint32_t depth;
	char id[REQUEST_ID_MAX];
	struct trace_context trace;
	struct trace_context target_trace;
	int64_t target_started;
	uint32_t outcome;
	uint32_t reason;
	GByteArray *body;
	int body_last;
	size_t body_owed;
	uint64_t entry;
	uint64_t waiter;
	uint32_t queue_handle;
	struct admit_run run;
	struct work *work;
	int64_t guess_us;
	int64_t need_us;
	int rank;
	int begun_pace;
	int begun_in_flight;
	struct http_call *target_call;
	struct head_copy answer;
	int answer_held;
	int answer_status;
	int answer_whole;
	int was_sent;
	int cancelled;
	int answer_paused;
	uint32_t answer_used;
	size_t answer_credit;
	GByteArray *answer_body;
	int answer_done;
	struct io_timer timer;
};

/** inbound_suspended() - check whether this task was paused, and report a new
 * pause; nonzero from a pause until inbound_resume() ends it */
int inbound_suspended(struct data *);
/** inbound_beat_start() - start the timer that detects pauses */
void inbound_beat_start(struct data *);
/** inbound_resume() - end the suspension if the view was made after the last
 * pause */
void inbound_resume(struct data *);
/** inbound_call() - handle a call from a daemon */
void inbound_call(void *ctx, struct peer_conn *, uint32_t xid,
    const struct wire_call *);
/** inbound_admit() - run, queue or refuse a call */
void inbound_admit(struct in_call *);
/** inbound_run() - send an admitted request to the target, unless its deadline
 * has passed */
void inbound_run(struct in_call *);
/** inbound_refuse() - reply without an answer of the target; frees the call */
void inbound_refuse(struct in_call *, uint32_t outcome, uint32_t reason);
/** inbound_reply_head() - reply with the answer's head and the first bytes of
 * its body; @more: whether further bytes follow */
void inbound_reply_head(struct in_call *, uint32_t outcome, const void *body,
    size_t len, int more);
/** inbound_answer_body() - pass on bytes of the target's answer
 * @last: no bytes follow; the call is freed once all of them were sent
 * @cut: the answer broke off; frees the call */
void
inbound_answer_body(struct in_call *, const void *, size_t, int last, int cut);
/** inbound_answer_pump() - send buffered bytes of the answer as far as credit
 * allows; frees the call after the last one */
void inbound_answer_pump(struct in_call *);
void inbound_free(struct in_call *);
/** inbound_body() - handle further bytes of a request's body */
void inbound_body(struct peer_conn *, const struct wire_body *);
/** inbound_credit() - handle credit for the body of an answer */
void inbound_credit(struct peer_conn *, const struct wire_credit *);
/** inbound_cancel() - handle the cancellation of a call */
void inbound_cancel(void *ctx, struct peer_conn *, uint32_t xid);
/** inbound_abandon() - the outbound side no longer waits for the answer */
void inbound_abandon(struct in_call *);
void inbound_conn_closed(struct data *, struct peer_conn *);
/** inbound_pop() - run or refuse the calls that leave the admission queue now,
 * and set the timer for the next ones */
void inbound_pop(struct data *);
/** inbound_ended() - the request is no longer in flight at the target and has
 * no whole answer; replies and frees the call */
void inbound_ended(struct in_call *, enum admit_outcome);
/** inbound_take_view() - apply the new view in data->view */
void inbound_take_view(struct data *);
/** inbound_configure() - apply the configuration of the target's service */
void inbound_configure(struct data *, const struct service *);
/** inbound_body_pump() - send received bytes of the request's body to the
 * target */
void inbound_body_pump(struct in_call *);
/** inbound_probe() - answer a probe with the load */
void inbound_probe(void *ctx, struct peer_conn *, uint32_t xid);
/** inbound_report() - fill in the load report for replies and probes */
void inbound_report(struct data *, struct load_report *);
/** inbound_set_target() - use this target; a different one before it is drained
 * first */
void inbound_set_target(struct data *, const struct data_target *);
/** inbound_once_reply() - once_reply_fn of the at-most-once table */
void inbound_once_reply(void *ctx, void *arg, enum once_outcome,
    const struct once_answer *);
/** inbound_reply_kept() - reply with the kept answer of an earlier run; frees
 * the call */
void inbound_reply_kept(struct in_call *, const struct once_answer *);
/** inbound_once_arm() - set the timer for the deadlines of waiting repeats */
void inbound_once_arm(struct data *);
/** inbound_measure_start() - schedule measurements of the target's load, or
 * health checks */
void inbound_measure_start(struct data *);
/** inbound_measure_now() - ask the target for its load, or check its health,
 * now; -1 if that is not possible or would exceed the budget */
int inbound_measure_now(struct data *);
/** inbound_refuse_queued() - refuse a call that was not sent to the target;
 * frees it */
void inbound_refuse_queued(struct in_call *, uint32_t reason);
/** inbound_pace() - judge whether work may be started on the target's machine
 * now; while it may not, admission is held */
enum pace_verdict inbound_pace(struct data *);
/** inbound_pace_note() - take a reading of the machine's pace */
void inbound_pace_note(struct data *, int pace);
/** inbound_pace_lost() - the reading that was asked for will not come */
void inbound_pace_lost(struct data *);
/** inbound_cut() - abort the request to the target at once; frees the call */
void inbound_cut(struct in_call *);
/** inbound_give_up() - cancel the request to the target; the call ends when the
 * target has closed the connection too, or at once if nothing was sent */
void inbound_give_up(struct in_call *);
/** inbound_log_call() - write the log line of a call that ends */
void inbound_log_call(const struct in_call *);
/** inbound_trace_begin() - start the span of a call if it is sampled */
void inbound_trace_begin(struct in_call *, const char *traceparent);
/** inbound_trace_call() - write the span of a call */
void inbound_trace_call(struct in_call *);
/** inbound_trace_target() - write the span of the request to the target */
void inbound_trace_target(struct in_call *, const char *outcome);

#endif
