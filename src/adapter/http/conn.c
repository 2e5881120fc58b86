#include "conn.h"

#include <errno.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

static void
list_remove(struct http_conn *c)
{
	struct http_server *s = c->server;

	if (c->prev)
		c->prev->next = c->next;
	else
		s->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	if (c->over_limit)
		s->nrefused--;
	else
		s->nconn--;
}

struct http_exchange *
conn_first(const struct http_conn *c)
{
	return (struct http_exchange *)c->line.first;
}

struct http_exchange *
conn_reading(const struct http_conn *c)
{
	return (struct http_exchange *)c->line.reading;
}

struct http_exchange *
exchange_new(struct http_conn *c)
{
	struct http_exchange *x = g_new0(struct http_exchange, 1);

	x->conn = c;
	x->item.open = 1;
	x->queued_out.limit = c->server->call_bytes;
	line_add(&c->line, &x->item);
	return x;
}

/* Keeps an exchange that is no longer on the line until
 * exchange_free_retired(). */
static void
retire(struct http_conn *c, struct http_exchange *x)
{
	x->item.open = 0;
	out_clear(&x->queued_out);
	x->next_retired = c->retired;
	c->retired = x;
}

void
exchange_free_retired(struct http_conn *c)
{
	struct http_exchange *x;

	while ((x = c->retired)) {
		c->retired = x->next_retired;
		out_clear(&x->queued_out);
		g_free(x);
	}
}

int
conn_unacked(const struct http_conn *c)
{
	int n = 0;

	return ioctl(c->fd, SIOCOUTQ, &n) ? 0 : n;
}

/* Takes the first exchange off the line; counts it among those that the
 * connection leaves. Return: whether the user had not ended it. */
static int
leave_first(struct http_conn *c)
{
	struct http_exchange *x = conn_first(c);
	int open = x->item.open;

	conn_note_left(x);
	line_remove(&c->line, &x->item);
	retire(c, x);
	return open;
}

/* Whether a response that is cut would look whole if the connection were
 * closed. */
static int
looks_whole(const struct http_conn *c)
{
	return c->unframed && (c->line.first || out_pending(&c->out));
}

void
conn_close(struct http_conn *c)
{
	struct http_server *s = c->server;

	if (c->closed)
		return;
	if (looks_whole(c))
		c->reset = 1;
	c->closed = 1;
	while (c->line.first)
		leave_first(c);
	conn_report_end(c);
	out_clear(&c->out);
	in_pause(&c->in, 1);
	io_watch_remove(s->loop, &c->watch);
	io_timer_clear(s->loop, &c->timer);
	if (c->reset)
		io_reset_on_close(c->fd);
	close(c->fd);
	list_remove(c);
	c->next = s->closed;
	s->closed = c;
	io_timer_set(s->loop, &s->free_timer, io_now(s->loop));
}

void
conn_free_closed(struct http_server *s)
{
	struct http_conn *c;

	while ((c = s->closed)) {
		s->closed = c->next;
		out_clear(&c->out);
		in_clear(&c->in);
		exchange_free_retired(c);
		if (c->left_requests)
			g_string_free(c->left_requests, TRUE);
		if (c->unsent)
			g_array_unref(c->unsent);
		g_free(c);
	}
}

void
conn_schedule(struct http_conn *c)
{
	if (c->closed)
		return;
	c->scheduled = 1;
	io_timer_set(c->server->loop, &c->timer, io_now(c->server->loop));
}

void
conn_note_send(struct http_conn *c, ssize_t r)
{
	enum http_end_cause cause;
	struct kq_error err;

	c->corked = 0;
	if (r > 0) {
		c->sent += (uint64_t)r;
		c->last_byte = io_now(c->server->loop);
		c->last_taken = c->last_byte;
		return;
	}
	if (r == 0 || errno == EAGAIN || errno == EINTR)
		return;
	c->send_errno = errno;
	cause = conn_gone_cause(c, c->send_errno, &err);
	conn_note_cause(c, cause, &err);
	conn_schedule(c);
}

/* All bytes are with the kernel: the time for the peer to take them begins. */
static void
all_sent(struct http_conn *c)
{
	c->linger_until = io_now(c->server->loop) + HTTP_LINGER_US;
	if (!c->reset)
		shutdown(c->fd, SHUT_WR);
	if (c->eof && c->state == CONN_LINGER)
		conn_close(c);
}

void
conn_flush(struct http_conn *c)
{
	struct http_exchange *x = conn_first(c);

	if (c->closed || c->send_errno || !out_pending(&c->out))
		return;
	conn_note_send(c, out_send(&c->out, c->fd, NULL, 0));
	if (c->send_errno || (out_pending(&c->out) && !c->out.ahead))
		return;
	if (x && x->item.open && x->notify_drained) {
		x->notify_drained = out_pending(&c->out) > 0;
		if (c->server->ops->drained)
			c->server->ops->drained(c->server->ctx, x);
	}
	if (!c->closed && c->state != CONN_OPEN && !out_pending(&c->out))
		all_sent(c);
}

static void
enter_state(struct http_conn *c, enum conn_state state)
{
	if (c->closed || c->state >= state)
		return;
	c->state = state;
	c->head_since = 0;
	in_pause(&c->in, 1);
	if (out_pending(&c->out) && !c->send_errno)
		conn_flush(c);
	else
		all_sent(c);
	if (!c->closed)
		conn_update_watch(c);
}

