#ifndef KQ_DATA_IMPL_H
#define KQ_DATA_IMPL_H

#include "admit.h"
#include "budget.h"
#include "byte_limit.h"
#include "config.h"
#include "crash.h"
#include "daemon/data/data.h"
#include "dialect.h"
#include "histogram.h"
#include "http.h"
#include "leave.h"
#include "once.h"
#include "pace.h"
#include "peer.h"
#include "pick.h"
#include "quota.h"
#include "retry.h"
#include "rng.h"
#include "stated.h"
#include "trace.h"
#include "work.h"

#define REQUEST_ID_MAX 64 /* bytes with the final NUL */
#define ADDED_FIELDS_MAX 8 /* fields that the daemon adds to a head */

#define FIELD_OUTCOME "Kumquatrock-Outcome"
#define FIELD_REASON "Kumquatrock-Reason"
#define FIELD_REQUEST_ID "Kumquatrock-Request-Id"
#define FIELD_SERVICE "Kumquatrock-Service"
#define FIELD_DEPTH "Kumquatrock-Depth"
#define FIELD_RETRIES_LEFT "Kumquatrock-Retries-Left"
#define FIELD_RETRIES_USED "Kumquatrock-Retries-Used"

/* Copy of a start line and its fields; the strings share one block. */
struct head_copy {
	char *block;
	char *method;
	char *path;
	int64_t length;
	int nfield;
	struct http_field field[HTTP_FIELDS_MAX];
};

struct out_call;
struct out_peer;
struct in_call;
struct in_rollout;

/** struct lost_run - request whose answer the target broke off
 * @id: of the request, for the log */
struct lost_run {
	uint64_t digest;
	int64_t started;
	int64_t lost_at;
	char id[REQUEST_ID_MAX];
};

/* Totals since the start; in_* are those of the inbound side. */
struct counters {
	uint64_t calls; /* requests from callers */
	uint64_t whole; /* complete answers passed to callers */
	uint64_t refused; /* calls answered 503, not run */
	uint64_t unknown; /* calls answered 504, outcome unknown */
	uint64_t failed; /* calls answered 502, or with the answer cut short */
	uint64_t
	    bad_requests; /* requests that are malformed or have no service */
	uint64_t keys_refused[ROUTE_ACCESSES];
	uint64_t quota_refused; /* calls answered 429 */
	uint64_t retries; /* attempts after the first, without hedges */
	uint64_t hedges;
	/* answers to attempts sent while another one of the call was open */
	uint64_t hedge_wins;
	uint64_t in_calls;
	uint64_t in_refused[WIRE_REASONS];
	uint64_t in_repeats;
	uint64_t
	    measure_requests; /* load or health requests sent to the target */
	uint64_t probes; /* sent to other daemons */
	uint64_t target_ends; /* of the target, while it ran requests */
	uint64_t crash_refused; /* requests that crash targets */
	/* callers' connections that ended with requests unanswered or bytes
	 * unsent, without and with the caller hanging up */
	uint64_t conns_cut;
	uint64_t conns_left;
	uint64_t conns_cut_requests; /* requests on those of conns_cut */
	uint64_t conns_refused[HTTP_REFUSALS];
	uint64_t leave_refused; /* requests that did not fit into a stop */
	uint64_t leave_ended; /* calls that ran when a stop ended them */
	uint64_t in_leave_refused;
	uint64_t in_leave_ended;
	/* those of both kinds that were taken in the stop by their usual time
	 */
	uint64_t leave_usual_ended;
};

struct data {
	struct task task;
	struct settings settings;
	const struct dialect *dialect;
	uint64_t incarnation;
	const struct data_events *events;
	void *events_ctx;
	struct view *view;
	struct rng rng;
	int64_t last_run; /* when this task last ran, 0 before data_start() */
	struct io_timer pause_timer;
	uint32_t pause_number; /* number of the last pause of this task */
	int suspended; /* paused and has not caught up since */
	int calls_refused; /* call_bytes was at its limit at the last call */
	int draining; /* the daemon is stopping */
	int calls_ended; /* data_end_calls() has run */
	int unbound; /* answers are taken ahead of callers, see leave.c */
	int64_t drain_started;
	struct io_timer drain_timer;
	int drained_sent; /* the drained event was sent */
	int stopped; /* the task has ended and is being freed */
	struct leave_plan leave;
	int leave_pace; /* base pace of the target when the stop began */
	struct io_timer leave_timer;

	struct http_server *server;
	GHashTable *services; /* name to struct out_service */
	GHashTable *out_routes; /* host and prefix to struct out_route */
	GHashTable *refused_names; /* organisations that are counted by name */
	GHashTable *refusals; /* labels of a metric to uint64_t */
	GHashTable *peers; /* incarnation to struct out_peer */
	int64_t body_bytes; /* request body bytes held in memory */
	int64_t held_bytes; /* of answers held, see outbound_hold_begin() */
	struct byte_limit call_bytes; /* held for all calls, or promised */
	struct byte_limit
	    ahead; /* those fetched for callers that read slowly */
	GHashTable *out_calls; /* set of struct out_call */
	struct quota *quota;
	struct io_timer quota_timer;
	GPtrArray *quota_decided; /* struct out_call, see outbound/quota.c */
	struct io_timer quota_decided_timer;
	GHashTable *ramps; /* data centre name to struct ramp */
	struct io_timer ramp_timer;
	struct io_timer silence_timer;
	int64_t silence_due; /* next check for silent peers */

