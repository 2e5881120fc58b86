#ifndef KQ_INBOUND_H
#define KQ_INBOUND_H

#include "daemon/data/impl.h"
#include "rollout.h"

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
 * @refuse_if_slow: nonzero if the call may be refused while the target's
 *	machine is slow, since another target can be tried
 * @nowhere_else: nonzero if no daemon that stays can take the call, as far as
 *	the outbound side knows
 * @leave: the last decision whether a stop leaves time for the call
 * @refuse_if_crowded: nonzero if the call may be refused while the target's
 *	queue is long
 * @started: when the call came
 * @objective: time after which an answer is late
 * @config_version: configuration version under which the target was picked
 * @sender_incarnation: incarnation of the daemon that sent the call
 * @retries_left: extra attempts that the levels below may make
 * @depth: levels of calls above
 * @id: request id, empty for idempotent requests
 * @digest: of the request, see data_request_digest()
 * @trace: context of the span of the call
 * @target_trace: context of the span of the request to the target
 * @target_started: when the request was sent to the target, 0 before
 * @outcome: enum wire_outcome told to the outbound side, 0 if none was
 * @reason: enum wire_reason told to the outbound side
 * @body: received bytes of the request's body not yet passed to the target
 * @body_last: 1 once @body holds the end of the request's body, 2 once the
 *	request to the target was ended
 * @body_credit_owed: bytes for which the outbound side is still to get credit
 * @once_entry: handle in the at-most-once table, 0 without
 * @once_waiter: handle of a repeat that waits in the at-most-once table, 0
 *	without
 * @queue_handle: handle in the admission queue while IN_QUEUED
 * @work: usual time of the route's requests at the target, NULL without a route
 * @time: time of such requests at the target at whatever pace
 * @default_need_us: time at the target to expect by the route's objective,
 *	while too little is known in @work
 * @need_us: time expected at the target, microseconds; 0 when not known
 * @route: digest of the route in reports of a roll-out, ROLLOUT_ROUTE_OTHER
 *	without a route
 * @begun_cold: nonzero if the target was cold when the request was sent
 * @organisation: digest of the organisation's name, 0 for none
 * @rank: of the organisation and the route, 0 is the most urgent
 * @begun_pace: pace of the target's machine when the request was sent
 * @begun_in_flight: requests in flight at the target when this one was sent,
 *	itself included
 * @target_call: the request to the target, NULL while there is none
 * @answer: head of the target's answer
 * @answer_held: nonzero while the reply waits for bytes of the answer's body
 * @answer_in_reply: nonzero if the reply carried the whole body of the answer,
 *	so that no last chunk follows
 * @was_sent: nonzero if a byte of the request may have reached the target
 * @cancelled: nonzero if the request to the target was cancelled; the call
 *	counts as in flight until the target has closed the connection too
 * @answer_paused: nonzero while reading of the answer is paused
 * @answer_held_up: nonzero if it was paused at any time
 * @retries_used: extra attempts made at the levels below
 * @answer_credit: bytes of the answer's body that may be sent
 * @answer_body: bytes of the answer that wait for credit
 * @answer_done: nonzero once all bytes of the answer came
 * @timer: timeout of IN_WAITING_VERSION or of @answer_held, or sends what is
 *	in @answer_body
 * @overrun_timer: ends a request at the target that nobody waits for
 * @unwanted_bytes: of an answer that nobody waits for
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
	int refuse_if_slow;
	int refuse_if_crowded;
	int nowhere_else;
	struct leave_decision leave;
	int64_t started;
	int64_t deadline;
	int64_t objective;
	uint64_t config_version;
	uint64_t sender_incarnation;
	uint32_t retries_left;
	uint32_t depth;
	char id[REQUEST_ID_MAX];
	uint64_t digest;
	struct trace_context trace;
	struct trace_context target_trace;
	int64_t target_started;
	uint32_t outcome;
	uint32_t reason;
	GByteArray *body;
	int body_last;
	size_t body_credit_owed;
	uint64_t once_entry;
	uint64_t once_waiter;
	uint32_t queue_handle;
	struct admit_run run;
	struct work *work;
	struct answer_time *time;
	int64_t default_need_us;
	int64_t need_us;
	uint32_t route;
	int begun_cold;
	uint64_t organisation;
	int rank;
	int begun_pace;
	int begun_in_flight;
	struct http_call *target_call;
	struct head_copy answer;
	int answer_held;
	int answer_status;
	int answer_in_reply;
	int was_sent;
	int cancelled;
	int answer_paused;
	int answer_held_up;
	uint32_t retries_used;
	size_t answer_credit;
	GByteArray *answer_body;
	int answer_done;
	struct io_timer timer;
	struct io_timer overrun_timer;
	size_t unwanted_bytes;
};

