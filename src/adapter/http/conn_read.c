#include "http_impl.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

static void
send_interim(struct http_conn *c)
{
	out_text(&c->out, interim);
	conn_flush(c);
}

void
conn_send_continue(struct http_conn *c)
{
	struct http_exchange *x = c->reading;

	if (!x || !x->open || !x->expect_continue || x->head_written ||
	    c->paused || http_exchange_has_predecessor(x))
		return;
	x->expect_continue = 0;
	if (!c->in.unparsed_len)
		send_interim(c);
}

static int
on_head(void *ctx, struct http_in *in)
{
	struct http_conn *c = ctx;
	struct http_exchange *x = exchange_new(c);
	const char *expect = http_head_find(&in->head, "Expect");

	x->http10 = in->parser.http_minor == 0;
	x->keep_alive = !x->http10 && http_should_keep_alive(&in->parser);
	x->method_is_head = in->parser.method == HTTP_HEAD;
	x->pipelinable = x->keep_alive &&
			 (x->method_is_head || in->parser.method == HTTP_GET);
	x->expect_continue =
	    !x->http10 && expect && !strcasecmp(expect, "100-continue") &&
	    in->head.length != HTTP_LENGTH_NONE && in->head.length != 0;
	c->discarded = 0;
	c->server->ops->request(c->server->ctx, x, &in->head);
	conn_send_continue(c);
	return 0;
}

static void
on_body(void *ctx, const void *data, size_t n)
{
	struct http_conn *c = ctx;

	if (c->reading)
		c->reading->expect_continue = 0;
	if (c->reading && c->reading->open) {
		c->server->ops->body(c->server->ctx, c->reading, data, n);
		return;
	}
	c->discarded += n;
	if (c->discarded > HTTP_DISCARD_BYTES)
		conn_linger(c);
}

static void
on_end(void *ctx)
{
	struct http_conn *c = ctx;

	struct http_exchange *x = c->reading;

	c->reading = NULL;
	if (x && x->open)
		c->server->ops->end(c->server->ctx, x);
}

const struct http_in_ops conn_in_ops = { on_head, on_body, on_end };

int
conn_can_send_error(const struct http_conn *c)
{
	if (c->first)
		return !c->first->head_written && c->first == c->reading;
	return !c->in.head_done;
}

static void
reject_message(struct http_conn *c)
{
	int answerable = conn_can_send_error(c), delivered = c->first != NULL;
	struct kq_error err = c->in.err;
	int status = c->in.error_status;

	conn_fail_exchanges(c, &err);
	if (c->closed)
		return;
	if (!answerable) {
		conn_close(c);
		return;
	}
	conn_send_error(c, status, err.text, delivered);
	if (c->server->ops->rejected)
		c->server->ops->rejected(c->server->ctx, &err);
}

static void
handle_disconnect(struct http_conn *c, int e)
{
	struct kq_error err;

	kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_CLOSED,
	    "caller disconnected: %s", e ? strerror(e) : "connection closed");
	conn_fail_exchanges(c, &err);
	if (!c->closed)
		conn_close(c);
}

/* Handles the end of the caller's input. The caller may still wait for its
 * response: a half-close after a complete request is legal, but in some
 * dialects means that the caller has disconnected. In the others, an interim
 * response tells whether it has, since a socket that was closed in both
 * directions answers with a reset. */
static void
handle_eof(struct http_conn *c)
{
	struct http_exchange *x = c->first;

	if (c->closed || c->state != CONN_OPEN || c->in.paused)
		return;
	if (x && (c->in.ended || !in_is_partial(&c->in))) {
		if (c->server->limits.eof_cancels) {
			handle_disconnect(c, 0);
		} else if (!x->head_written && !x->http10 && !x->interim_sent) {
			x->interim_sent = 1;
			send_interim(c);
		}
		return;
	}
	if (in_feed_eof(&c->in) < 0) {
		reject_message(c);
		return;
	}
	if (!c->in.unparsed_len)
		conn_linger(c);
}

/* Whether another request may be read: few bytes are unsent, and there is no
 * exchange, or the newest one allows requests after it, there are fewer than
 * HTTP_PIPELINE_MAX and the connection is not to be closed after the newest
 * one. */
