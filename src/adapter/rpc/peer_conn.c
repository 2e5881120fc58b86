#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer_impl.h"

static void
hello_timeout(void *ctx, int64_t now)
{
	peer_close(ctx);
}

struct peer_conn *
peer_conn_new(struct peer_node *n, int fd, int accepted)
{
	struct peer_conn *c = g_new0(struct peer_conn, 1);

	c->node = n;
	c->fd = fd;
	c->accepted = accepted;
	c->state = accepted ? PEER_HELLO : PEER_CONNECTING;
	c->in = g_byte_array_new();
	c->out = g_byte_array_new();
	c->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
	c->index = n->conns->len;
	g_ptr_array_add(n->conns, c);
	c->hello_timer.fire = hello_timeout;
	c->hello_timer.ctx = c;
	io_timer_set(n->loop, &c->hello_timer,
	    io_now(n->loop) + PEER_HELLO_MS * 1000);
	io_watch_add(n->loop, &c->watch, fd, accepted ? IO_READ : IO_WRITE,
	    peer_conn_ready, c);
	return c;
}

void
peer_conn_free(struct peer_conn *c)
{
	g_byte_array_unref(c->in);
	g_byte_array_unref(c->out);
	g_hash_table_unref(c->pending);
	g_free(c);
}

struct peer_conn *
peer_connect(struct peer_node *n, const char *ip, int port, struct kq_error *e)
{
	int fd = io_connect_tcp(ip, port);
	struct peer_conn *c;

	if (fd < 0) {
		kq_error_set(e, KQ_LAYER_RPC, errno, "connect %s:%d: %s", ip,
		    port, g_strerror(errno));
		return NULL;
	}
	c = peer_conn_new(n, fd, 0);
	g_strlcpy(c->address.ip, ip, sizeof c->address.ip);
	c->address.port = port;
	return c;
}

void
peer_conn_set_open(struct peer_conn *c)
{
	c->state = PEER_OPEN;
	c->last_record = io_now(c->node->loop);
	io_timer_clear(c->node->loop, &c->hello_timer);
	if (c->node->ops->opened)
		c->node->ops->opened(c->node->ctx, c);
}

void
peer_drop_unsent(struct peer_conn *c)
{
	byte_limit_give(c->node->call_bytes, c->out->len);
	g_byte_array_set_size(c->out, 0);
}

static void
remove_conn(struct peer_node *n, struct peer_conn *c)
{
	struct peer_conn *last;

	g_ptr_array_remove_index_fast(n->conns, c->index);
	if (c->index >= n->conns->len)
		return;
	last = g_ptr_array_index(n->conns, c->index);
	last->index = c->index;
}

void
peer_close(struct peer_conn *c)
{
	struct peer_node *n = c->node;

	if (c->state == PEER_CLOSED)
		return;
	c->state = PEER_CLOSED;
	io_timer_clear(n->loop, &c->hello_timer);
	io_watch_remove(n->loop, &c->watch);
	close(c->fd);
	remove_conn(n, c);
	n->in_sum -= c->in->len;
	peer_drop_unsent(c);
	n->depth++;
	n->ops->closed(n->ctx, c);
	n->depth--;
	g_ptr_array_add(n->closed, c);
}

void
peer_reject(struct peer_conn *c)
{
	c->node->counters.records_rejected++;
	peer_close(c);
}

/* Checks the result of a non-blocking connect and starts the handshake. */
static int
finish_connect(struct peer_conn *c)
{
	socklen_t len = sizeof(int);
	int err = 0;

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &len) || err)
		return -1;
	c->state = PEER_HELLO;
	return peer_hello_send(c);
}

/* Frees closed connections, unless a callback is running that may still use
 * one. */
static void
free_closed(struct peer_node *n)
{
	guint i;

	if (n->depth)
		return;
	for (i = 0; i < n->closed->len; i++)
		peer_conn_free(g_ptr_array_index(n->closed, i));
	g_ptr_array_set_size(n->closed, 0);
}

void
peer_conn_ready(void *ctx, int ready)
{
	struct peer_conn *c = ctx;
	struct peer_node *n = c->node;

	n->depth++;
	if (c->state == PEER_CONNECTING && finish_connect(c))
		peer_close(c);
	if (ready & IO_WRITE)
		peer_flush(c);
	if (ready & IO_READ && c->state != PEER_CLOSED)
		peer_receive(c);
	n->depth--;
	free_closed(n);
}

void
peer_allow_silence(struct peer_conn *c)
{
	io_limit_silence(c->fd, 0);
}

int
peer_is_open(const struct peer_conn *c)
{
	return c->state == PEER_OPEN;
}

int
peer_is_accepted(const struct peer_conn *c)
{
	return c->accepted;
}

uint64_t
peer_incarnation(const struct peer_conn *c)
{
	return c->incarnation;
}

int64_t
peer_hello_clock(const struct peer_conn *c)
{
	return c->hello_clock;
}

int64_t
peer_last_record_time(const struct peer_conn *c)
{
	return c->last_record;
}

void
peer_set_ctx(struct peer_conn *c, void *ctx)
{
	c->ctx = ctx;
}

void *
peer_ctx(const struct peer_conn *c)
{
	return c->ctx;
}

size_t
peer_unsent_bytes(const struct peer_conn *c)
{
	return c->out->len;
}
