#include "http_impl.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void
on_ready(void *ctx, int ready)
{
	conn_handle_ready(ctx, ready);
}

static void
on_timer(void *ctx, int64_t now)
{
	conn_handle_timer(ctx, now);
}

static void
list_add(struct http_conn *c)
{
	struct http_server *s = c->server;

	c->next = s->conns;
	if (c->next)
		c->next->prev = c;
	s->conns = c;
	if (c->over_limit)
		s->nrefused++;
	else
		s->nconn++;
}

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

/* Without this bound the kernel takes megabytes for a caller that does not
 * read; they would not be counted. */
static void
limit_unsent(int fd)
{
	int n = HTTP_KERNEL_UNSENT_BYTES;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &n, sizeof n);
}

struct http_conn *
conn_new(struct http_server *s, int fd, int over_limit)
{
	struct http_conn *c = g_new0(struct http_conn, 1);

	c->server = s;
	c->fd = fd;
	c->over_limit = over_limit;
	c->last_byte = io_now(s->loop);
	c->timer.fire = on_timer;
	c->timer.ctx = c;
	c->out.limit = s->call_bytes;
	limit_unsent(fd);
	if (io_watch_add(s->loop, &c->watch, fd, IO_READ, on_ready, c) < 0) {
		g_free(c);
		return NULL;
	}
	in_init(&c->in, HTTP_REQUEST, s->limits.head_bytes, &conn_in_ops, c);
	c->in.call_bytes = s->call_bytes;
	list_add(c);
	if (over_limit)
		conn_send_error(c, 503, "too many connections", 0);
	else
		conn_update_timer(c);
	return c;
}

void
conn_close(struct http_conn *c)
{
	struct http_server *s = c->server;

	if (c->closed)
		return;
	c->closed = 1;
	while (c->first)
		exchange_retire(c, c->first);
	in_pause(&c->in, 1);
	io_watch_remove(s->loop, &c->watch);
	io_timer_clear(s->loop, &c->timer);
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
	c->corked = 0;
	if (r > 0) {
		c->last_byte = io_now(c->server->loop);
		return;
	}
	if (r == 0 || errno == EAGAIN || errno == EINTR)
		return;
	c->send_errno = errno;
	conn_schedule(c);
}

static void
shutdown_send(struct http_conn *c)
{
	shutdown(c->fd, SHUT_WR);
	if (c->eof)
		conn_close(c);
}

void
conn_flush(struct http_conn *c)
{
	if (c->closed || c->send_errno || !out_pending(&c->out))
		return;
	conn_note_send(c, out_send(&c->out, c->fd, NULL, 0));
	if (c->send_errno || out_pending(&c->out))
		return;
	if (c->first && c->first->open && c->first->notify_drained) {
		c->first->notify_drained = 0;
		if (c->server->ops->drained)
			c->server->ops->drained(c->server->ctx, c->first);
	}
	if (!c->closed && c->state == CONN_LINGER && !out_pending(&c->out))
		shutdown_send(c);
}

void
conn_linger(struct http_conn *c)
{
	if (c->closed || c->state == CONN_LINGER)
		return;
	c->state = CONN_LINGER;
	in_pause(&c->in, 1);
	c->linger_until = io_now(c->server->loop) + HTTP_LINGER_US;
	if (out_pending(&c->out) && !c->send_errno)
		conn_flush(c);
	else
		shutdown_send(c);
	if (!c->closed)
		conn_update_watch(c);
}

void
conn_fail_exchanges(struct http_conn *c, const struct kq_error *err)
{
	struct http_exchange *x;
	int open;

	while ((x = c->first)) {
		open = x->open;
		exchange_retire(c, x);
		if (open)
			c->server->ops->failed(c->server->ctx, x, err);
	}
}

void
conn_send_error(struct http_conn *c, int status, const char *text,
    int delivered)
{
	struct http_out *o = &c->out;

	out_text(o, "HTTP/1.1 ");
	out_int(o, status);
	out_text(o, " ");
	out_text(o, http_status_str((enum http_status)status));
	out_text(o, "\r\nKumquatrock-Outcome: ");
	out_text(o, delivered ? "unknown" : "not-run");
	out_text(o, "\r\nContent-Type: text/plain\r\n"
		    "Connection: close\r\nContent-Length: ");
	out_int(o, (int64_t)strlen(text) + 1);
	out_text(o, "\r\n\r\n");
	out_text(o, text);
	out_text(o, "\n");
	conn_linger(c);
}

/* Fails the exchanges after one whose response closes the connection; to their
 * callers, these requests were never read. */
static void
fail_queued(struct http_conn *c)
{
	struct kq_error err;

	if (!c->first)
		return;
	kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_CLOSED,
	    "connection closed by an earlier response");
	conn_fail_exchanges(c, &err);
}

/* Sends what the user already wrote of the response whose turn it is now. */
static void
start_next_response(struct http_conn *c)
{
	struct http_exchange *x = c->first;

	out_add(&c->out, x->queued_out.data + x->queued_out.off,
	    out_pending(&x->queued_out));
	out_clear(&x->queued_out);
	if (x->aborted) {
		conn_send_reset(c);
		return;
	}
	if (out_pending(&c->out) && !c->send_errno) {
		x->notify_drained = 1;
		conn_flush(c);
	}
	if (!c->closed && c->first == x && x->open &&
	    c->server->ops->became_first)
		c->server->ops->became_first(c->server->ctx, x);
}

void
conn_finish_exchange(struct http_conn *c)
{
	struct http_exchange *x = c->first;
	int keep_alive = x->keep_alive;

	exchange_retire(c, x);
	if (c->closed)
		return;
	if (!keep_alive || (c->server->stopping && !c->first)) {
		fail_queued(c);
		conn_linger(c);
		return;
	}
	if (c->paused) {
		c->paused = 0;
		in_pause(&c->in, 0);
	}
	if (c->first) {
		start_next_response(c);
		if (!c->closed && c->first && c->first->done)
			conn_finish_exchange(c);
	}
	if (c->closed)
		return;
	if (!c->in_callback)
		conn_next_request(c);
	else if (c->in.unparsed_len)
		conn_schedule(c);
}

static int
wants_read(const struct http_conn *c)
{
	if (c->eof)
		return 0;
	return c->state == CONN_LINGER || (!c->paused && !c->in.unparsed_len);
}

void
conn_update_watch(struct http_conn *c)
{
	int events = 0;

	if (c->closed)
		return;
	if (wants_read(c))
		c->read_disabled = 0;
	if (!c->eof && !c->read_disabled)
		events |= IO_READ;
	if (out_pending(&c->out) && !c->corked)
		events |= IO_WRITE;
	io_watch_events(c->server->loop, &c->watch, events);
	conn_update_timer(c);
}
