#include <string.h>

#include "daemon/outbound/outbound.h"

/* Credit is given once it is this part of the window or more, and held back
 * while more than this part is unsent. */
#define CREDIT_PARTS 4

#define STATUS_FINAL_MIN 200 /* statuses below are interim ones */
#define STATUS_FINAL_MAX 599

/* Whether a target reports a failure by this status. */
static int
status_failed(int status)
{
	return status == 500 || status == 502 || status == 503 || status == 504;
}

/* Whether a reply holds an answer. A daemon of an earlier version passes on any
 * status that its target sent; as its other replies are good, only this attempt
 * fails, and not the connection. */
static int
is_answer(const struct wire_reply *m)
{
	return (m->outcome == WIRE_ANSWER || m->outcome == WIRE_KEPT) &&
	       m->status >= STATUS_FINAL_MIN && m->status <= STATUS_FINAL_MAX;
}

/* Ends a call with the whole answer of an attempt; frees it. */
static void
finish_call(struct out_attempt *a, enum pick_outcome outcome,
    const struct load_report *load)
{
	struct out_call *c = a->call;
	struct http_exchange *x = c->exchange;
	int64_t now = data_now(c->data);

	outbound_trace_attempt(a, "answer", c->status);
	pick_done(c->service->pick, a->handle, now, now - a->started, outcome,
	    load);
	outbound_attempt_clear(a);
	if (outcome == PICK_GOOD)
		retry_success(&c->service->retry, now - a->started);
	if (c->status < 300 && !c->caller_slow)
		answer_time_note(c->time, now - c->tried_at);
	c->data->counters.whole++;
	histogram_add(&c->data->call_us, now - c->started);
	c->outcome = "whole";
	c->exchange = NULL;
	http_exchange_end(x);
	outbound_call_free(c);
}

static void
cancel_others(struct out_call *c, struct out_attempt *winner)
{
	int i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (&c->attempt[i] != winner)
			outbound_attempt_cancel(&c->attempt[i], "not-needed");
	io_timer_clear(c->data->task.loop, &c->hedge_timer);
}

/* Allows the peer to send further bytes of the answer, up to this call's share
 * of what the daemon may hold, which never exceeds the window that the call
 * began with. */
static void
give_credit(struct out_call *c)
{
	struct out_attempt *a = c->winner;
	struct wire_credit m = { a->xid, WIRE_BODY_ANSWER, 0 };
	struct byte_limit *b = &c->data->call_bytes;
	size_t share = byte_limit_share(b, WIRE_CHUNK_MAX, a->window);

	if (!a->peer->conn || a->promised + share / CREDIT_PARTS > share)
		return;
	m.bytes = share - a->promised;
	byte_limit_take(b, m.bytes);
	a->promised = share;
	peer_send_credit(a->peer->conn, &m);
}

/* A daemon of an earlier version may send more than it was promised. */
static void
note_received(struct out_attempt *a, size_t n)
{
	n = MIN(n, a->promised);
	a->promised -= n;
	byte_limit_give(&a->call->data->call_bytes, n);
}

/* Whether what is not taken by the end of this daemon or of the peer is
 * lost. */
static int
one_ends(const struct out_attempt *a)
{
	return a->call->data->unbound || !a->peer->live;
}

/* Whether an answer that is cut takes others along, or is cut as it waits for
 * others. */
static int
shares_connection(const struct out_call *c)
{
	return http_exchange_has_predecessor(c->exchange) ||
	       http_exchange_next(c->exchange);
}

/* Whether credit needn't wait for the caller, who has yet to take so many
 * bytes. */
static int
ahead_of_caller(const struct out_attempt *a, size_t unsent)
{
	struct out_call *c = a->call;

	if (one_ends(a) && data_may_take_answers(c->data))
		return 1;
	if (!shares_connection(c) || !data_may_run_ahead(c->data, unsent))
		return 0;
	http_exchange_unsent(c->exchange, &c->data->ahead);
	return 1;
}

/* Passes bytes of the answer on to the caller. Credit for them waits until
 * outbound_drained() while too many bytes are unsent. */
static void
forward_body(struct out_attempt *a, const void *p, size_t n)
{
	struct out_call *c = a->call;

	if (!n)
		return;
	note_received(a, n);
	n = outbound_hold_body(c, http_exchange_write(c->exchange, p, n));
	if (n > a->window / CREDIT_PARTS)
		c->caller_slow = 1;
	if (n <= a->window / CREDIT_PARTS || ahead_of_caller(a, n))
		give_credit(c);
}

static void
forward_head(struct out_attempt *a, const struct wire_reply *m)
{
	struct out_call *c = a->call;
	struct http_field f[HTTP_FIELDS_MAX + ADDED_FIELDS_MAX];
	int n = m->nfield;

	memcpy(f, m->field, n * sizeof *f);
	if (c->id[0] && c->data->dialect->passes_retry_budget)
		f[n++] = (struct http_field){ FIELD_REQUEST_ID, c->id };
	if (m->outcome == WIRE_KEPT)
		f[n++] = (struct http_field){ FIELD_OUTCOME, "kept" };
	c->state = OUT_ANSWERING;
	c->winner = a;
	c->answered_by = a->peer->incarnation;
	c->status = m->status;
	if (m->flags & WIRE_REPLY_MORE)
		outbound_hold_begin(c, m->length);
	http_exchange_write_head(c->exchange, m->status, f, n, m->length);
}

