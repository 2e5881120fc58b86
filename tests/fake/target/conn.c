#include "target.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384

static void
conn_free(struct conn *c)
{
	struct target *t = c->target;

	job_cancel(c);
	t->counts.flooding -= c->flood != FLOOD_NONE;
	io_timer_clear(t->loop, &c->timer);
	io_watch_remove(t->loop, &c->watch);
	close(c->watch.fd);
	g_queue_unlink(&t->conns, &c->link);
	if (c->digest)
		g_checksum_free(c->digest);
	if (c->second)
		g_string_free(c->second, TRUE);
	g_byte_array_unref(c->out);
	g_free(c);
}

void
conn_close(struct conn *c)
{
	conn_free(c);
}

void
conn_reset(struct conn *c)
{
	struct linger l = { 1, 0 };

	setsockopt(c->watch.fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
	conn_free(c);
}

/* The socket became readable before the answer was sent. Unless there is
 * nothing to read, the caller went away or sent a pipelined request: closes the
 * connection. */
static void
check_caller(struct conn *c)
{
	ssize_t n;
	char b;

	n = recv(c->watch.fd, &b, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (c->flood && n >= 0) {
		io_watch_events(c->target->loop, &c->watch, IO_WRITE);
		return;
	}
	conn_close(c);
}

static void
conn_read(struct conn *c)
{
	char b[READ_BYTES];
	ssize_t n;

	if (c->state != CONN_READING) {
		check_caller(c);
		return;
	}
	n = read(c->watch.fd, b, sizeof b);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || parse_bytes(c, b, (size_t)n) < 0) {
		conn_close(c);
		return;
	}
	if (c->complete)
		job_admit(c);
}

static void
conn_ready(void *ctx, int ready)
{
	struct conn *c = ctx;

	if ((ready & IO_WRITE) && c->state == CONN_ANSWERING)
		conn_flush(c);
	else if (ready & IO_READ)
		conn_read(c);
}

/* Ends an answer that is to stop here. */
static void
stop_answer(struct conn *c)
{
	if (c->target->knobs.stop_reset)
		conn_reset(c);
	else
		conn_close(c);
}

/* A flood leaves the loop after some writes, so that the target goes on with
 * other connections. */
#define FLOOD_ROUNDS 4

void
conn_flush(struct conn *c)
{
	size_t left;
	ssize_t n;
	int rounds = 0;

	for (;;) {
		if (c->flood && rounds++ == FLOOD_ROUNDS) {
			io_watch_events(c->target->loop, &c->watch, IO_WRITE);
			return;
		}
		if (c->sent == c->out->len) {
			c->sent = 0;
			g_byte_array_set_size(c->out, 0);
			if (!answer_fill(c)) {
				conn_next(c);
				return;
			}
		}
		left = c->out->len - c->sent;
		if (c->stop_left >= 0)
			left = MIN(left, (size_t)c->stop_left);
		if (!left) {
			stop_answer(c);
			return;
		}
		n = send(c->watch.fd, c->out->data + c->sent, left,
		    MSG_NOSIGNAL);
		if (n < 0 && errno == EAGAIN) {
			io_watch_events(c->target->loop, &c->watch,
			    IO_READ | IO_WRITE);
			return;
		}
		if (n < 0) {
			conn_close(c);
			return;
		}
		c->sent += (size_t)n;
		if (c->stop_left >= 0)
			c->stop_left -= n;
	}
}

static void
end_cut(void *ctx, int64_t now)
{
	(void)now;
	conn_close(ctx);
}

void
conn_next(struct conn *c)
{
	struct target *t = c->target;

	if (c->body_left > 0 && t->knobs.cut_ms) {
		c->timer.fire = end_cut;
		c->timer.ctx = c;
		io_timer_set(t->loop, &c->timer,
		    io_now(t->loop) + t->knobs.cut_ms * 1000);
		io_watch_events(t->loop, &c->watch, 0);
		return;
	}
	if (c->close_after || c->body_left > 0) {
		conn_close(c);
		return;
	}
	parse_init(c);
	io_watch_events(c->target->loop, &c->watch, IO_READ);
}

static void
conn_opened(void *ctx, int64_t now)
{
	struct conn *c = ctx;

	(void)now;
	parse_init(c);
	io_watch_events(c->target->loop, &c->watch, IO_READ);
}

static void
conn_new(struct target *t, int fd)
{
	struct conn *c = g_new0(struct conn, 1);
	static int last_id;

	c->target = t;
	c->id = ++last_id;
	c->link.data = c->queue_link.data = c;
	c->out = g_byte_array_new();
	c->timer.fire = conn_opened;
	c->timer.ctx = c;
	g_queue_push_tail_link(&t->conns, &c->link);
	t->counts.connections++;
	t->counts.connections_max =
	    MAX(t->counts.connections_max, (long)t->conns.length);
	io_watch_add(t->loop, &c->watch, fd, 0, conn_ready, c);
	io_timer_set(t->loop, &c->timer, io_now(t->loop) + t->knobs.connect_us);
}

static void
accept_ready(void *ctx, int ready)
{
	struct target *t = ctx;
	int fd;

	(void)ready;
	for (;;) {
		fd = accept4(t->listener.fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		if ((long)t->conns.length >= t->knobs.connections) {
			t->counts.connections_refused++;
			close(fd);
			continue;
		}
		conn_new(t, fd);
	}
}

int
conn_listen(struct target *t, struct kq_error *e)
{
	int fd = io_listen_tcp(t->ip, t->port);

	if (fd < 0)
		return kq_error_set(e, KQ_LAYER_IO, errno, "%s:%d: %s", t->ip,
		    t->port, g_strerror(errno));
	return io_watch_add(t->loop, &t->listener, fd, IO_READ, accept_ready,
	    t);
}
