#ifndef KQ_DATA_IMPL_H
#define KQ_DATA_IMPL_H

#include "admit.h"
#include "budget.h"
#include "config.h"
#include "data.h"
#include "histogram.h"
#include "http.h"
#include "once.h"
#include "peer.h"
#include "pick.h"
#include "retry.h"
#include "rng.h"
#include "trace.h"

#define REQUEST_ID_MAX 64 /* bytes with the final NUL */
#define ATTEMPTS_MAX 8 /* targets tried for one call */
#define ATTEMPTS_OPEN_MAX 2 /* at the same time */
#define BODY_KEEP_MAX 65536 /* bytes of a request kept for another attempt */
#define ANSWER_UNSENT_MAX 65536 /* bytes unsent before credit is held back */
#define OWN_FIELDS_MAX 8 /* fields that this program adds */

#define FIELD_OUTCOME "Kumquatrock-Outcome"
#define FIELD_REASON "Kumquatrock-Reason"
#define FIELD_REQUEST_ID "Kumquatrock-Request-Id"
#define FIELD_DEADLINE "Kumquatrock-Deadline-Ms"
#define FIELD_SERVICE "Kumquatrock-Service"
#define FIELD_DEPTH "Kumquatrock-Depth"
#define FIELD_RETRIES "Kumquatrock-Retries-Left"
#define FIELD_RETRIES_USED "Kumquatrock-Retries-Used"
#define FIELD_TARGET_DEADLINE "Deadline-Ms"
#define FIELD_NOT_RUN "Not-Run"

/* Copied start line and fields; strings in one block. */
struct head_copy {
	char *block;
	char *method;
	char *path;
	int64_t length;
	int nfield;
	struct http_field field[HTTP_FIELDS_MAX];
};

/* ---- outbound ---- */

struct out_peer;
struct out_call;

struct out_service {
	struct data *data;
	struct service conf;
	struct pick *pick;
	struct retry retry;
	GHashTable *by_handle; /* pick handle to struct out_peer */
	int used; /* a call came; connections are opened ahead */
};

/* One daemon that calls can go to, with the connection to it. */
struct out_peer {
	struct data *data;
	struct out_service *service; /* NULL once it gets no new work */
	uint64_t incarnation;
	char ip[IP_TEXT_MAX];
	int port;
	char datacentre[DATACENTRE_NAME_MAX];
	uint32_t handle;
	struct peer_conn *conn;
	int64_t connect_after;
	struct once_clock clock;
	GHashTable *attempts; /* xid to struct out_attempt, sent ones */
	GPtrArray *waiting; /* attempts that wait for the connection */
	GHashTable *probes; /* xids of probes in flight */
	int seen; /* mark while a view is taken in */
	int pull_wanted;
	struct config_pull pull;
	uint32_t pull_xid;
};

enum attempt_state { ATTEMPT_UNUSED, ATTEMPT_WAITING, ATTEMPT_SENT };

struct out_attempt {
	struct out_call *call;
	struct out_peer *peer;
	enum attempt_state state;
	uint32_t xid;
	uint32_t handle;
	int64_t started;
	size_t sent; /* bytes of the body */
	int last_sent;
	size_t credit;
	struct trace_context trace;
};

enum out_state { OUT_READING, OUT_TRYING, OUT_ANSWERING };

struct out_call {
	struct data *data;
	struct out_service *service;
	struct http_exchange *exchange;
	struct head_copy head;
	enum out_state state;
	int64_t started;
	int64_t deadline;
	int idempotent;
	int repeat;
	char id[REQUEST_ID_MAX];
	struct trace_context trace;
	int status; /* of the answer */
	const char *outcome;
	GByteArray *body;
	size_t body_base; /* bytes no longer kept before those in body */
	int body_whole;
	int paused;
	struct retry_call retry;
	struct out_attempt attempt[ATTEMPTS_OPEN_MAX];
	struct out_attempt *winner;
	size_t answer_owed; /* credit not yet given for the answer */
	uint32_t tried[ATTEMPTS_MAX];
	int ntried;
	int may_have_run;
	uint32_t reason; /* of the last refusal */
	struct io_timer deadline_timer;
	struct io_timer hedge_timer;
};

/* ---- inbound ---- */

