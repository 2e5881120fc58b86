#include "adapter/rpc/replay.h"

#include <glib.h>

#define WINDOW_BITS 64

/**
 * struct window - counters seen from one sender
 * @top: highest counter seen
 * @seen: bit i is set when top - i was seen
 * @used: when it was last heard, as a count of datagrams
 */
struct window {
	uint64_t sender;
	uint64_t top;
	uint64_t seen;
	uint64_t used;
};

struct replay {
	GHashTable *windows;
	guint max;
	uint64_t datagrams;
};

struct replay *
replay_new(int max)
{
	struct replay *r = g_new0(struct replay, 1);

	r->windows =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	r->max = (guint)max;
	return r;
}

void
replay_free(struct replay *r)
{
	g_hash_table_destroy(r->windows);
	g_free(r);
}

void
replay_forget(struct replay *r, uint64_t sender)
{
	g_hash_table_remove(r->windows, &sender);
}

static void
drop_oldest(struct replay *r)
{
	const struct window *oldest = NULL;
	GHashTableIter i;
	gpointer p;

	g_hash_table_iter_init(&i, r->windows);
	while (g_hash_table_iter_next(&i, NULL, &p)) {
		const struct window *w = p;

		if (!oldest || w->used < oldest->used)
			oldest = w;
	}
	if (oldest)
		replay_forget(r, oldest->sender);
}

static struct window *
window_of(struct replay *r, uint64_t sender)
{
	struct window *w = g_hash_table_lookup(r->windows, &sender);

	if (w)
		return w;
	if (g_hash_table_size(r->windows) >= r->max)
		drop_oldest(r);
	w = g_new0(struct window, 1);
	w->sender = sender;
	g_hash_table_insert(r->windows, &w->sender, w);
	return w;
}

int
replay_take(struct replay *r, uint64_t sender, uint64_t counter)
{
	struct window *w = window_of(r, sender);
	uint64_t back;

	w->used = ++r->datagrams;
	if (counter > w->top) {
		uint64_t step = counter - w->top;

		w->seen = step < WINDOW_BITS ? w->seen << step : 0;
		w->seen |= 1;
		w->top = counter;
		return 1;
	}
	back = w->top - counter;
	if (counter == 0 || back >= WINDOW_BITS || w->seen >> back & 1)
		return 0;
	w->seen |= UINT64_C(1) << back;
	return 1;
}
