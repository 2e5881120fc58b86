#include "conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

int
conn_has_input(const struct http_conn *c)
{
	char byte;

	return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Closes an idle connection, unless a request has just arrived: it is still
 * answered. */
static void
close_idle(struct http_conn *c)
{
	if (conn_has_input(c))
		return;
	if (c->server->stopping)
		conn_end(c, LINE_CLOSE, HTTP_END_NONE, NULL);
	else
		conn_close(c);
}

/* All bytes are sent. Closes the connection once they are acknowledged, or when
 * the peer acknowledged none for HTTP_LINGER_US. */
static void
look_for_acks(struct http_conn *c, int64_t now)
{
	int n = conn_unacked(c);

	if (n && n != c->unacked)
		c->linger_until = now + HTTP_LINGER_US;
	c->unacked = n;
	c->look_at = now + HTTP_ACKS_US;
	if ((!n && c->state == CONN_ACKS) || now >= c->linger_until)
		conn_close(c);
}

static void
end_late(struct http_conn *c, enum http_end_cause cause)
{
	int unsent = cause != HTTP_END_SLOW_REQUEST;
	struct kq_error err;
	enum line_verdict v;

	kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_TIMEOUT, "%s",
	    unsent ? "caller does not read" : "request took too long");
	v = line_timeout(unsent || c->line.closing, in_is_partial(&c->in));
	if (v == LINE_FAULT) {
		conn_fault(c, 408, &err);
		return;
	}
	conn_note_cause(c, cause, &err);
	conn_end(c, v, cause, &err);
}

static void
handle_timeout(struct http_conn *c, int64_t now)
{
	int unsent = out_pending(&c->out) > 0;

	if (c->state != CONN_OPEN && !unsent) {
		look_for_acks(c, now);
		return;
	}
	if (conn_is_idle(c)) {
		close_idle(c);
		return;
	}
	end_late(c, unsent ? HTTP_END_SLOW_READER : HTTP_END_SLOW_REQUEST);
}

/* One whose event is being handled is not stalled, nor is one whose caller was
 * offered nothing yet, since the head waits for the first bytes of the body. */
static struct http_conn *
longest_stalled(const struct http_server *s, int64_t before)
{
	struct http_conn *c, *stalled = NULL;

	for (c = s->conns; c; c = c->next) {
		if (c->in_callback || c->corked || !out_pending(&c->out) ||
		    c->last_taken >= before)
			continue;
		before = c->last_taken;
		stalled = c;
	}
	return stalled;
}

/* Whether the caller took bytes that are not noted yet, as this task did not
 * run. */
static int
has_room(const struct http_conn *c)
{
	struct pollfd p = { .fd = c->fd, .events = POLLOUT };

	return poll(&p, 1, 0) > 0 && p.revents & POLLOUT;
}

int
http_server_end_stalled(struct http_server *s, int64_t before)
{
	struct http_conn *c;

	while ((c = longest_stalled(s, before)) && has_room(c))
		c->last_taken = io_now(s->loop);
	if (!c)
		return 0;
	end_late(c, HTTP_END_MEMORY);
	return 1;
}

/* Error of a socket that is no longer watched for input. */
static int
socket_error(int fd)
{
	int e = 0;
	socklen_t n = sizeof e;

	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &e, &n) ? errno : e;
}

static void
handle_readable(struct http_conn *c)
{
	if (!(c->watch.events & IO_READ))
		conn_disconnected(c, socket_error(c->fd));
	else if (!conn_wants_read(c))
		c->read_disabled = 1;
	else
		conn_read(c);
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
	if (c->state == CONN_OPEN && !c->line.first && c->in.ended)
		conn_next_request(c);
	conn_update_watch(c);
}

static void
on_ready(void *ctx, int ready)
{
	struct http_conn *c = ctx;

	c->in_callback = 1;
	if (ready & IO_WRITE)
		conn_flush(c);
	if (!c->closed && !c->send_errno && (ready & IO_READ))
		handle_readable(c);
	else if (!c->closed && (ready & IO_END))
		conn_handle_eof_ahead(c);
	leave_callback(c);
}

static void
run_scheduled(struct http_conn *c)
{
	c->scheduled = 0;
	if (c->send_errno) {
		conn_disconnected(c, c->send_errno);
		return;
	}
	if (c->corked)
		conn_flush(c);
	conn_send_continue(c);
	if (!c->closed)
		conn_parse(c, NULL, 0);
	if (c->eof)
		conn_handle_eof(c);
	else if (c->eof_ahead)
		conn_handle_eof_ahead(c);
}

static void
on_timer(void *ctx, int64_t now)
{
	struct http_conn *c = ctx;
	int64_t due;

	c->in_callback = 1;
	if (c->scheduled)
		run_scheduled(c);
	if (!c->closed && c->probe_at && c->probe_at <= now)
		conn_probe(c, now);
	due = c->closed ? 0 : conn_timeout_time(c);
	if (due && due <= now)
		handle_timeout(c, now);
	leave_callback(c);
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
	c->left.number = ++s->accepted;
	c->last_byte = c->last_taken = c->served_at = io_now(s->loop);
	c->timer.fire = on_timer;
	c->timer.ctx = c;
	c->out.limit = s->call_bytes;
	limit_unsent(fd);
	if (io_watch_add(s->loop, &c->watch, fd, IO_READ, on_ready, c) < 0) {
		g_free(c);
		return NULL;
	}
	in_init(&c->in, HTTP_REQUEST, s->limits.head_bytes, &conn_in_ops, c);
	c->in.call_bytes = c->in.text_limit = s->call_bytes;
	list_add(c);
	if (over_limit)
		conn_reject(c, 503, "too many connections");
	else
		conn_update_timer(c);
	return c;
}