/* An accepted connection. */
struct in_conn {
	struct data *data;
	struct peer_conn *conn;
	uint64_t id;
	GHashTable *calls; /* xid to struct in_call */
};

enum in_state {
	IN_WAITING_VERSION,
	IN_QUEUED,
	IN_WAITING_ANSWER, /* repeat of a call in progress */
	IN_RUNNING,
	IN_ANSWERING
};

struct in_call {
	struct data *data;
	struct peer_conn *conn; /* NULL once nobody waits for the answer */
	uint32_t xid;
	uint32_t tag; /* key in the table of inbound calls */
	enum in_state state;
	struct head_copy head;
	int idempotent;
	int repeat;
	int movable; /* may be refused when the target is only crowded */
	int64_t started;
	int64_t deadline;
	uint64_t version;
	uint64_t from;
	uint32_t retries_left;
	uint32_t depth;
	char id[REQUEST_ID_MAX];
	struct trace_context trace;
	struct trace_context target_trace;
	int64_t target_started;
	uint32_t outcome; /* told to the caller side */
	GByteArray *body; /* came before the target took it */
	int body_last;
	size_t body_owed; /* credit not yet given */
	uint64_t entry; /* of the at-most-once table */
	uint64_t waiter;
	uint32_t queue_handle;
	struct admit_run run;
	struct http_call *target_call;
	struct head_copy answer; /* held until its first bytes came */
	int answer_held;
	int answer_status;
	int answer_whole; /* the reply's head carried all of it */
	int was_sent;
	int cancelled; /* given up; holds its place until the target has too */
	int answer_paused;
	uint32_t answer_used;
	size_t answer_credit;
	GByteArray *answer_body; /* waits for credit */
	int answer_done;
	struct io_timer timer;
};

struct counters {
	uint64_t calls;
	uint64_t whole;
	uint64_t refused;
	uint64_t unknown;
	uint64_t failed;
	uint64_t bad;
	uint64_t retries;
	uint64_t hedges;
	uint64_t hedge_wins;
	uint64_t in_calls;
	uint64_t in_refused[WIRE_REASON_PAUSED + 1];
	uint64_t in_repeats;
	uint64_t measured;
	uint64_t probes;
};

struct data {
	struct task task;
	struct settings settings;
	uint64_t incarnation;
	const struct data_events *events;
	void *events_ctx;
	struct view *view;
	struct rng rng;
	int64_t last_beat;
	struct io_timer beat_timer;
	uint32_t pause; /* number of the last pause */
	int suspended; /* paused and not caught up since */
	int draining;
	int64_t drain_started;
	struct io_timer drain_timer;
	int drained_told;
	int stopped;

	struct http_server *server;
	GHashTable *services; /* name to struct out_service */
	GHashTable *peers; /* incarnation to struct out_peer */
	int64_t body_bytes; /* of request bodies held for callers */
	GHashTable *out_calls; /* set of struct out_call */
	GHashTable *ramps; /* data centre name to struct ramp */
	struct io_timer ramp_timer;

	struct peer_node *node;
	GHashTable *conns; /* id to struct in_conn */
	uint64_t next_conn;
	GHashTable *in_calls; /* tag to struct in_call */
	uint32_t next_tag;
	struct data_target target;
	int has_target;
	struct data_target next_target; /* once the present one is idle */
	int has_next_target;
	int tell_idle; /* somebody waits for the target to be idle */
	int target_draining;
	struct http_pool *pool;
	struct admit *admit;
	struct budget measure_budget;
	struct once *once;
	struct io_timer admit_timer;
	struct io_timer once_timer;
	struct io_timer measure_timer;
	struct http_call *measure_call;
	GString *measure_body;
	struct counters counters;
	struct histogram whole_us; /* calls with a whole answer */
	struct histogram target_us; /* requests at the target */
	struct trace_sink traces;
	struct io_timer trace_timer;
};

int64_t data_now(const struct data *);
void data_trace_start(struct data *);
/* Write the span of a call, attempt, inbound call or target request. */
void outbound_trace_begin(struct out_call *, const char *traceparent);
void outbound_trace_call(struct out_call *);
void
outbound_trace_attempt(struct out_attempt *, const char *outcome, int status);
void inbound_trace_begin(struct in_call *, const char *traceparent);
void inbound_trace_call(struct in_call *);
void inbound_trace_target(struct in_call *, const char *outcome);

