#ifndef KQ_OUTBOUND_H
#define KQ_OUTBOUND_H

#include "daemon/data/impl.h"
#include "rollout.h"
#include "tried.h"

/**
 * DOC: The outbound side of the data task: takes requests from callers, picks
 * a target for each and passes its answer back.
 */

#define ATTEMPTS_OPEN_MAX 2 /* open attempts of one call */
#define BODY_KEEP_MAX 65536 /* bytes of a request kept for another attempt */

/**
 * struct out_rollout - order to move a service to another version
 * @status: in force
 * @count: attempts of this daemon since the order or its own start
 * @chosen_at: when the targets on trial were last chosen, 0 if they are to be
 */
struct out_rollout {
	struct rollout_order order;
	struct rollout_status status;
	struct rollout_share count;
	int64_t chosen_at;
};

struct out_service {
	struct data *data;
	struct service conf;
	struct pick *pick;
	struct retry retry;
	GHashTable *by_handle; /* pick handle to struct out_peer */
	int called; /* a call came; new candidates are connected in advance */
	struct answer_time time; /* of calls without a route */
	struct out_rollout *rollout; /* NULL without an order */
};

/* What is kept of a route between configurations. */
struct out_route {
	struct route_sequence sequence;
	struct answer_time time; /* from the first attempt */
};

/* Another daemon and the connection to it, for calls and for pulls of the
 * configuration. */
struct out_peer {
	struct data *data;
	struct out_service *service; /* NULL while it gets no new calls */
	uint64_t incarnation;
	char ip[IP_TEXT_MAX];
	int port;
	char datacentre[DATACENTRE_NAME_MAX];
	char version[TARGET_VERSION_MAX]; /* of its target */
	uint32_t handle; /* of the candidate in the pick table of its service */
	uint32_t
	    classes; /* by version, see rollout.c; not those of the trial */
	struct peer_conn *conn; /* NULL while there is none */
	int ended; /* it said that it took no call after @taken */
	uint32_t taken; /* xid */
	int64_t connect_after; /* no connect before this time */
	int64_t probed_at; /* when a silent peer was probed; 0 if it was not */
	int check_asked; /* the members were asked to check it since then */
	int calls_resent; /* resend_calls() ran since the peer went silent */
	int suspected; /* the membership table suspects the peer */
	struct once_clock clock; /* estimate of the peer's clock */
	GHashTable *attempts; /* xid to struct out_attempt that was sent */
	GPtrArray *waiting; /* attempts that wait for the connection */
	GHashTable *probes; /* xids of probes in flight */
	int live; /* live in the view */
	int64_t left_at; /* when it was heard that its daemon stops, or 0 */
	int pull_wanted; /* send @pull once the connection is open */
	struct config_pull pull;
	uint32_t pull_xid; /* 0 when no pull is in flight */
};

enum attempt_state { ATTEMPT_UNUSED, ATTEMPT_WAITING, ATTEMPT_SENT };

struct out_attempt {
	struct out_call *call;
	struct out_peer *peer;
	enum attempt_state state;
	uint32_t xid;
	uint32_t handle; /* of the candidate in the pick table */
	int64_t started;
	size_t body_sent; /* bytes of the body */
	int end_sent; /* the last message of the body was sent */
	int counted; /* in @reached of the call */
	int refusable; /* the target may refuse, as another one is left */
	int round; /* of the call's targets, from 1 */
	size_t credit; /* bytes of the body that may still be sent */
	size_t window; /* most bytes of the answer given credit at once */
	size_t promised; /* bytes of the answer that may still come */
	struct trace_context trace;
};

/* OUT_READING: the request is read, no attempt has started; OUT_TRYING: an
 * attempt has; OUT_ANSWERING: the head of the answer went to the caller. */
enum out_state { OUT_READING, OUT_TRYING, OUT_ANSWERING };

/* QUOTA_WAIT_OPEN: the call waits for a token; QUOTA_WAIT_ADMITTED,
 * QUOTA_WAIT_REFUSED: that was decided, and is about to be applied. */
enum quota_wait {
	QUOTA_WAIT_NOT,
	QUOTA_WAIT_OPEN,
	QUOTA_WAIT_ADMITTED,
	QUOTA_WAIT_REFUSED
};

