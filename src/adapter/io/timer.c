#include "io_impl.h"

#define HEAP_CAP_INITIAL 64

static void
heap_place(struct io_loop *l, uint32_t i, struct io_timer *t)
{
	l->heap[i] = t;
	t->pos = i + 1;
}

static void
sift_up(struct io_loop *l, uint32_t i, struct io_timer *t)
{
	uint32_t parent;

	while (i > 0) {
		parent = (i - 1) / 2;
		if (l->heap[parent]->due <= t->due)
			break;
		heap_place(l, i, l->heap[parent]);
		i = parent;
	}
	heap_place(l, i, t);
}

static void
sift_down(struct io_loop *l, uint32_t i, struct io_timer *t)
{
	uint32_t child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= l->ntimer)
			break;
		if (child + 1 < l->ntimer &&
		    l->heap[child + 1]->due < l->heap[child]->due)
			child++;
		if (l->heap[child]->due >= t->due)
			break;
		heap_place(l, i, l->heap[child]);
		i = child;
	}
	heap_place(l, i, t);
}

static void
sift(struct io_loop *l, uint32_t i, struct io_timer *t)
{
	if (i > 0 && l->heap[(i - 1) / 2]->due > t->due)
		sift_up(l, i, t);
	else
		sift_down(l, i, t);
}

void
io_timer_set(struct io_loop *l, struct io_timer *t, int64_t due)
{
	t->due = due;
	if (t->pos) {
		sift(l, t->pos - 1, t);
	} else {
		if (l->ntimer == l->heap_cap) {
			l->heap_cap =
			    l->heap_cap ? l->heap_cap * 2 : HEAP_CAP_INITIAL;
			l->heap =
			    g_renew(struct io_timer *, l->heap, l->heap_cap);
		}
		sift_up(l, l->ntimer++, t);
	}
	io_timers_arm(l);
}

void
io_timer_clear(struct io_loop *l, struct io_timer *t)
{
	struct io_timer *last;
	uint32_t i;

	if (!t->pos)
		return;
	i = t->pos - 1;
	t->pos = 0;
	last = l->heap[--l->ntimer];
	if (last != t)
		sift(l, i, last);
	io_timers_arm(l);
}

void
io_timers_run(struct io_loop *l, int64_t now)
{
	uint32_t left = l->ntimer;
	struct io_timer *t;

	/* Calls back at most as many timers as were set at the start, so that
	 * a timer that its callback sets again can't hold up the loop. */
	while (left-- > 0 && l->ntimer > 0 && l->heap[0]->due <= now) {
		t = l->heap[0];
		io_timer_clear(l, t);
		t->fire(t->ctx, now);
	}
}
