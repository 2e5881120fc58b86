#include "io_impl.h"

#include <sys/epoll.h>

#define SLOTS_INITIAL 64

static void
grow_slots(struct io_loop *l)
{
	uint32_t i, n = l->nslot ? l->nslot * 2 : SLOTS_INITIAL;

	l->slot = g_renew(struct io_slot, l->slot, n);
	for (i = n; i > l->nslot; i--) {
		l->slot[i - 1].watch = NULL;
		l->slot[i - 1].generation = 0;
		l->slot[i - 1].next_free = l->free_slot;
		l->free_slot = i;
	}
	l->nslot = n;
}

static int
update_epoll(struct io_loop *l, int op, const struct io_watch *w)
{
	struct epoll_event e = { 0 };
	uint32_t i = w->slot - 1;

	if (w->events & IO_READ)
		e.events |= EPOLLIN;
	if (w->events & IO_WRITE)
		e.events |= EPOLLOUT;
	if (w->events & IO_END)
		e.events |= EPOLLRDHUP;
	e.data.u64 = (uint64_t)l->slot[i].generation << 32 | i;
	return epoll_ctl(l->epoll, op, w->fd, &e);
}

static void
release_slot(struct io_loop *l, struct io_watch *w)
{
	uint32_t i = w->slot - 1;

	l->slot[i].watch = NULL;
	l->slot[i].generation++;
	l->slot[i].next_free = l->free_slot;
	l->free_slot = w->slot;
	w->slot = 0;
}

int
io_watch_add(struct io_loop *l, struct io_watch *w, int fd, int events,
    io_ready_fn *ready, void *ctx)
{
	if (!l->free_slot)
		grow_slots(l);
	w->fd = fd;
	w->events = events;
	w->ready = ready;
	w->ctx = ctx;
	w->slot = l->free_slot;
	l->free_slot = l->slot[w->slot - 1].next_free;
	l->slot[w->slot - 1].watch = w;
	if (update_epoll(l, EPOLL_CTL_ADD, w) < 0) {
		release_slot(l, w);
		return -1;
	}
	return 0;
}

void
io_watch_events(struct io_loop *l, struct io_watch *w, int events)
{
	if (!w->slot || w->events == events)
		return;
	w->events = events;
	update_epoll(l, EPOLL_CTL_MOD, w);
}

void
io_watch_remove(struct io_loop *l, struct io_watch *w)
{
	if (!w->slot)
		return;
	update_epoll(l, EPOLL_CTL_DEL, w);
	release_slot(l, w);
}