/* The answer of a call is held back from its caller until it is whole. */
struct out_hold {
	int on;
	size_t bytes; /* held */
	struct io_timer timer;
};

struct out_call {
	struct data *data;
	struct out_service *service;
	struct http_exchange *exchange;
	uint64_t conn_number; /* of the caller's connection */
	struct head_copy head;
	enum out_state state;
	int64_t started;
	int64_t tried_at; /* start of the first attempt */
	int caller_slow; /* its reading held the answer up */
	struct answer_time *time; /* of its route or service */
	int64_t deadline; /* that of the caller, or the end of the timeout */
	int64_t caller_deadline;
	int64_t timeout_us; /* of its route; 0 without one */
	int idempotent;
	int priority; /* rank, 0 is the highest */
	char organisation[ORGANISATION_NAME_MAX]; /* by its key, or empty */
	int64_t objective; /* an answer by then is in time */
	int attempts_max; /* most of @reached and open attempts not in it */
	int reached; /* attempts that may have reached a target */
	int repeat; /* the caller sent a request id */
	char id[REQUEST_ID_MAX]; /* empty if none was sent or made */
	uint64_t digest; /* see data_request_digest(); 0 until it is needed */
	struct trace_context trace;
	int status; /* of the answer */
	const char *outcome; /* for the log; NULL if the caller went away */
	GByteArray *body;
	size_t body_base; /* bytes freed before those in body */
	int body_whole; /* all of the body has arrived */
	int paused; /* reading from the caller is stopped */
	struct retry_call retry;
	struct out_attempt attempt[ATTEMPTS_OPEN_MAX];
	struct out_attempt *winner; /* whose answer goes to the caller */
	uint64_t answered_by; /* incarnation that sent it, 0 if none did */
	struct out_hold hold;
	struct tried tried;
	struct leave_decision leave; /* of this daemon's stop, the last one */
	int may_have_run;
	int resent; /* resend_calls() handled it; it does so only once */
	enum quota_wait quota_waits; /* for a token of its organisation */
	int64_t retry_after_us; /* of a refusal by a limit, else 0 */
	int was_late; /* the deadline was put off, which is done only once */
	uint32_t reason; /* enum wire_reason for caller and log, 0 if none */
	struct io_timer deadline_timer;
	struct io_timer hedge_timer;
};

extern const struct http_server_ops outbound_server_ops;
/** outbound_request() - handle the head of a caller's request */
void
outbound_request(void *ctx, struct http_exchange *, const struct http_head *);
/** struct refusal - status, reason and text of an answer to a refused request
 */
struct refusal {
	int status;
	const char *reason;
	const char *text;
};
/** outbound_hides_keys() - whether the configuration has organisations, so that
 * fields with a caller's key or organisation are not passed on */
int outbound_hides_keys(const struct data *);
/** outbound_check_key() - get the name of the organisation that a request
 * belongs to by its key, empty for none. Return: NULL if the route takes it,
 * else the refusal, which was counted */
const struct refusal *
outbound_check_key(struct data *, const struct http_head *,
    const struct route *, char name[ORGANISATION_NAME_MAX]);
/** outbound_write_keys() - write the metrics of refused keys */
void outbound_write_keys(const struct data *, GString *);
/** outbound_quota_open() - make the table of limits; outbound_quota_close()
 * frees it when there are no calls any more */
void outbound_quota_open(struct data *);
void outbound_quota_close(struct data *);
/** outbound_quota_view() - take members and limits from the view */
void outbound_quota_view(struct data *);
/** outbound_quota_admit() - count a call against the limit of its organisation.
 * If that is used up the call is refused and freed; it may have to wait before
 * it starts */
void outbound_quota_admit(struct out_call *);
/** outbound_quota_cancel() - forget a call that ends */
void outbound_quota_cancel(struct out_call *);
/** outbound_quota_extra() - count an attempt after the first */
void outbound_quota_extra(const struct out_call *);
/** outbound_write_quota() - write the metrics of limits */
void outbound_write_quota(struct data *, GString *);
/** outbound_count_refusal() - count a refused request of an organisation, empty
 * for none, by its reason */
void outbound_count_refusal(struct data *, const char *organisation,
    const char *reason);