void
conn_await_acks(struct http_conn *c)
{
	c->look_at = io_now(c->server->loop) + HTTP_ACKS_US;
	c->unacked = conn_unacked(c);
	enter_state(c, CONN_ACKS);
}

/* The exchanges are taken off the line before any user is told, so that no user
 * writes behind a response that is broken. */
static void
fail_exchanges(struct http_conn *c, const struct kq_error *err)
{
	struct http_exchange *x, *open[HTTP_PIPELINE_MAX + 1];
	int i, n = 0;

	while ((x = conn_first(c)))
		if (leave_first(c))
			open[n++] = x;
	for (i = 0; i < n; i++)
		c->server->ops->failed(c->server->ctx, open[i], err);
}

void
conn_end(struct http_conn *c, enum line_verdict how, enum http_end_cause cause,
    const struct kq_error *err)
{
	int cut = how == LINE_DROP && looks_whole(c);

	if (c->line.first || c->left.exchanges)
		conn_note_cause(c, cause, err);
	fail_exchanges(c, err);
	if (c->closed)
		return;
	if (cut || how == LINE_RESET)
		c->reset = 1;
	if (how == LINE_DROP)
		conn_close(c);
	else if (how == LINE_RESET)
		conn_await_acks(c);
	else
		enter_state(c, CONN_LINGER);
}

void
conn_unqueue(struct http_exchange *x)
{
	out_add(&x->conn->out, x->queued_out.data + x->queued_out.off,
	    out_pending(&x->queued_out));
	if (x->queued_out.ahead)
		out_run_ahead(&x->conn->out, x->queued_out.ahead);
	out_clear(&x->queued_out);
	x->held = 0;
}

/* Sends what was already written of the response whose turn it is now, unless
 * it is held. Return: its exchange if that is all of it. */
static struct http_exchange *
start_next_response(struct http_conn *c)
{
	struct http_exchange *x = conn_first(c);

	if (!x->held || x->item.whole)
		conn_unqueue(x);
	if (x->item.whole)
		return x;
	if (out_pending(&c->out) && !c->send_errno) {
		x->notify_drained = 1;
		conn_flush(c);
	}
	if (!c->closed && conn_first(c) == x && x->item.open &&
	    c->server->ops->became_first)
		c->server->ops->became_first(c->server->ctx, x);
	if (!c->closed)
		conn_send_continue(c);
	return NULL;
}

/* Removes an exchange whose response is complete. Return: the next one if its
 * response is, too. */
static struct http_exchange *
finish_first(struct http_conn *c, struct http_exchange *x)
{
	enum line_verdict v = line_finish(&c->line, &x->item);
	struct kq_error err;

	c->served_at = io_now(c->server->loop);
	conn_note_complete(x);
	retire(c, x);
	if (v == LINE_CLOSE) {
		kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_CLOSED,
		    "connection closed by an earlier response");
		conn_end(c, v, HTTP_END_CLOSING_RESPONSE, &err);
		return NULL;
	}
	if (c->paused && !(c->line.reading && c->line.reading->open)) {
		c->paused = 0;
		in_pause(&c->in, 0);
	}
	return v == LINE_NEXT ? start_next_response(c) : NULL;
}

void
conn_finish_exchange(struct http_conn *c, struct http_exchange *x)
{
	x->ctx = NULL;
	if (conn_first(c) != x) {
		line_finish(&c->line, &x->item);
		return;
	}
	while (x && c->state == CONN_OPEN && !c->closed)
		x = finish_first(c, x);
	if (c->closed || c->state != CONN_OPEN)
		return;
	if (out_pending(&c->out) && !c->corked)
		conn_flush(c);
	if (!c->in_callback)
		conn_next_request(c);
	else if (c->in.unparsed_len)
		conn_schedule(c);
}

int
conn_may_read_request(const struct http_conn *c)
{
	const struct http_server *s = c->server;

	return out_pending(&c->out) <= HTTP_UNSENT_MAX &&
	       line_may_read(&c->line, s->stopping || s->no_keepalive) &&
	       (!c->line.newest || !c->paused);
}

void
conn_next_request(struct http_conn *c)
{
	if (c->in.ended && conn_may_read_request(c))
		in_next_message(&c->in);
	if (c->in.unparsed_len ? !c->in.ended : c->eof)
		conn_schedule(c);
	else
		conn_update_watch(c);
}

int
conn_wants_read(const struct http_conn *c)
{
	if (c->eof || c->state == CONN_ACKS)
		return 0;
	if (c->state == CONN_LINGER)
		return 1;
	return !c->paused && !c->in.unparsed_len && !c->line.closing;
}

void
conn_update_watch(struct http_conn *c)
{
	int events = 0;

	if (c->closed)
		return;
	if (conn_wants_read(c))
		c->read_disabled = c->eof_ahead = 0;
	if (!c->eof && !c->read_disabled)
		events |= IO_READ;
	else if (!c->eof && !c->eof_ahead && c->state == CONN_OPEN)
		events |= IO_END;
	if (out_pending(&c->out) && !c->corked)
		events |= IO_WRITE;
	io_watch_events(c->server->loop, &c->watch, events);
	conn_update_timer(c);
}
