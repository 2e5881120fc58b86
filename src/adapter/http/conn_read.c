#include "conn.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Between two interim responses to a caller that ended its sending side: half
 * of the time for which work may go on for a caller that has left. */
#define PROBE_US 250000

#define READ_MIN_BYTES 4096 /* read from a socket, however few are free */

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
	struct http_exchange *x = conn_reading(c);

	if (!x || !x->item.open || !x->expect_continue || x->head_written ||
	    c->paused || http_exchange_has_predecessor(x))
		return;
	x->expect_continue = 0;
	if (!c->in.unparsed_len)
		send_interim(c);
}

/* Reads no more. */
static void
overrun(struct http_conn *c)
{
	enum line_verdict v = line_overrun(&c->line);
	struct kq_error err;

	in_pause(&c->in, 1);
	if (v == LINE_GO_ON)
		return;
	kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_CLOSED,
	    "request went on after its response");
	conn_end(c, v, HTTP_END_NONE, &err);
}

static int
on_head(void *ctx, struct http_in *in)
{
	struct http_conn *c = ctx;
	const char *expect = http_head_find(&in->head, "Expect");
	struct http_exchange *x;

	if (!line_may_run(&c->line)) {
		overrun(c);
		return 0;
	}
	x = exchange_new(c);
	x->http10 = in->parser.http_minor == 0;
	x->item.keep_alive = !x->http10 && http_should_keep_alive(&in->parser);
	x->method_is_head = in->parser.method == HTTP_HEAD;
	x->item.pipelinable =
	    x->item.keep_alive &&
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
	struct http_exchange *x = conn_reading(c);

	if (x)
		x->expect_continue = 0;
	if (x && x->item.open) {
		c->server->ops->body(c->server->ctx, x, data, n);
		return;
	}
	c->discarded += n;
	if (c->discarded > HTTP_DISCARD_BYTES && !c->line.closing)
		overrun(c);
}

static void
on_end(void *ctx)
{
	struct http_conn *c = ctx;
	struct http_exchange *x = conn_reading(c);

	c->line.reading = NULL;
	if (x && x->item.open)
		c->server->ops->end(c->server->ctx, x);
}

const struct http_in_ops conn_in_ops = { on_head, on_body, on_end };

/* Answers the request that was being read, which is broken. */
static void
answer_broken(struct http_exchange *x, int status, const struct kq_error *err)
{
	struct http_conn *c = x->conn;
	int open = x->item.open;

	x->item.open = 0;
	if (open)
		c->server->ops->failed(c->server->ctx, x, err);
	if (!c->closed && c->state == CONN_OPEN)
		conn_answer(x, status, "unknown", err->text);
}

void
conn_fault(struct http_conn *c, int status, const struct kq_error *err)
{
	struct http_exchange *x = conn_reading(c);
	enum line_verdict v = line_fault(&c->line,
	    x ? conn_sent(x) : LINE_SENT_NONE, c->in.head_done);

	in_pause(&c->in, 1);
	c->head_since = 0;
	if (v == LINE_CLOSE || v == LINE_RESET)
		conn_end(c, v,
		    status == 408 ? HTTP_END_SLOW_REQUEST
				  : HTTP_END_BAD_REQUEST,
		    err);
	if (v == LINE_ANSWER && x)
		answer_broken(x, status, err);
	if (v == LINE_REJECT)
		conn_reject(c, status, err->text);
	if ((v == LINE_ANSWER || v == LINE_REJECT) && c->server->ops->rejected)
		c->server->ops->rejected(c->server->ctx, err);
}

static void
reject_message(struct http_conn *c)
{
	struct kq_error err = c->in.err;

	conn_fault(c, c->in.error_status, &err);
}

void
conn_disconnected(struct http_conn *c, int e)
{
	struct kq_error err;
	enum http_end_cause cause = conn_gone_cause(c, e, &err);

	conn_note_cause(c, cause, &err);
	conn_end(c, LINE_DROP, cause, &err);
}

/* A closed socket would have answered bytes that were sent after the end of its
 * sending side. */
