#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer_impl.h"

#define RECORD_MARK_LEN 4
/* for which a daemon that connected may stand still and keep its answers */
#define PEER_STILL_MS 10000
#define ACCEPT_RETRY_US 100000 /* no accept after a failed one */
#define HELLOS_MAX 1024 /* default of peer_node_limit_hellos() */
/* Above that limit, the oldest connection without a handshake is closed once it
 * had this time for it; until then no other is accepted. */
#define HELLO_MIN_US 500000
#define HELLO_WAIT_US 20000 /* until accept is tried again */

struct peer_node *
peer_node_new(struct io_loop *loop, uint64_t incarnation,
    const struct peer_keys *keys, const struct peer_ops *ops, void *ctx)
{
	struct peer_node *n = g_new0(struct peer_node, 1);

	n->loop = loop;
	n->incarnation = incarnation;
	n->keys = *keys;
	n->ops = ops;
	n->ctx = ctx;
	n->listen_fd = -1;
	n->hellos_max = HELLOS_MAX;
	n->conns = g_ptr_array_new();
	n->closed = g_ptr_array_new();
	n->scratch = g_malloc(WIRE_RECORD_MAX + RECORD_MARK_LEN);
	n->arena = g_malloc(WIRE_RECORD_MAX);
	n->read_buf = g_malloc(PEER_READ_MAX);
	return n;
}

static void
accept_again(void *ctx, int64_t now)
{
	struct peer_node *n = ctx;

	io_watch_events(n->loop, &n->listen_watch, IO_READ);
}

static void
accept_later(struct peer_node *n, int64_t wait_us)
{
	io_watch_events(n->loop, &n->listen_watch, 0);
	n->listen_timer.fire = accept_again;
	n->listen_timer.ctx = n;
	io_timer_set(n->loop, &n->listen_timer, io_now(n->loop) + wait_us);
}

/* Without free descriptors the socket stays ready. */
static void
accept_failed(struct peer_node *n)
{
	if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
		accept_later(n, ACCEPT_RETRY_US);
}

/* Whether another connection may be accepted. Those without a handshake may be
 * of anybody, so that they must not use up the descriptors. */
static int
may_accept(struct peer_node *n)
{
	struct peer_conn *c, *oldest = NULL;
	int hellos = 0;
	guint i;

	if (n->conns->len < (guint)n->hellos_max)
		return 1;
	for (i = 0; i < n->conns->len; i++) {
		c = g_ptr_array_index(n->conns, i);
		if (!c->accepted || c->state != PEER_HELLO)
			continue;
		hellos++;
		if (!oldest || c->hello_timer.due < oldest->hello_timer.due)
			oldest = c;
	}
	if (hellos < n->hellos_max || !oldest)
		return 1;
	if (oldest->hello_timer.due - PEER_HELLO_MS * 1000 + HELLO_MIN_US >
	    io_now(n->loop))
		return 0;
	n->counters.hellos_closed++;
	peer_close(oldest);
	return 1;
}

void
peer_node_limit_hellos(struct peer_node *n, int max)
{
	n->hellos_max = max;
}

static void
accept_ready(void *ctx, int ready)
{
	struct peer_node *n = ctx;
	int fd, one = 1;

	for (;;) {
		if (!may_accept(n)) {
			accept_later(n, HELLO_WAIT_US);
			return;
		}
		fd = accept4(n->listen_fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			accept_failed(n);
			return;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
		io_limit_silence(fd, PEER_STILL_MS);
		peer_conn_new(n, fd, 1);
	}
}

int
peer_node_listen(struct peer_node *n, const char *ip, int port,
    struct kq_error *e)
{
	n->listen_fd = io_listen_tcp(ip, port);
	if (n->listen_fd < 0)
		return kq_error_set(e, KQ_LAYER_RPC, errno, "listen %s:%d: %s",
		    ip, port, g_strerror(errno));
	return io_watch_add(n->loop, &n->listen_watch, n->listen_fd, IO_READ,
	    accept_ready, n);
}

void
peer_node_stop_listen(struct peer_node *n)
{
	if (n->listen_fd < 0)
		return;
	io_watch_remove(n->loop, &n->listen_watch);
	io_timer_clear(n->loop, &n->listen_timer);
	close(n->listen_fd);
	n->listen_fd = -1;
}

void
peer_node_free(struct peer_node *n)
{
	guint i;

	peer_node_stop_listen(n);
	while (n->conns->len)
		peer_close(g_ptr_array_index(n->conns, n->conns->len - 1));
	for (i = 0; i < n->closed->len; i++)
		peer_conn_free(g_ptr_array_index(n->closed, i));
	g_ptr_array_unref(n->conns);
	g_ptr_array_unref(n->closed);
	g_free(n->scratch);
	g_free(n->arena);
	g_free(n->read_buf);
	g_free(n);
}

void
peer_node_set_call_bytes(struct peer_node *n, struct byte_limit *b)
{
	n->call_bytes = b;
}

size_t
peer_node_unsent_bytes(const struct peer_node *n)
{
	size_t sum = 0;
	guint i;

	for (i = 0; i < n->conns->len; i++)
		sum += peer_unsent_bytes(g_ptr_array_index(n->conns, i));
	return sum;
}

const struct peer_counters *
peer_node_counters(const struct peer_node *n)
{
	return &n->counters;
}