	struct peer_node *node;
	GHashTable *conns; /* id to struct in_conn */
	uint64_t next_conn;
	/* incarnation to the connection that it opened last */
	GHashTable *accepted;
	GHashTable *in_calls; /* tag to struct in_call */
	uint32_t next_tag;
	struct data_target target;
	int has_target;
	struct data_target next_target; /* replaces @target once it is idle */
	int has_next_target;
	struct io_timer switch_timer; /* due when it is to be used */
	int idle_wanted; /* send the target_idle event when it is idle */
	int target_draining;
	char health_path[HEALTH_PATH_MAX]; /* empty: GET /load is used */
	/* the target refused a connection or said that it is another one;
	 * cleared when the target is set again */
	int target_unusable;
	struct stated_limit stated; /* of the target */
	int target_answered; /* to a request or health check of this daemon */
	int64_t first_answer_by; /* end of the wait for that */
	struct pace pace; /* of the target's machine */
	struct knee knee; /* of the target */
	struct in_rollout *in_rollout; /* NULL before the first order */
	GHashTable *route_work; /* host and prefix to struct work */
	struct answer_time target_time; /* at the target, without a route */
	struct http_pool *pool; /* for requests to the target */
	struct http_pool *measure_pool; /* one connection, for measurements */
	struct crash_table *crashes;
	GArray *lost_runs; /* struct lost_run, see inbound/ended.c */
	int quota_ticks; /* quota_timer is set */
	int end_fd; /* connection that checks whether the target ended, or -1 */
	struct io_watch end_watch;
	struct io_timer end_timer; /* of that check: its start or its timeout */
	struct admit *admit;
	struct budget measure_budget;
	struct once *once;
	struct io_timer admit_timer;
	struct io_timer once_timer;
	struct io_timer measure_timer;
	struct http_call *measure_call;
	int64_t measure_sent; /* when the last one was sent */
	struct io_timer measure_timeout; /* timeout of measure_call */
	GString *measure_body;
	struct counters counters;
	struct histogram call_us; /* time of calls with a complete answer */
	struct histogram target_us; /* time of requests at the target */
	struct trace_sink traces;
	struct io_timer trace_timer;
};

int64_t data_now(const struct data *);
/** data_send_notice() - send a notice to another daemon on an open connection
 * of either direction; opens one if there is none. Return: 0, or -1 if it was
 * not sent, also while the connection is being opened */
int data_send_notice(struct data *, uint64_t incarnation, uint32_t kind,
    const void *content, size_t n);
/** data_notice_received() - pass a notice to the module of its kind */
void
data_notice_received(void *ctx, struct peer_conn *, const struct wire_notice *);
/* Note an accepted connection, on which notices can be sent, and its end. */
void data_notice_opened(struct data *, struct peer_conn *);
void data_notice_closed(struct data *, struct peer_conn *);
void data_trace_start(struct data *);
void head_copy(struct head_copy *, const char *method, const char *path,
    int64_t length, const struct http_field *, int nfield);
void head_copy_clear(struct head_copy *);
/* Returns the value of a field, or NULL; ignores the case of the name. */
const char *head_copy_find(const struct head_copy *, const char *name);
/** data_request_id() - get the id by which callers, targets and operators know
 * a request: the dialect's attempt field in its head, else @id, else "none" */
const char *
data_request_id(const struct data *, const struct head_copy *, const char *id);
/* Whether a field applies to one connection only and is not forwarded. */
int field_is_hop_by_hop(const char *name);

/** data_rank() - rank of a request, by the name of its organisation, which may
 * be NULL or empty, and the priority of its route. One that the configuration
 * doesn't have counts as none */
int data_rank(const struct data *, const char *organisation, int priority);
/** data_request_digest() - digest by which a request is known again, whatever
 * its id and the daemon that it came to: of method, path, host, the caller's
 * credentials, the organisation if it has one, and the first @n bytes of the
 * body, at most WIRE_CHUNK_MAX */
uint64_t data_request_digest(const struct data *, const struct head_copy *,
    const void *body, size_t n);
uint64_t data_text_digest(const char *);
/** data_apply_crash_news() - take news of other daemons */
void
data_apply_crash_news(struct data *, const struct crash_news *, int64_t at);
/** data_tell_crash_news() - take news of this daemon, and tell the others */
void data_tell_crash_news(struct data *, const struct crash_news *);
/** data_note_answered() - note that a target answered a request */
void data_note_answered(struct data *, uint64_t digest);

/** data_make_room() - while bytes are short, end connections of callers that
 * took none of theirs for a while */
void data_make_room(struct data *);
/** data_limit_bytes() - take the limits of bytes from the settings */
void data_limit_bytes(struct data *);
/** data_may_run_ahead() - whether more of an answer may be fetched ahead of its
 * caller, who has yet to take @unsent bytes: a part of what is free */
int data_may_run_ahead(const struct data *, size_t unsent);
/** data_may_take_answers() - whether more may be fetched of an answer whose
 * daemon, or this one, ends: what slow callers hold doesn't count */
int data_may_take_answers(const struct data *);
/** data_write_held() - write the metrics of what is held for calls */
void data_write_held(const struct data *, GString *);
void data_write_metrics(struct data *, GString *);
void data_write_targets(struct data *, GString *);
void data_write_explain(struct data *, GString *);
/** data_check_drained() - after a call has ended, do what waits for the target
 * or the daemon to be idle: switch to the next target, send the target_idle and
 * drained events */
void data_check_drained(struct data *);
/** data_leave_decide() - whether a request may start now, see leave_decide() */
struct leave_decision
data_leave_decide(struct data *, int64_t deadline, const struct answer_time *);
/** data_end_calls() - end all calls in flight with an answer */
void data_end_calls(struct data *);
/** data_log_leave() - write to the log what a stop refused and ended */
void data_log_leave(struct data *);

#endif