/** inbound_detect_pause() - check whether this task was paused, and report a
 * new pause; nonzero from a pause until inbound_end_pause() ends it */
int inbound_detect_pause(struct data *);
/** inbound_start_pause_timer() - start the timer that detects pauses */
void inbound_start_pause_timer(struct data *);
/** inbound_end_pause() - end the suspension if the view was made after the last
 * pause */
void inbound_end_pause(struct data *);
/** inbound_receive_call() - handle a call from a daemon */
void inbound_receive_call(void *ctx, struct peer_conn *, uint32_t xid,
    const struct wire_call *);
/** inbound_admit_call() - run, queue or refuse a call */
void inbound_admit_call(struct in_call *);
/** inbound_run_call() - send an admitted request to the target, unless its
 * deadline has passed */
void inbound_run_call(struct in_call *);
/** inbound_reply_outcome() - reply without an answer of the target; frees the
 * call */
void inbound_reply_outcome(struct in_call *, uint32_t outcome, uint32_t reason);
/** inbound_reply_head() - reply with the answer's head and the first bytes of
 * its body; @more: whether further bytes follow */
void inbound_reply_head(struct in_call *, uint32_t outcome, const void *body,
    size_t len, int more);
/** inbound_forward_answer() - pass on bytes of the target's answer
 * @last: no bytes follow; the call is freed once all of them were sent
 * @cut: the answer broke off; frees the call */
void inbound_forward_answer(struct in_call *, const void *, size_t, int last,
    int cut);
/** inbound_flush_answer() - send buffered bytes of the answer as far as credit
 * allows; frees the call after the last one */
void inbound_flush_answer(struct in_call *);
/** inbound_drop_answer() - drop the buffered bytes of the answer */
void inbound_drop_answer(struct in_call *);
void inbound_call_free(struct in_call *);
/** inbound_receive_body() - handle further bytes of a request's body */
void inbound_receive_body(struct peer_conn *, const struct wire_body *);
/** inbound_receive_credit() - handle credit for the body of an answer */
void inbound_receive_credit(struct peer_conn *, const struct wire_credit *);
/** inbound_receive_cancel() - handle the cancellation of a call */
void inbound_receive_cancel(void *ctx, struct peer_conn *, uint32_t xid);
/** inbound_abandon_call() - detach a call from the outbound side, which no
 * longer waits for the answer; cancel it unless it is to run to its end */
void inbound_abandon_call(struct in_call *);
/** inbound_conn_closed() - abandon the calls of a closed connection, and free
 * it */
void inbound_conn_closed(struct data *, struct peer_conn *);
/** inbound_fits() - whether the request, sent to the target now, is finished or
 * past its deadline before this daemon ends; by its usual time only for own
 * callers, if no daemon that stays can take it */
int inbound_fits(struct in_call *);
/** inbound_note_leave_refusal() - count a call of another daemon that is
 * refused since it can't be finished before this daemon ends */
void inbound_note_leave_refusal(struct in_call *);
/** inbound_refuse_leaving() - refuse a call that was not sent to the target and
 * can't be finished before this daemon ends; frees it */
