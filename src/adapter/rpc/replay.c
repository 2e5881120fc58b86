#include "adapter/rpc/replay.h"

#include <glib.h>

#define WINDOW_BITS 64

/**
 * struct window - counters seen from one sender
 * @top: highest counter seen
 * @seen: bit i is set if counter top - i was seen
 * @last_used: value of replay.datagrams when the sender was last heard
 */
struct window {
	uint64_t sender;
	uint64_t top;
	uint64_t seen;
	uint64_t last_used;
};

struct replay {
	GHashTable *windows;
	guint max; /* windows */
	uint64_t datagrams; /* checked so far */
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
replay_forget_sender(struct replay *r, uint64_t sender)
{
	g_hash_table_remove(r->windows, &sender);
}

/* Drops the window of the sender that was not heard for longest. */
static void
drop_least_recent(struct replay *r)
{
	const struct window *oldest = NULL;
	GHashTableIter i;
	gpointer p;

	g_hash_table_iter_init(&i, r->windows);
	while (g_hash_table_iter_next(&i, NULL, &p)) {
		const struct window *w = p;

		if (!oldest || w->last_used < oldest->last_used)
			oldest = w;
	}
	if (oldest)
		replay_forget_sender(r, oldest->sender);
}

static struct window *
get_window(struct replay *r, uint64_t sender)
{
	struct window *w = g_hash_table_lookup(r->windows, &sender);

	if (w)
		return w;
	if (g_hash_table_size(r->windows) >= r->max)
		drop_least_recent(r);
	w = g_new0(struct window, 1);
	w->sender = sender;
	g_hash_table_insert(r->windows, &w->sender, w);
	return w;
}

int
replay_accept(struct replay *r, uint64_t sender, uint64_t counter)
{
	struct window *w = get_window(r, sender);
	uint64_t behind;

	w->last_used = ++r->datagrams;
	if (counter > w->top) {
		uint64_t step = counter - w->top;

		w->seen = step < WINDOW_BITS ? w->seen << step : 0;
		w->seen |= 1;
		w->top = counter;
		return 1;
	}
	behind = w->top - counter;
	if (counter == 0 || behind >= WINDOW_BITS || w->seen >> behind & 1)
		return 0;
	w->seen |= UINT64_C(1) << behind;
	return 1;
}
