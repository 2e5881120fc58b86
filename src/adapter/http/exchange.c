#include "conn.h"

#include <string.h>

void
http_exchange_set_ctx(struct http_exchange *x, void *ctx)
{
	x->ctx = ctx;
}

void *
http_exchange_ctx(const struct http_exchange *x)
{
	return x->ctx;
}

uint64_t
http_exchange_conn_number(const struct http_exchange *x)
{
	return x->conn->left.number;
}

void
http_exchange_set_name(struct http_exchange *x, const char *name)
{
	g_strlcpy(x->name, name, sizeof x->name);
}

void
http_exchange_set_passed(struct http_exchange *x)
{
	x->passed = 1;
}

enum http_end_cause
http_exchange_end_cause(const struct http_exchange *x)
{
	return x->conn->left.cause;
}

static int
must_buffer(const struct http_conn *c)
{
	return c->send_errno || (out_pending(&c->out) && !c->corked);
}

int
http_exchange_has_predecessor(const struct http_exchange *x)
{
	return conn_first(x->conn) != x;
}

struct http_exchange *
http_exchange_next(const struct http_exchange *x)
{
	return (struct http_exchange *)x->item.next;
}

int
http_exchange_must_wait(const struct http_exchange *x)
{
	const struct http_exchange *first = conn_first(x->conn);

	return first != x && first->item.open && first->head_written &&
	       !first->held;
}

void
http_exchange_hold(struct http_exchange *x)
{
	if (x->item.open && !x->head_written)
		x->held = 1;
}

size_t
http_exchange_release(struct http_exchange *x)
{
	struct http_conn *c = x->conn;

	if (!x->item.open || !x->held)
		return 0;
	if (http_exchange_has_predecessor(x)) {
		x->held = 0;
		return out_pending(&x->queued_out);
	}
	conn_unqueue(x);
	if (out_pending(&c->out) && !c->send_errno) {
		x->notify_drained = 1;
		conn_flush(c);
	}
	conn_update_watch(c);
	return c->send_errno ? 0 : out_pending(&c->out);
}

void
http_exchange_write_head(struct http_exchange *x, int status,
    const struct http_field *field, int nfield, int64_t length)
{
	struct http_conn *c = x->conn;
	int blocked = must_buffer(c);

	if (!x->item.open || x->head_written)
		return;
	conn_put_head(x, status, field, nfield, length);
	if (blocked || x->held || http_exchange_has_predecessor(x))
		return;
	c->corked = 1;
	if (!c->in_callback)
		conn_schedule(c);
}

/* Adds bytes of a body to the connection's output and sends them if nothing is
 * in their way. */
static void
put_body(struct http_exchange *x, const void *data, size_t n)
{
	struct http_conn *c = x->conn;
	size_t before = out_pending(&c->out);
	ssize_t r =
	    out_body(&c->out, c->fd, data, n, x->chunked, !must_buffer(c));

	x->put += out_pending(&c->out) - before + (r > 0 ? (size_t)r : 0);
	conn_note_send(c, r);
}

size_t
http_exchange_write(struct http_exchange *x, const void *data, size_t n)
{
	struct http_conn *c = x->conn;

	if (!x->item.open || !x->head_written || x->no_body || c->send_errno)
		return 0;
	if (x->body_left >= 0) {
		if ((uint64_t)n > (uint64_t)x->body_left) {
			n = (size_t)x->body_left;
			x->item.keep_alive = 0;
		}
		x->body_left -= (int64_t)n;
	}
	if (n && (x->held || http_exchange_has_predecessor(x))) {
		out_body(&x->queued_out, c->fd, data, n, x->chunked, 0);
		x->put = out_pending(&x->queued_out);
		x->notify_drained = 1;
		return out_pending(&x->queued_out);
	}
	if (n)
		put_body(x, data, n);
	if (out_pending(&c->out) && !c->send_errno)
		x->notify_drained = 1;
	conn_update_watch(c);
	return c->send_errno ? 0 : out_pending(&c->out);
}

void
http_exchange_end(struct http_exchange *x)
{
	struct http_conn *c = x->conn;
	int blocked = must_buffer(c), behind = http_exchange_has_predecessor(x);

	if (!x->item.open)
		return;
	if (!x->head_written || (x->body_left > 0 && !x->no_body)) {
		http_exchange_abort(x);
		return;
	}
	if (x->held && !behind)
		conn_unqueue(x);
	if (x->chunked && !x->no_body)
		out_text(behind ? &x->queued_out : &c->out, "0\r\n\r\n");
	x->notify_drained = 0;
	if (!blocked && !behind)
		conn_flush(c);
	if (c->send_errno)
		x->item.keep_alive = 0;
	conn_finish_exchange(c, x);
}

int
http_exchange_take_back(struct http_exchange *x)
{
	if (!x->item.open || conn_sent(x) != LINE_SENT_NONE)
		return 0;
	conn_take_back(x);
	return 1;
}

void
http_exchange_abort(struct http_exchange *x)
{
	struct http_conn *c = x->conn;
	enum line_verdict v;
	struct kq_error err;

	if (!x->item.open)
		return;
	v = line_abort(&x->item, conn_sent(x));
	if (v == LINE_ANSWER) {
		conn_answer(x, 502, "unknown", "the response broke off");
		return;
	}
	kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_CLOSED,
	    "connection closed by a broken response");
	conn_end(c, v, HTTP_END_BROKEN_RESPONSE, &err);
}

void
http_exchange_pause(struct http_exchange *x, int on)
{
	struct http_conn *c = x->conn;

	on = on != 0;
	if (!x->item.open || c->paused == on)
		return;
	c->paused = on;
	in_pause(&c->in, on);
	if (!on)
		conn_schedule(c);
}