void inbound_refuse_leaving(struct in_call *);
/** inbound_refuse_late() - refuse the waiting calls that can't be finished any
 * more before this daemon ends */
void inbound_refuse_late(struct data *);
/** inbound_end_calls() - end all calls that outbound sides wait for, as this
 * daemon ends */
void inbound_end_calls(struct data *);
/** inbound_process_queue() - run or refuse the calls that leave the admission
 * queue now, and set the timer for the next ones */
void inbound_process_queue(struct data *);
/** inbound_finish_run() - reply to and free a call whose request is no longer
 * in flight at the target and has no whole answer */
void inbound_finish_run(struct in_call *, enum admit_outcome);
/** inbound_take_view() - apply the new view in data->view */
void inbound_take_view(struct data *);
/** inbound_set_service() - apply the configuration of the target's service */
void inbound_set_service(struct data *, const struct service *);
/** inbound_flush_body() - send received bytes of the request's body to the
 * target */
void inbound_flush_body(struct in_call *);
/** inbound_receive_probe() - answer a probe with the load */
void inbound_receive_probe(void *ctx, struct peer_conn *, uint32_t xid);
/** inbound_fill_load() - fill in the load report for replies and probes */
void inbound_fill_load(struct data *, struct load_report *);
/** inbound_set_target() - use this target; if the previous one differs, it is
 * drained first */
void inbound_set_target(struct data *, const struct data_target *);
/** inbound_close_target() - close all connections to the target; requests on
 * them get no callback */
void inbound_close_target(struct data *);
/** inbound_drain_target() - give the target no new work; waiting requests are
 * refused */
void inbound_drain_target(struct data *);
/** inbound_once_reply() - reply to a repeat that waited in the at-most-once
 * table; a once_reply_fn */
void inbound_once_reply(void *ctx, void *arg, enum once_outcome,
    const struct once_answer *);
/** inbound_reply_kept() - reply with the kept answer of an earlier run; frees
 * the call */
void inbound_reply_kept(struct in_call *, const struct once_answer *);
/** inbound_set_once_timer() - set the timer for the deadlines of waiting
 * repeats */
void inbound_set_once_timer(struct data *);
/** inbound_schedule_measure() - schedule measurements of the target's load, or
 * health checks */
void inbound_schedule_measure(struct data *);
/** inbound_cancel_measure() - cancel a measurement, before the target's
 * connections are closed */
void inbound_cancel_measure(struct data *);
/** inbound_measure_target() - ask the target for its load, or check its health,
 * now; -1 if that is not possible or would exceed the budget */
int inbound_measure_target(struct data *);
/** inbound_refuse_call() - refuse a call that was not sent to the target;
 * frees it */
void inbound_refuse_call(struct in_call *, uint32_t reason);
/** inbound_await_first_answer() - begin with a target of which this daemon does
 * not know what it states: ask it before requests are sent to it */
void inbound_await_first_answer(struct data *);
/** inbound_awaits_first_answer() - whether requests wait for the target's first
 * answer to a health check */
int inbound_awaits_first_answer(const struct data *);
/** inbound_forget_stated() - forget what an earlier run of the target stated */
void inbound_forget_stated(struct data *);
/** inbound_note_answer() - note what the head of an answer says of the target's
 * limit and leaving */
void inbound_note_answer(struct in_call *, const struct http_head *);
/** inbound_note_health() - the same for the answer to a health check, which
 * withdraws the limit only if such answers state it, too */
void inbound_note_health(struct data *, const struct http_head *);
/** inbound_judge_pace() - judge whether work may be started on the target's
 * machine now; while it may not, admission is held */
enum pace_verdict inbound_judge_pace(struct data *);
/** inbound_note_pace() - take a reading of the machine's pace */
void inbound_note_pace(struct data *, int pace);
/** inbound_pace_reading_failed() - stop waiting for the reading of the pace
 * that was asked for */
