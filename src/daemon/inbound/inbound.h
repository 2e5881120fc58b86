#ifndef KQ_INBOUND_H
#define KQ_INBOUND_H

#include "daemon/data/impl.h"

/**
 * DOC: The inbound side of the data task: the only way to its target. It
 * admits, warms up, drains and remembers what it ran.
 */

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
	int choosy; /* may be refused when the target's machine is slow */
	int movable; /* may be refused when the target is only crowded */
	int64_t started;
	int64_t deadline;
	int64_t objective; /* an answer by then is in time */
	uint64_t version;
	uint64_t from;
	uint32_t retries_left;
	uint32_t depth;
	char id[REQUEST_ID_MAX];
	struct trace_context trace;
	struct trace_context target_trace;
	int64_t target_started;
	uint32_t outcome; /* told to the caller side */
	uint32_t reason;
	GByteArray *body; /* came before the target took it */
	int body_last;
	size_t body_owed; /* credit not yet given */
	uint64_t entry; /* of the at-most-once table */
	uint64_t waiter;
	uint32_t queue_handle;
	struct admit_run run;
	struct work *work; /* of its route, NULL without routes */
	int64_t guess_us; /* the same, by its objective alone */
	int64_t need_us; /* expected at the target, 0 when not known */
	int rank; /* of its route, 0 is the most urgent */
	int begun_pace; /* of the machine when it began */
	int begun_in_flight; /* at the target when it began, itself too */
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
/* Asks the target for its load now; -1 if the budget does not allow it. */
int inbound_measure_now(struct data *);
void inbound_refuse_queued(struct in_call *, uint32_t reason);
/* Whether work may be started; holds the admission while it may not. */
enum pace_verdict inbound_pace(struct data *);
/* A reading of the machine's pace came. */
void inbound_pace_note(struct data *, int pace);
/* The reading that was asked for will not come. */
void inbound_pace_lost(struct data *);
void inbound_cut(struct in_call *);
void inbound_give_up(struct in_call *);
/* One line an inbound call. */
void inbound_log_call(const struct in_call *);
/* Write the span of an inbound call or of the request to the target. */
void inbound_trace_begin(struct in_call *, const char *traceparent);
void inbound_trace_call(struct in_call *);
void inbound_trace_target(struct in_call *, const char *outcome);

#endif
