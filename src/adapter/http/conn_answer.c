#include "conn.h"

#include <string.h>

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
	out_text(o, x->item.keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
}

struct http_out *
conn_out_of(struct http_exchange *x)
{
	struct http_conn *c = x->conn;

	return conn_first(c) == x && !x->held ? &c->out : &x->queued_out;
}

void
conn_put_head(struct http_exchange *x, int status,
    const struct http_field *field, int nfield, int64_t length)
{
	struct http_server *s = x->conn->server;
	struct http_out *out = conn_out_of(x);
	size_t before = out_pending(out);
	int i;

	x->head_written = 1;
	x->no_body = x->method_is_head || http_no_body(status);
	x->body_left = length;
	if (length == HTTP_LENGTH_NONE && !x->method_is_head)
		x->body_left = 0;
	x->chunked = length == HTTP_LENGTH_CHUNKED && !x->http10 &&
		     !http_no_body(status);
	if (length == HTTP_LENGTH_CHUNKED && !x->chunked && !x->no_body)
		x->conn->unframed = 1;
	/* without "100 Continue" the caller may never send the body */
	if (x->expect_continue)
		x->item.keep_alive = 0;
	/* Requests behind it that were read are answered first. */
	if ((s->stopping || s->no_keepalive) && !x->item.next)
		x->item.keep_alive = 0;
	put_status(out, status);
	for (i = 0; i < nfield; i++)
		out_field(out, field[i].name, field[i].value);
	put_framing(out, x, status);
	x->put += out_pending(out) - before;
}

enum line_sent
conn_sent(const struct http_exchange *x)
{
	const struct http_conn *c = x->conn;

	if (!x->head_written || x->held || conn_first(c) != x ||
	    x->put <= out_pending(&c->out))
		return LINE_SENT_NONE;
	if (!x->no_body && (x->chunked || x->body_left > 0))
		return LINE_SENT_PART;
	return LINE_SENT_UNFRAMED;
}

void
conn_take_back(struct http_exchange *x)
{
	struct http_conn *c = x->conn;
	struct http_out *out = conn_out_of(x);

	out_drop_last(out, x->put);
	if (out == &c->out && !out_pending(out))
		c->corked = 0;
	x->put = 0;
	x->head_written = 0;
	x->notify_drained = 0;
	x->held = 0;
}

void
conn_answer(struct http_exchange *x, int status, const char *outcome,
    const char *text)
{
	const struct http_field f[] = { { "Kumquatrock-Outcome", outcome },
		{ "Content-Type", "text/plain" } };
	struct http_conn *c = x->conn;
	size_t n = strlen(text);

	conn_take_back(x);
	x->item.open = 0;
	conn_put_head(x, status, f, sizeof f / sizeof *f, (int64_t)n + 1);
	if (!x->no_body) {
		out_add(conn_out_of(x), text, n);
		out_add(conn_out_of(x), "\n", 1);
	}
	conn_finish_exchange(c, x);
}

void
conn_reject(struct http_conn *c, int status, const char *text)
{
	struct http_exchange *x = exchange_new(c);

	c->line.reading = NULL;
	x->item.keep_alive = 0;
	conn_answer(x, status, "not-run", text);
}