void inbound_pace_reading_failed(struct data *);
/** inbound_is_cold() - whether the target is cold, for roll-outs */
int inbound_is_cold(const struct data *, int64_t now);
/** inbound_version_refused() - whether the target takes no new calls because of
 * its version: it was rolled back, or all requests go to another one */
int inbound_version_refused(const struct data *);
/** inbound_version_rolled_back() - whether the version of the target was rolled
 * back, so that it gets no waiting requests either */
int inbound_version_rolled_back(const struct data *);
/** inbound_update_rollout() - begin or end to count for an order, after the
 * view or the target has changed */
void inbound_update_rollout(struct data *);
void inbound_free_rollout(struct data *);
/** inbound_rollout_started() - count a request that was sent to the target */
void inbound_rollout_started(struct data *);
/** inbound_rollout_answered() - count a whole answer of the target, by status
 * and time */
void inbound_rollout_answered(struct in_call *);
/** inbound_rollout_lost() - count a request without a whole answer */
void inbound_rollout_lost(struct in_call *);
/** inbound_rollout_cancelled() - count a request that was cancelled, if that
 * was at its deadline */
void inbound_rollout_cancelled(struct in_call *);
/** inbound_rollout_notice() - take a report of another daemon */
void inbound_rollout_notice(struct data *, uint64_t sender, const void *content,
    size_t n);
/** inbound_note_latency() - record the time at the target for the route, and
 * for detecting whether the target slows down when nearly full */
void inbound_note_latency(struct in_call *);
/** inbound_abort_run() - abort the request to the target at once; frees the
 * call */
void inbound_abort_run(struct in_call *);
/** inbound_cancel_run() - cancel the request to the target; the call ends when
 * the target has closed the connection too, or at once if nothing was sent */
void inbound_cancel_run(struct in_call *);
/** inbound_start_overrun_timer() - close the connection to the target some time
 * after the deadline, if nobody waits for the answer by then */
void inbound_start_overrun_timer(struct in_call *);
/** inbound_note_unwanted_bytes() - count bytes of an answer that nobody waits
 * for; 1 if there were too many: the request was aborted and the call freed */
int inbound_note_unwanted_bytes(struct in_call *, size_t n);
/** inbound_answers_other() - whether an answer is to another request, as a late
 * second answer to an earlier request or health check on the connection: it
 * names the id of another attempt, or names none and is a success or not the
 * connection's first */
int inbound_answers_other(const struct in_call *, const struct http_head *);
/** inbound_is_extra_answer() - whether a head is that of one more answer to the
 * request before on the connection, by its id; for http_call_ops */
int inbound_is_extra_answer(void *ctx, const struct http_head *);
/** inbound_tag_call() - note the request's id for the next on its connection */
void inbound_tag_call(struct in_call *);
/** inbound_note_lost() - note that the target broke off a request or its
 * answer, and check whether it ended */
void inbound_note_lost(struct in_call *);
/** inbound_target_ended() - tell the other daemons which requests the target
 * was running when it ended, if it broke any off a short time ago */
void inbound_target_ended(struct data *);
void inbound_stop_end_check(struct data *);
/** inbound_crashes_targets() - whether a call is refused because its request
 * crashes targets */
int inbound_crashes_targets(const struct in_call *);
/** inbound_request_id() - get the id of a call's request for the log */
const char *inbound_request_id(const struct in_call *);
/** inbound_log_call() - write the log line of a call that ends */
void inbound_log_call(const struct in_call *);
/** inbound_trace_begin() - start the span of a call if it is sampled */
void inbound_trace_begin(struct in_call *, const char *traceparent);
/** inbound_trace_call() - write the span of a call */
void inbound_trace_call(struct in_call *);
/** inbound_trace_target() - write the span of the request to the target */
void inbound_trace_target(struct in_call *, const char *outcome);

#endif