/** outbound_write_refusals() - write the metrics of these */
void outbound_write_refusals(const struct data *, GString *);
/** outbound_start_call() - start the deadline timer of a call */
void outbound_start_call(struct out_call *);
/** outbound_start_waiting() - start the first attempt of a call that had to
 * wait, if it has not to wait any more and its request has come */
void outbound_start_waiting(struct out_call *);
/** outbound_start_timeout() - start the timeout of a call's route anew, and
 * with it the deadline, which is that of the caller at the latest */
void outbound_start_timeout(struct out_call *, int64_t timeout_us);
/** outbound_latest_deadline() - latest time that the deadline of a call may
 * still move to: the timeout starts anew when the request is complete */
int64_t outbound_latest_deadline(const struct out_call *);
/** outbound_refuse_at_limit() - refuse a call that did not start yet while the
 * daemon holds too many bytes. Return: nonzero if it did; the call is freed */
int outbound_refuse_at_limit(struct out_call *);
/** outbound_start_attempt() - start an attempt of a call. Return: 0, or -1 when
 * ATTEMPTS_OPEN_MAX are open, bytes of the body were freed, or no attempt or
 * target is left */
int outbound_start_attempt(struct out_call *);
/** outbound_start_paid() - the same for an attempt that was paid for; the
 * payment is taken back if it can't start */
int outbound_start_paid(struct out_call *);
/** outbound_attempt_send() - send an attempt on its open connection; 0 or -1 */
int outbound_attempt_send(struct out_attempt *);
/** outbound_body_share() - get how many bytes of a request's body may be held
 * before its caller has to wait; more than are kept for another attempt */
size_t outbound_body_share(const struct out_call *);
/** outbound_send_body() - send what credit allows of the request's body */
void outbound_send_body(struct out_attempt *);
/** outbound_has_attempt() - whether an attempt is in a state */
int outbound_has_attempt(const struct out_call *, enum attempt_state);
/** outbound_attempt_clear() - forget an attempt; its place is free again */
void outbound_attempt_clear(struct out_attempt *);
/** outbound_attempt_cancel() - end an open attempt and tell its peer; @why is
 * its outcome in the log */
void outbound_attempt_cancel(struct out_attempt *, const char *why);
/** outbound_attempt_reached() - count an attempt that may have reached a
 * target, once */
void outbound_attempt_reached(struct out_attempt *);
/** outbound_attempt_failed() - end an attempt that may have run and has no
 * whole answer; retry or end its call */
void outbound_attempt_failed(struct out_attempt *, enum retry_cause);
/** outbound_attempt_refused() - end an attempt that was refused and did not
 * run; retry or end its call */
void outbound_attempt_refused(struct out_attempt *, uint32_t reason,
    const struct load_report *);
/** outbound_answer_error() - end a call with an error made by this daemon;
 * frees it */
void outbound_answer_error(struct out_call *, int status, const char *outcome,
    const char *reason, const char *text);
#define RETRY_AFTER_TEXT_MAX 16 /* bytes with the final NUL */
/** outbound_retry_after() - write the Retry-After value for a refused call */
void outbound_retry_after(const struct out_call *, char *text);
/** outbound_give_up_call() - end a call that no open attempt can answer any
 * more; frees it */
void outbound_give_up_call(struct out_call *);
/** outbound_answer_unknown() - end a call that may have run and has no whole
 * answer; frees it */
void outbound_answer_unknown(struct out_call *);
/** outbound_fits() - whether an attempt that starts now can be finished before
 * this daemon ends */
int outbound_fits(struct out_call *);
/** outbound_refuse_leaving() - end a call that can't be finished before this
 * daemon ends; frees it */
void outbound_refuse_leaving(struct out_call *);
/** outbound_refuse_late() - refuse the calls of which nothing was sent to a
 * target and that can't be finished any more before this daemon ends */
void outbound_refuse_late(struct data *);
/** outbound_take_answer() - if this daemon or the peer that answers a call
 * ends, give credit for the answer, though its caller has not read what came */
void outbound_take_answer(struct out_call *);
/** outbound_take_answers() - the same for all calls */
void outbound_take_answers(struct data *);
/** outbound_end_calls() - end all calls, as this daemon ends */
void outbound_end_calls(struct data *);
/** outbound_call_free() - write the log line and span of a call, and free it */
void outbound_call_free(struct out_call *);
/* The next five each handle a message from a peer; one that belongs to no open
 * attempt, probe or pull is ignored. */
