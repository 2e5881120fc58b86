#include "conn.h"

#include <errno.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ACCEPT_BATCH 32
#define ACCEPT_LAST 4096 /* more than the system lets wait */
#define TCP_FLAGS_OFFSET 13 /* in the header of a segment */
/* for handshakes that have begun; callers whose own is dropped meanwhile try
 * again after a second */
#define LAST_ACCEPT_US 2000

static int
is_full(const struct http_server *s)
{
	return s->nconn >= s->limits.connections;
}

const char *
http_refusal_name(enum http_refusal why)
{
	static const char *const names[] = {
		[HTTP_REFUSAL_LIMIT] = "limit",
		[HTTP_REFUSAL_UNANSWERED] = "unanswered",
		[HTTP_REFUSAL_WATCH] = "watch",
		[HTTP_REFUSAL_ACCEPT] = "accept",
	};

	return names[why];
}

static void
report_refused(struct http_server *s, enum http_refusal why, int error)
{
	if (s->ops->refused)
		s->ops->refused(s->ctx, why, error);
}

static void
add_conn(struct http_server *s, int fd)
{
	int over_limit = is_full(s) && !server_make_place(s);

	if (over_limit && s->nrefused >= s->refused_max) {
		close(fd);
		report_refused(s, HTTP_REFUSAL_UNANSWERED, 0);
	} else if (!conn_new(s, fd, over_limit)) {
		report_refused(s, HTTP_REFUSAL_WATCH, errno);
		close(fd);
	} else if (over_limit) {
		report_refused(s, HTTP_REFUSAL_LIMIT, 0);
	}
}

/* Accepts up to @max connections. Return: 0, or -1 if accept failed and is to
 * be tried again after HTTP_ACCEPT_RETRY_US. */
static int
accept_some(struct http_server *s, int max)
{
	int fd;

	while (max-- > 0) {
		fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0) {
			add_conn(s, fd);
			continue;
		}
		if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED)
			return 0;
		report_refused(s, HTTP_REFUSAL_ACCEPT, errno);
		return -1;
	}
	return 0;
}

static void
on_listen(void *ctx, int ready)
{
	struct http_server *s = ctx;

	(void)ready;
	if (accept_some(s, ACCEPT_BATCH) == 0 || s->stopping)
		return;
	io_watch_events(s->loop, &s->watch, 0);
	io_timer_set(s->loop, &s->timer,
	    io_now(s->loop) + HTTP_ACCEPT_RETRY_US);
}

static void
on_accept_retry(void *ctx, int64_t now)
{
	struct http_server *s = ctx;

	(void)now;
	io_watch_events(s->loop, &s->watch, IO_READ);
}

static void
on_free_timer(void *ctx, int64_t now)
{
	(void)now;
	conn_free_closed(ctx);
}

struct http_server *
http_server_new(struct io_loop *l, const char *ip, int port,
    const struct http_limits *limits, const struct http_server_ops *ops,
    void *ctx, struct kq_error *err)
{
	struct http_server *s;
	int fd = io_listen_tcp(ip, port);

	if (fd < 0) {
		kq_error_set(err, KQ_LAYER_HTTP, HTTP_E_BIND,
		    "listen on %s port %d: %s", ip, port, strerror(errno));
		return NULL;
	}
	s = g_new0(struct http_server, 1);
	s->loop = l;
	s->limits = *limits;
	s->ops = ops;
	s->ctx = ctx;
	s->fd = fd;
	s->refused_max = HTTP_REFUSED_MAX;
	s->scratch = g_malloc(HTTP_READ_BYTES);
	s->timer.fire = on_accept_retry;
	s->timer.ctx = s;
	s->free_timer.fire = on_free_timer;
	s->free_timer.ctx = s;
	if (io_watch_add(l, &s->watch, fd, IO_READ, on_listen, s) < 0) {
		kq_error_set(err, KQ_LAYER_HTTP, HTTP_E_SOCKET,
		    "watch socket: %s", strerror(errno));
		http_server_free(s);
		return NULL;
	}
	return s;
}

static void
stop_listening(struct http_server *s)
{
	if (s->fd < 0)
		return;
	io_watch_remove(s->loop, &s->watch);
	io_timer_clear(s->loop, &s->timer);
	close(s->fd);
	s->fd = -1;
}

void
http_server_set_limits(struct http_server *s, const struct http_limits *limits)
{
	s->limits = *limits;
}

void
http_server_disable_keepalive(struct http_server *s)
{
	s->no_keepalive = 1;
}

/* Lets no further handshake begin; 0 or -1. A connection that is established
 * between the last accept and the close of the listening socket would be reset,
 * perhaps with a request on it. */
static int
drop_new_handshakes(int fd)
{
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = { sizeof code / sizeof *code, code };

	return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
	    sizeof program);
}

static void
on_last_accept(void *ctx, int64_t now)
{
	struct http_server *s = ctx;

	(void)now;
	accept_some(s, ACCEPT_LAST);
	stop_listening(s);
}

void
http_server_stop(struct http_server *s)
{
	struct http_conn *c;
	int filtered;

	if (s->stopping)
		return;
	filtered = !drop_new_handshakes(s->fd);
	/* closing the listening socket would reset the connections that are in
	 * its accept queue */
	accept_some(s, ACCEPT_LAST);
	s->stopping = 1;
	s->close_idle_at =
	    io_now(s->loop) +
	    (s->no_keepalive ? HTTP_STOP_GRACE_SHORT_US : HTTP_STOP_GRACE_US);
	if (filtered) {
		s->timer.fire = on_last_accept;
		io_timer_set(s->loop, &s->timer,
		    io_now(s->loop) + LAST_ACCEPT_US);
	} else {
		stop_listening(s);
	}
	for (c = s->conns; c; c = c->next)
		conn_update_timer(c);
}

int
http_server_connections(const struct http_server *s)
{
	return s->nconn;
}

int
http_server_is_listening(const struct http_server *s)
{
	return s->fd >= 0;
}

void
http_server_free(struct http_server *s)
{
	struct kq_error err;
	struct http_conn *c;

	if (!s)
		return;
	kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_CLOSED, "server ended");
	stop_listening(s);
	while ((c = s->conns)) {
		conn_note_cause(c, HTTP_END_SERVER, &err);
		conn_end(c, LINE_DROP, HTTP_END_SERVER, &err);
	}
	conn_free_closed(s);
	io_timer_clear(s->loop, &s->free_timer);
	g_free(s->scratch);
	g_free(s);
}