static int
may_read_request(const struct http_conn *c)
{
	if (out_pending(&c->out) > HTTP_UNSENT_MAX)
		return 0;
	if (c->newest && (c->server->stopping || c->server->no_keepalive))
		return 0;
	return !c->newest || (c->newest->pipelinable && !c->paused &&
				 c->nexchange < HTTP_PIPELINE_MAX);
}

void
conn_parse(struct http_conn *c, const char *data, size_t n)
{
	while (c->state == CONN_OPEN && !c->closed) {
		if (c->in.ended && may_read_request(c))
			in_next_message(&c->in);
		if (in_feed(&c->in, data, n) < 0) {
			if (!c->closed && c->state == CONN_OPEN)
				reject_message(c);
			return;
		}
		data = NULL;
		n = 0;
		if (c->closed || !c->in.ended || !c->in.unparsed_len ||
		    !may_read_request(c))
			break;
	}
	if (c->closed)
		return;
	if (!in_is_partial(&c->in) || c->in.head_done)
		c->head_since = 0;
	else if (!c->head_since)
		c->head_since = io_now(c->server->loop);
}

void
conn_next_request(struct http_conn *c)
{
	if (c->in.ended && may_read_request(c))
		in_next_message(&c->in);
	if (c->in.unparsed_len || c->eof)
		conn_schedule(c);
	else
		conn_update_watch(c);
}

static void
discard_input(struct http_conn *c, ssize_t n)
{
	if (n > 0)
		c->discarded += (size_t)n;
	if (n == 0)
		c->eof = 1;
	if ((n < 0 && errno != EAGAIN && errno != EINTR) ||
	    c->discarded > HTTP_DISCARD_BYTES ||
	    (c->eof && !out_pending(&c->out)))
		conn_close(c);
}

static void
read_input(struct http_conn *c)
{
	ssize_t n = recv(c->fd, c->server->scratch, HTTP_READ_BYTES, 0);

	if (c->state == CONN_LINGER) {
		discard_input(c, n);
		return;
	}
	if (n > 0) {
		c->last_byte = io_now(c->server->loop);
		conn_parse(c, c->server->scratch, (size_t)n);
		return;
	}
	if (n == 0) {
		c->eof = 1;
		handle_eof(c);
	} else if (errno != EAGAIN && errno != EINTR) {
		handle_disconnect(c, errno);
	}
}

static void
handle_readable(struct http_conn *c)
{
	if (!(c->watch.events & IO_READ)) {
		handle_disconnect(c, 0);
		return;
	}
	if (c->state == CONN_OPEN && (c->paused || c->in.unparsed_len)) {
		c->read_disabled = 1;
		return;
	}
	read_input(c);
}

static void
leave_callback(struct http_conn *c)
{
	if (!c->closed && c->corked)
		conn_flush(c);
	c->in_callback = 0;
	if (c->closed)
		return;
	exchange_free_retired(c);
	if (c->state == CONN_OPEN && !c->first && c->in.ended)
		conn_next_request(c);
	conn_update_watch(c);
}

void
conn_handle_ready(struct http_conn *c, int ready)
{
	c->in_callback = 1;
	if (ready & IO_WRITE)
		conn_flush(c);
	if (!c->closed && (ready & IO_READ))
		handle_readable(c);
	leave_callback(c);
}

static void
run_scheduled(struct http_conn *c)
{
	c->scheduled = 0;
	if (c->send_errno) {
		handle_disconnect(c, c->send_errno);
		return;
	}
	if (c->corked)
		conn_flush(c);
	conn_send_continue(c);
	if (!c->closed)
		conn_parse(c, NULL, 0);
	if (c->eof)
		handle_eof(c);
}

void
conn_handle_timer(struct http_conn *c, int64_t now)
{
	int64_t due;

	c->in_callback = 1;
	if (c->scheduled)
		run_scheduled(c);
	due = c->closed ? 0 : conn_timeout_time(c);
	if (due && due <= now)
		conn_handle_timeout(c);
	leave_callback(c);
}
