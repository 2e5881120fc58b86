#include "daemon/inbound/inbound.h"

#define BODY_UNSENT_MAX 65536 /* bytes unsent before credit is held back */

static struct in_call *
find_call(struct peer_conn *conn, uint32_t xid)
{
	struct in_conn *ic = peer_ctx(conn);

	return g_hash_table_lookup(ic->calls, GUINT_TO_POINTER(xid));
}

/* Sends the credit owed once it is a quarter of the window. */
static void
return_credit(struct in_call *c)
{
	struct wire_credit m = { c->xid, 0, 0 };

	if (c->body_credit_owed < WIRE_WINDOW / 4 || !c->conn)
		return;
	m.bytes = c->body_credit_owed;
	c->body_credit_owed = 0;
	peer_send_credit(c->conn, &m);
}

/* The HTTP call takes all bytes, and the credit for them waits until the target
 * has read most of them, so that little more than a window is buffered. */
void
inbound_flush_body(struct in_call *c)
{
	size_t unsent;

	if (!c->target_call)
		return;
	unsent = http_call_write(c->target_call, c->body->data, c->body->len);
	c->body_credit_owed += c->body->len;
	byte_limit_give(&c->data->call_bytes, c->body->len);
	g_byte_array_set_size(c->body, 0);
	if (unsent <= BODY_UNSENT_MAX)
		return_credit(c);
	if (c->body_last == 1) {
		c->body_last = 2;
		http_call_end_request(c->target_call);
	}
}

void
inbound_receive_body(struct peer_conn *conn, const struct wire_body *m)
{
	struct in_call *c = find_call(conn, m->call_xid);

	if (!c || c->body_last || c->body->len + m->body_len > WIRE_WINDOW)
		return;
	g_byte_array_append(c->body, m->body, m->body_len);
	byte_limit_take(&c->data->call_bytes, m->body_len);
	if (m->flags & WIRE_BODY_LAST)
		c->body_last = 1;
	inbound_flush_body(c);
}

void
inbound_receive_credit(struct peer_conn *conn, const struct wire_credit *m)
{
	struct in_call *c = find_call(conn, m->call_xid);

	if (!c || m->bytes > WIRE_WINDOW - c->answer_credit)
		return;
	c->answer_credit += m->bytes;
	inbound_flush_answer(c);
}

/* An idempotent request at the target is cancelled. A non-idempotent one that
 * came in whole goes on there, so that a repeat finds its answer. */
void
inbound_abandon_call(struct in_call *c)
{
	struct data *d = c->data;
	struct in_conn *ic;

	if (c->conn) {
		ic = peer_ctx(c->conn);
		g_hash_table_remove(ic->calls, GUINT_TO_POINTER(c->xid));
		c->conn = NULL;
	}
	if (c->target_call && !c->idempotent && c->body_last) {
		if (c->answer_paused)
			http_call_pause(c->target_call, 0);
		c->answer_paused = 0;
		return;
	}
	if (c->target_call) {
		inbound_cancel_run(c);
		return;
	}
	if (c->state == IN_WAITING_ANSWER)
		once_cancel_waiter(d->once, c->once_waiter);
	if (c->state == IN_QUEUED)
		admit_cancel(d->admit, c->queue_handle);
	if (c->once_entry)
		once_not_run(d->once, c->once_entry);
	c->once_entry = 0;
	inbound_call_free(c);
}

/* A target that is slow to notice the cancellation still works on the request,
 * so the request counts as in flight until the target has closed the connection
 * too. */
void
inbound_cancel_run(struct in_call *c)
{
	if (c->cancelled)
		return;
	if (!http_call_shutdown(c->target_call)) {
		inbound_abort_run(c);
		return;
	}
	c->cancelled = 1;
	c->answer_held = 0;
	io_timer_clear(c->data->task.loop, &c->timer);
}

/* Closes the connection to the target without waiting for it. */
void
inbound_abort_run(struct in_call *c)
{
	http_call_cancel(c->target_call);
	c->target_call = NULL;
	inbound_trace_target(c, "cancelled");
	inbound_finish_run(c, ADMIT_CANCELLED);
}

void
inbound_receive_cancel(void *ctx, struct peer_conn *conn, uint32_t xid)
{
	struct in_call *c = find_call(conn, xid);

	if (c)
		inbound_abandon_call(c);
}

void
inbound_conn_closed(struct data *d, struct peer_conn *conn)
{
	struct in_conn *ic = peer_ctx(conn);
	GHashTableIter it;
	gpointer v;

	for (;;) {
		g_hash_table_iter_init(&it, ic->calls);
		if (!g_hash_table_iter_next(&it, NULL, &v))
			break;
		inbound_abandon_call(v);
	}
	g_hash_table_remove(d->conns, &ic->id);
}