static int
nothing_tells(const struct http_conn *c, int64_t now)
{
	return c->last_byte <= c->eof_at && now - c->eof_at >= PROBE_US;
}

/* The caller may be gone, or still wait for its responses: a half-close after a
 * complete request is legal. An interim response tells, as any bytes do, since
 * a socket that was closed in both directions answers with a reset. It has to
 * be sent again, as the caller may close the other side later, of which nothing
 * else tells. */
void
conn_probe(struct http_conn *c, int64_t now)
{
	struct http_exchange *x = conn_first(c);

	c->probe_at = 0;
	if (!x || c->state != CONN_OPEN)
		return;
	c->probe_at = now + PROBE_US;
	if (out_pending(&c->out))
		return;
	if (!x->http10 && (!x->head_written || x->held))
		send_interim(c);
	else if (c->eof && c->server->limits.eof_cancels &&
		 (x->http10 || nothing_tells(c, now)))
		conn_disconnected(c, 0);
}

void
conn_handle_eof(struct http_conn *c)
{
	enum line_verdict v;
	int partial = !c->in.ended && in_is_partial(&c->in);

	if (c->closed || c->state != CONN_OPEN || c->in.paused)
		return;
	v = line_eof(&c->line, partial);
	if (v == LINE_FAULT && in_feed_eof(&c->in) < 0)
		reject_message(c);
	else if (v == LINE_CLOSE && !c->in.unparsed_len)
		conn_end(c, v, HTTP_END_NONE, NULL);
	if (!c->closed && !c->probe_at)
		conn_probe(c, io_now(c->server->loop));
}

void
conn_handle_eof_ahead(struct http_conn *c)
{
	if (!c->eof_ahead)
		c->eof_at = io_now(c->server->loop);
	c->eof_ahead = 1;
	if (!c->probe_at)
		conn_probe(c, io_now(c->server->loop));
}

void
conn_parse(struct http_conn *c, const char *data, size_t n)
{
	while (c->state == CONN_OPEN && !c->closed && !c->line.closing) {
		if (c->in.ended && conn_may_read_request(c))
			in_next_message(&c->in);
		if (in_feed(&c->in, data, n) < 0) {
			if (!c->closed && c->state == CONN_OPEN)
				reject_message(c);
			return;
		}
		data = NULL;
		n = 0;
		if (c->closed || !c->in.ended || !c->in.unparsed_len ||
		    !conn_may_read_request(c))
			break;
	}
	if (c->closed)
		return;
	if (!in_is_partial(&c->in) || c->in.head_done || c->line.closing)
		c->head_since = 0;
	else if (!c->head_since)
		c->head_since = io_now(c->server->loop);
}

static void
discard_input(struct http_conn *c, ssize_t n)
{
	if (n > 0)
		c->discarded += (size_t)n;
	if (n == 0)
		c->eof = 1;
	if (n < 0 && errno != EAGAIN && errno != EINTR)
		conn_disconnected(c, errno);
	else if (c->eof && !out_pending(&c->out))
		conn_close(c);
	else if (c->discarded > HTTP_DISCARD_BYTES)
		conn_await_acks(c);
}

/* What can't be parsed yet of one read is kept, so that reads become smaller
 * while bytes are used up. */
static size_t
read_bytes(const struct http_server *s)
{
	return s->call_bytes ? byte_limit_share(s->call_bytes, READ_MIN_BYTES,
				   HTTP_READ_BYTES)
			     : HTTP_READ_BYTES;
}

void
conn_read(struct http_conn *c)
{
	struct http_server *s = c->server;
	ssize_t n = recv(c->fd, s->scratch, read_bytes(s), 0);

	if (c->state == CONN_LINGER) {
		discard_input(c, n);
		return;
	}
	if (n > 0) {
		c->last_byte = io_now(c->server->loop);
		if (!out_pending(&c->out))
			c->last_taken = c->last_byte;
		conn_parse(c, c->server->scratch, (size_t)n);
		return;
	}
	if (n == 0) {
		c->eof = 1;
		c->eof_at = io_now(c->server->loop);
		conn_handle_eof(c);
	} else if (errno != EAGAIN && errno != EINTR) {
		conn_disconnected(c, errno);
	}
}