void head_copy(struct head_copy *, const char *method, const char *path,
    int64_t length, const struct http_field *, int nfield);
void head_copy_clear(struct head_copy *);
/* Whether a field belongs to one connection and is not passed on. */
int field_hop_by_hop(const char *name);

/* outbound */
extern const struct http_server_ops outbound_server_ops;
void
outbound_request(void *ctx, struct http_exchange *, const struct http_head *);
void outbound_start(struct out_call *);
int outbound_attempt(struct out_call *);
int outbound_attempt_send(struct out_attempt *);
void outbound_pump(struct out_attempt *);
void outbound_attempt_clear(struct out_attempt *);
void outbound_attempt_cancel(struct out_attempt *);
void outbound_failed(struct out_attempt *, enum retry_cause);
void outbound_refused(struct out_attempt *, uint32_t reason,
    const struct load_report *);
void outbound_refuse(struct out_call *, int status, const char *outcome,
    const char *reason, const char *text);
void outbound_give_up(struct out_call *);
void outbound_call_free(struct out_call *);
void outbound_reply(void *ctx, struct peer_conn *, uint32_t xid,
    const struct wire_reply *);
void outbound_body(struct out_peer *, const struct wire_body *);
void outbound_credit(struct out_peer *, const struct wire_credit *);
void outbound_load(void *ctx, struct peer_conn *, uint32_t xid,
    const struct wire_probe_result *);
void outbound_state(void *ctx, struct peer_conn *, uint32_t xid,
    const struct wire_state *);
void outbound_drained(void *ctx, struct http_exchange *);
void outbound_take_view(struct data *);
void outbound_ramp_view(struct data *);
/* Part of a full share that targets of a data centre get now. */
double outbound_share(struct data *, const char *datacentre);
struct out_peer *
out_peer_new(struct data *, uint64_t incarnation, const char *ip, int port);
int out_peer_connect(struct out_peer *);
void out_peer_opened(struct out_peer *);
void out_peer_closed(struct out_peer *);
void out_peer_retire(struct out_peer *);
void out_peer_probe(struct out_service *);

/* inbound */
/* Whether this task was paused and has not caught up since. */
int inbound_suspended(struct data *);
void inbound_beat_start(struct data *);
void inbound_resume(struct data *);
void inbound_call(void *ctx, struct peer_conn *, uint32_t xid,
    const struct wire_call *);
void inbound_admit(struct in_call *);
void inbound_run(struct in_call *);
void inbound_refuse(struct in_call *, uint32_t outcome, uint32_t reason);
void inbound_reply_head(struct in_call *, uint32_t outcome, const void *body,
    size_t len, int more);
void
inbound_answer_body(struct in_call *, const void *, size_t, int last, int cut);
void inbound_answer_pump(struct in_call *);
void inbound_free(struct in_call *);
void inbound_body(struct peer_conn *, const struct wire_body *);
void inbound_credit(struct peer_conn *, const struct wire_credit *);
void inbound_cancel(void *ctx, struct peer_conn *, uint32_t xid);
void inbound_abandon(struct in_call *);
void inbound_conn_closed(struct data *, struct peer_conn *);
void inbound_pop(struct data *);
void inbound_ended(struct in_call *, enum admit_outcome);
void inbound_take_view(struct data *);
void inbound_configure(struct data *, const struct service *);
void inbound_body_pump(struct in_call *);
void inbound_probe(void *ctx, struct peer_conn *, uint32_t xid);
void inbound_report(struct data *, struct load_report *);
void inbound_set_target(struct data *, const struct data_target *);
void inbound_once_reply(void *ctx, void *arg, enum once_outcome,
    const struct once_answer *);
void inbound_reply_kept(struct in_call *, const struct once_answer *);
void inbound_once_arm(struct data *);
void inbound_measure_start(struct data *);
void inbound_cut(struct in_call *);
void inbound_give_up(struct in_call *);
void data_write_metrics(struct data *, GString *);
void data_write_targets(struct data *, GString *);
void data_write_explain(struct data *, GString *);
void data_check_drained(struct data *);

#endif