void outbound_reply(void *ctx, struct peer_conn *, uint32_t xid,
    const struct wire_reply *);
void outbound_body(struct out_peer *, const struct wire_body *);
void outbound_credit(struct out_peer *, const struct wire_credit *);
/** outbound_probe_reply() - handle the reply to a probe */
void outbound_probe_reply(void *ctx, struct peer_conn *, uint32_t xid,
    const struct wire_probe_result *);
/** outbound_pull_reply() - handle the reply to a pull of the configuration */
void outbound_pull_reply(void *ctx, struct peer_conn *, uint32_t xid,
    const struct wire_state *);
/** outbound_drained() - give the peer the credit that was held back, since all
 * bytes of the answer went out to the caller */
void outbound_drained(void *ctx, struct http_exchange *);
/** outbound_hold_begin() - hold an answer of this length whose head is about to
 * be written, if other requests share its connection */
void outbound_hold_begin(struct out_call *, int64_t length);
/** outbound_hold_body() - note how many bytes of an answer are unsent; ends the
 * hold beyond its bounds. Return: how many of them count against credit */
size_t outbound_hold_body(struct out_call *, size_t unsent);
/** outbound_hold_turn() - end the hold of an answer whose turn it is if no
 * request follows on its connection, else give the credit that waited */
void outbound_hold_turn(struct out_call *);
/** outbound_hold_end() - forget the hold of an answer that was ended or taken
 * back */
void outbound_hold_end(struct out_call *);
/** outbound_apply_view() - bring services and peers in line with the view */
void outbound_apply_view(struct data *);
/** outbound_update_ramps() - note which data centres are out, and start the
 * ramp of those that return */
void outbound_update_ramps(struct data *);
/** outbound_update_rollouts() - bring services in line with the orders and the
 * versions in the view */
void outbound_update_rollouts(struct data *);
/** outbound_next_target() - choose the next target to try for a call, of the
 * version that an order of the service gives the attempt. Return: handle, or
 * PICK_NONE */
uint32_t outbound_next_target(struct out_call *, int64_t now);
/** outbound_ramp_share() - part of its full share of calls, 0..1, that a target
 * of a data centre gets now */
double outbound_ramp_share(struct data *, const char *datacentre);
struct out_peer *
out_peer_new(struct data *, uint64_t incarnation, const char *ip, int port);
/** out_peer_connect() - open the connection unless there is one. Return: 0, or
 * -1 when it failed now or a moment ago */
int out_peer_connect(struct out_peer *);
/** out_peer_opened() - send the attempts and the pull that waited for the
 * connection, which is open now */
void out_peer_opened(struct out_peer *);
/** out_peer_closed() - end the attempts and the pull of a closed connection */
void out_peer_closed(struct out_peer *);
/** out_peer_ended() - close the connection to a peer that ends as planned and
 * took no call after the one with the xid @taken: those were not run */
void out_peer_ended(struct out_peer *, uint32_t taken);
/** out_peer_retire() - take a peer out of its service; open attempts go on */
void out_peer_retire(struct out_peer *);
/** outbound_set_suspected() - set whether an instance is suspected; new calls
 * avoid it while it is */
void outbound_set_suspected(struct data *, uint64_t incarnation, int suspected,
    int64_t at);
/** outbound_silence_start() - start the checks for peers that do not answer */
void outbound_silence_start(struct data *);
/** outbound_allow_silence() - keep connections to peers that stand still, from
 * the order to stop on */
void outbound_allow_silence(struct data *);
/** out_service_probe() - probe a candidate of a service if one is due */
void out_service_probe(struct out_service *);

/* Each writes one line to the log. */
void outbound_log_call(const struct out_call *);
void outbound_log_attempt(const struct out_attempt *, const char *outcome,
    int status, const struct load_report *);
/** outbound_trace_begin() - continue the trace of the caller, or sample a share
 * of the calls without one; @traceparent may be NULL */
void outbound_trace_begin(struct out_call *, const char *traceparent);
/* Each writes the span of a call or an attempt that ended. */
void outbound_trace_call(struct out_call *);
void
outbound_trace_attempt(struct out_attempt *, const char *outcome, int status);

#endif
