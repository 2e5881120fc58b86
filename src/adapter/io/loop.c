#include "io_impl.h"

#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_MAX 128 /* of one look at the descriptors */

static int
ready_bits(uint32_t events)
{
	int ready = 0;

	if (events & EPOLLIN)
		ready |= IO_READ;
	if (events & EPOLLOUT)
		ready |= IO_WRITE;
	if (events & EPOLLRDHUP)
		ready |= IO_END;
	if (events & (EPOLLERR | EPOLLHUP))
		ready |= IO_READ | IO_WRITE;
	return ready;
}

static void
dispatch_event(struct io_loop *l, const struct epoll_event *e)
{
	uint32_t i = (uint32_t)e->data.u64;
	uint32_t generation = (uint32_t)(e->data.u64 >> 32);
	struct io_watch *w;

	if (e->data.u64 == IO_TIMERFD_DATA) {
		io_timerfd_fired(l);
		return;
	}
	w = l->slot[i].watch;
	if (!w || l->slot[i].generation != generation)
		return;
	w->ready(w->ctx, ready_bits(e->events));
}

/* Takes all that is ready before the timers run: a timer may be the time limit
 * of what has come. A descriptor that stays ready comes behind the others, so
 * that the looks are bounded by their number. */
static void
dispatch_events(struct io_loop *l)
{
	uint32_t looks = l->nslot / EVENTS_MAX + 1;
	struct epoll_event ev[EVENTS_MAX];
	int i, n;

	do {
		n = epoll_wait(l->epoll, ev, EVENTS_MAX, 0);
		for (i = 0; i < n; i++)
			dispatch_event(l, &ev[i]);
	} while (n == EVENTS_MAX && --looks > 0);
}

static gboolean
dispatch(GSource *source, GSourceFunc fn, gpointer ctx)
{
	struct io_loop *l = (struct io_loop *)source;

	(void)fn;
	(void)ctx;
	l->now = io_clock();
	l->dispatching = 1;
	if (g_source_query_unix_fd(source, l->tag))
		dispatch_events(l);
	io_timers_run(l, l->now);
	l->dispatching = 0;
	io_timers_arm(l);
	return G_SOURCE_CONTINUE;
}

static void
finalize(GSource *source)
{
	struct io_loop *l = (struct io_loop *)source;

	if (l->epoll >= 0)
		close(l->epoll);
	if (l->timer_fd >= 0)
		close(l->timer_fd);
	g_free(l->slot);
	g_free((void *)l->heap);
}

static GSourceFuncs loop_funcs = { NULL, NULL, dispatch, finalize, NULL, NULL };

struct io_loop *
io_loop_new(GMainContext *ctx)
{
	GSource *s = g_source_new(&loop_funcs, sizeof(struct io_loop));
	struct io_loop *l = (struct io_loop *)s;

	l->timer_fd = -1;
	l->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (l->epoll < 0 || io_timerfd_open(l) < 0) {
		g_source_unref(s);
		return NULL;
	}
	l->tag = g_source_add_unix_fd(s, l->epoll, G_IO_IN);
	/* Otherwise GLib takes the descriptor out of its poll set during each
	 * dispatch and wakes itself up twice. Dispatch does not recurse, since
	 * no callback may iterate the context. */
	g_source_set_can_recurse(s, TRUE);
	g_source_set_name(s, "io_loop");
	g_source_attach(s, ctx);
	return l;
}

void
io_loop_stop(struct io_loop *l)
{
	g_source_destroy(&l->source);
}

void
io_loop_free(struct io_loop *l)
{
	if (!l)
		return;
	io_loop_stop(l);
	g_source_unref(&l->source);
}

int64_t
io_now(const struct io_loop *l)
{
	return l->dispatching ? l->now : io_clock();
}