static int
other_open(struct out_attempt *a)
{
	struct out_call *c = a->call;
	int i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (&c->attempt[i] != a &&
		    c->attempt[i].state != ATTEMPT_UNUSED)
			return 1;
	return 0;
}

/* Drops an answer with a failure status and ends its attempt, if the call is
 * idempotent, the reply holds the whole answer, and another attempt is open or
 * can be started; 1 when it did. */
static int
retry_failure(struct out_attempt *a, const struct wire_reply *m)
{
	struct out_call *c = a->call;
	int64_t now = data_now(c->data);

	if (!status_failed(m->status) || !c->idempotent ||
	    m->flags & WIRE_REPLY_MORE)
		return 0;
	outbound_attempt_reached(a);
	if (!other_open(a)) {
		if (retry_allow_resend(&c->service->retry, &c->retry,
			RETRY_FAILED, now) != RETRY_GO)
			return 0;
		if (outbound_start_paid(c))
			return 0;
		c->data->counters.retries++;
	}
	c->may_have_run = 1;
	outbound_trace_attempt(a, "failed", m->status);
	outbound_log_attempt(a, "failed", m->status, &m->load);
	pick_done(c->service->pick, a->handle, now, now - a->started,
	    PICK_FAILED, &m->load);
	outbound_attempt_clear(a);
	return 1;
}

static void
handle_answer(struct out_attempt *a, const struct wire_reply *m)
{
	struct out_call *c = a->call;

	retry_add_used(&c->retry, m->retries_used);
	if (retry_failure(a, m))
		return;
	if (a != &c->attempt[0])
		c->data->counters.hedge_wins++;
	cancel_others(c, a);
	forward_head(a, m);
	forward_body(a, m->body, m->body_len);
	if (!(m->flags & WIRE_REPLY_MORE))
		finish_call(a,
		    status_failed(m->status) ? PICK_FAILED : PICK_GOOD,
		    &m->load);
}

static void
handle_unknown(struct out_attempt *a, const struct wire_reply *m)
{
	a->call->reason = m->reason;
	outbound_attempt_failed(a, RETRY_LOST);
}

/* The daemon that answered is not the incarnation that the call or its request
 * id names. What became of a repeat is then unknown; any other call was not
 * run. */
static void
handle_gone(struct out_attempt *a, const struct wire_reply *m)
{
	struct out_call *c = a->call;

	if (c->repeat) {
		handle_unknown(a, m);
		return;
	}
	outbound_attempt_refused(a, WIRE_REASON_NO_TARGET, NULL);
}

/* A repeat goes only to the incarnation that its id names, so that its "not
 * run" also holds for earlier attempts under that id. */
static void
handle_not_run(struct out_attempt *a, const struct wire_reply *m)
{
	if (a->call->repeat)
		a->call->may_have_run = 0;
	outbound_attempt_refused(a, m->reason, &m->load);
}

void
outbound_take_answer(struct out_call *c)
{
	if (c->state == OUT_ANSWERING && c->winner && one_ends(c->winner) &&
	    data_may_take_answers(c->data))
		give_credit(c);
}

void
outbound_reply(void *ctx, struct peer_conn *conn, uint32_t xid,
    const struct wire_reply *m)
{
	struct out_peer *p = peer_ctx(conn);
	struct out_attempt *a;

	a = g_hash_table_lookup(p->attempts, GUINT_TO_POINTER(xid));
	if (!a)
		return;
	once_clock_update(&p->clock, m->clock, data_now(p->data));
	if (m->config_version > p->data->view->complete_version)
		p->data->events->config_behind(p->data->events_ctx,
		    m->config_version, p->incarnation);
	if (is_answer(m))
		handle_answer(a, m);
	else if (m->outcome == WIRE_NOT_RUN)
		handle_not_run(a, m);
	else if (m->outcome == WIRE_OTHER_INCARNATION)
		handle_gone(a, m);
	else
		handle_unknown(a, m);
}

void
outbound_body(struct out_peer *p, const struct wire_body *m)
{
	struct out_attempt *a =
	    g_hash_table_lookup(p->attempts, GUINT_TO_POINTER(m->call_xid));

	if (!a || a->call->winner != a)
		return;
	if (m->flags & WIRE_BODY_BROKEN) {
		outbound_attempt_failed(a, RETRY_LOST);
		return;
	}
	forward_body(a, m->body, m->body_len);
	if (m->flags & WIRE_BODY_LAST)
		finish_call(a, PICK_GOOD, NULL);
}

void
outbound_drained(void *ctx, struct http_exchange *x)
{
	struct out_call *c = http_exchange_ctx(x);
	size_t n = http_exchange_unsent(x, NULL);

	if (c && c->winner &&
	    (!n || c->hold.on || ahead_of_caller(c->winner, n)))
		give_credit(c);
}
