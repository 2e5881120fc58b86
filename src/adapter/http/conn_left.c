#include "conn.h"

#include <string.h>

const char *
http_end_cause_name(enum http_end_cause cause)
{
	static const char *const names[] = {
		[HTTP_END_NONE] = "none",
		[HTTP_END_CALLER_EOF] = "caller-eof",
		[HTTP_END_CALLER_CLOSED] = "caller-closed",
		[HTTP_END_CALLER_RESET] = "caller-reset",
		[HTTP_END_BROKEN_RESPONSE] = "broken-response",
		[HTTP_END_CLOSING_RESPONSE] = "closing-response",
		[HTTP_END_BAD_REQUEST] = "bad-request",
		[HTTP_END_SLOW_REQUEST] = "slow-request",
		[HTTP_END_SLOW_READER] = "slow-reader",
		[HTTP_END_MEMORY] = "memory",
		[HTTP_END_REPLACED] = "replaced",
		[HTTP_END_SERVER] = "server-end",
	};

	return names[cause];
}

int
http_end_by_caller(enum http_end_cause cause)
{
	return cause == HTTP_END_CALLER_CLOSED ||
	       cause == HTTP_END_CALLER_RESET;
}

void
conn_note_cause(struct http_conn *c, enum http_end_cause cause,
    const struct kq_error *err)
{
	if (c->left.cause != HTTP_END_NONE)
		return;
	c->left.cause = cause;
	c->why = *err;
}

enum http_end_cause
conn_gone_cause(const struct http_conn *c, int e, struct kq_error *err)
{
	kq_error_set(err, KQ_LAYER_HTTP, HTTP_E_CLOSED,
	    "caller disconnected: %s", e ? strerror(e) : "connection closed");
	if (!e)
		return HTTP_END_CALLER_EOF;
	return c->eof || c->eof_ahead ? HTTP_END_CALLER_CLOSED
				      : HTTP_END_CALLER_RESET;
}

static const char *
state_of(const struct http_exchange *x)
{
	if (x->item.whole)
		return "whole";
	if (!x->item.open)
		return "broken";
	if (x->head_written)
		return "begun";
	return x->passed ? "passed" : "waiting";
}

static void
add_request(GString *text, const char *name, const char *state)
{
	g_string_append_printf(text, "%s%s/%s", text->len ? "," : "",
	    name[0] ? name : "none", state);
}

void
conn_note_left(struct http_exchange *x)
{
	struct http_conn *c = x->conn;

	c->left.exchanges++;
	c->left.open += x->item.open;
	if (!c->left_requests)
		c->left_requests = g_string_new(NULL);
	add_request(c->left_requests, x->name, state_of(x));
}

static void
forget_sent(struct http_conn *c)
{
	guint n = 0;

	while (
	    n < c->unsent->len &&
	    g_array_index(c->unsent, struct unsent_response, n).end <= c->sent)
		n++;
	if (n)
		g_array_remove_range(c->unsent, 0, n);
}

void
conn_note_complete(const struct http_exchange *x)
{
	struct http_conn *c = x->conn;
	struct unsent_response u = { c->sent + out_pending(&c->out), "" };

	if (c->unsent)
		forget_sent(c);
	if (u.end == c->sent)
		return;
	if (!c->unsent)
		c->unsent = g_array_new(FALSE, FALSE, sizeof u);
	g_strlcpy(u.name, x->name, sizeof u.name);
	g_array_append_val(c->unsent, u);
}

/* Names the complete responses that are not sent whole before the requests
 * behind them. */
static void
name_unsent(struct http_conn *c)
{
	GString *behind = c->left_requests;
	guint i;

	forget_sent(c);
	if (!c->unsent->len)
		return;
	c->left_requests = g_string_new(NULL);
	for (i = 0; i < c->unsent->len; i++)
		add_request(c->left_requests,
		    g_array_index(c->unsent, struct unsent_response, i).name,
		    "unsent");
	if (!behind)
		return;
	g_string_append_printf(c->left_requests, ",%s", behind->str);
	g_string_free(behind, TRUE);
}

void
conn_report_end(struct http_conn *c)
{
	struct http_server *s = c->server;

	c->left.unsent = out_pending(&c->out);
	if (c->reset)
		c->left.unsent += (size_t)conn_unacked(c);
	if (c->unsent)
		name_unsent(c);
	c->left.reason = c->left.cause ? c->why.text : "closed";
	c->left.requests = c->left_requests ? c->left_requests->str : "none";
	if (s->ops->ended && (c->left.exchanges || c->left.unsent))
		s->ops->ended(s->ctx, &c->left);
}
