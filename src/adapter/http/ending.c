#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "link.h"

/* A peer that has not read the end of a connection by then is not waited for.
 */
#define END_WAIT_US 500000

/**
 * struct http_ending - a connection that was closed, and that the peer may
 * count as open until it has closed its side
 */
struct http_ending {
	struct http_pool *pool;
	GList node;
	int fd;
	struct io_watch watch;
	struct io_timer timer;
};

/* Whether nothing more is to be waited for: the peer has closed its side, or
 * sends to the closed connection and is to be answered with a reset. */
static int
is_over(int fd)
{
	char c;

	return recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       (errno != EAGAIN && errno != EINTR);
}

static void
end(struct http_ending *e)
{
	struct http_pool *p = e->pool;

	io_watch_remove(p->loop, &e->watch);
	io_timer_clear(p->loop, &e->timer);
	close(e->fd);
	g_queue_unlink(&p->endings, &e->node);
	g_free(e);
}

static void
end_and_go_on(struct http_ending *e)
{
	struct http_pool *p = e->pool;

	end(e);
	pool_connect_waiting(p);
	pool_open_spare(p);
}

static void
on_ready(void *ctx, int ready)
{
	struct http_ending *e = ctx;

	(void)ready;
	if (is_over(e->fd))
		end_and_go_on(e);
}

static void
on_timer(void *ctx, int64_t now)
{
	(void)now;
	end_and_go_on(ctx);
}

void
ending_begin(struct http_pool *p, int fd)
{
	struct http_ending *e;

	if (is_over(fd) || shutdown(fd, SHUT_WR) < 0) {
		close(fd);
		return;
	}
	e = g_new0(struct http_ending, 1);
	e->pool = p;
	e->fd = fd;
	if (io_watch_add(p->loop, &e->watch, fd, IO_READ, on_ready, e) < 0) {
		close(fd);
		g_free(e);
		return;
	}
	e->timer.fire = on_timer;
	e->timer.ctx = e;
	io_timer_set(p->loop, &e->timer, io_now(p->loop) + END_WAIT_US);
	e->node.data = e;
	g_queue_push_tail_link(&p->endings, &e->node);
}

void
ending_free_all(struct http_pool *p)
{
	struct http_ending *e;

	while ((e = g_queue_peek_head(&p->endings)))
		end(e);
}
