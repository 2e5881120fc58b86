#include "conn.h"

#include <string.h>
#include <sys/socket.h>

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

static int
must_buffer(const struct http_conn *c)
{
	return c->send_errno || (out_pending(&c->out) && !c->corked);
}

static void
put_status(struct http_out *o, int status)
{
	out_text(o, "HTTP/1.1 ");
	out_int(o, status);
	out_text(o, " ");
	out_text(o, http_status_str((enum http_status)status));
	out_text(o, "\r\n");
}

static void
put_framing(struct http_out *o, struct http_exchange *x, int status)
{
	if (x->chunked) {
		out_text(o, "Transfer-Encoding: chunked\r\n");
	} else if (x->body_left >= 0 && !http_no_body(status)) {
		out_text(o, "Content-Length: ");
		out_int(o, x->body_left);
		out_text(o, "\r\n");
	}
	out_text(o, x->keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
}

void
http_exchange_write_head(struct http_exchange *x, int status,
    const struct http_field *field, int nfield, int64_t length)
{
	struct http_conn *c = x->conn;
	int i, blocked = must_buffer(c),
	       behind = http_exchange_has_predecessor(x);
	struct http_out *out = behind ? &x->queued_out : &c->out;

	if (!x->open || x->head_written)
		return;
	x->head_written = 1;
	x->no_body = x->method_is_head || http_no_body(status);
	x->body_left = length;
	if (length == HTTP_LENGTH_NONE && !x->method_is_head)
		x->body_left = 0;
	x->chunked = length == HTTP_LENGTH_CHUNKED && !x->http10 &&
		     !http_no_body(status);
	/* without "100 Continue" the caller may never send the body */
	if (x->expect_continue)
		x->keep_alive = 0;
	/* Requests behind it that were read are answered first. */
	if ((c->server->stopping || c->server->no_keepalive) && !x->next)
		x->keep_alive = 0;
	put_status(out, status);
	for (i = 0; i < nfield; i++)
		out_field(out, field[i].name, field[i].value);
	put_framing(out, x, status);
	if (blocked || behind)
		return;
	c->corked = 1;
	if (!c->in_callback)
		conn_schedule(c);
}

size_t
http_exchange_write(struct http_exchange *x, const void *data, size_t n)
{
	struct http_conn *c = x->conn;

	if (!x->open || !x->head_written || x->no_body || c->send_errno)
		return 0;
	if (x->body_left >= 0) {
		if ((uint64_t)n > (uint64_t)x->body_left) {
			n = (size_t)x->body_left;
			x->keep_alive = 0;
		}
		x->body_left -= (int64_t)n;
	}
	if (n && http_exchange_has_predecessor(x)) {
		out_body(&x->queued_out, c->fd, data, n, x->chunked, 0);
		x->notify_drained = 1;
		return out_pending(&x->queued_out);
	}
	if (n)
		conn_note_send(c, out_body(&c->out, c->fd, data, n, x->chunked,
				      !must_buffer(c)));
	if (out_pending(&c->out) && !c->send_errno)
		x->notify_drained = 1;
	conn_update_watch(c);
	return c->send_errno ? 0 : out_pending(&c->out);
}

/* Ends a response while earlier ones are still to be sent; it waits for them.
 */
static void
end_queued(struct http_exchange *x)
{
	if (x->chunked && !x->no_body)
		out_text(&x->queued_out, "0\r\n\r\n");
	x->notify_drained = 0;
	x->open = 0;
	x->done = 1;
}

void
http_exchange_end(struct http_exchange *x)
{
	struct http_conn *c = x->conn;
	int blocked = must_buffer(c);

	if (!x->open)
		return;
	if (!x->head_written || (x->body_left > 0 && !x->no_body)) {
		http_exchange_abort(x);
		return;
	}
	if (http_exchange_has_predecessor(x)) {
		end_queued(x);
		return;
	}
	if (x->chunked && !x->no_body)
		out_text(&c->out, "0\r\n\r\n");
	x->notify_drained = 0;
	if (!blocked)
		conn_flush(c);
	if (c->send_errno)
		x->keep_alive = 0;
	conn_finish_exchange(c);
}

void
conn_send_reset(struct http_conn *c)
{
	struct linger reset = { 1, 0 };
	struct kq_error err;

	kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_CLOSED,
	    "connection reset by an aborted response");
	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
	c->reset = 1;
	conn_fail_exchanges(c, &err);
	conn_close(c);
}

void
http_exchange_abort(struct http_exchange *x)
{
	if (!x->open)
		return;
	x->open = 0;
	if (http_exchange_has_predecessor(x))
		x->aborted = x->done = 1;
	else
		conn_send_reset(x->conn);
}

void
http_exchange_pause(struct http_exchange *x, int on)
{
	struct http_conn *c = x->conn;

	on = on != 0;
	if (!x->open || c->paused == on)
		return;
	c->paused = on;
	in_pause(&c->in, on);
	if (!on)
		conn_schedule(c);
}
