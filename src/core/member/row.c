#include "core/member/impl.h"

#include <math.h>

struct row *
member_row(const struct member_table *t, int handle)
{
	if (handle < 0 || (guint)handle >= t->rows->len)
		return NULL;
	return g_ptr_array_index(t->rows, (guint)handle);
}

static int
is_live(enum member_state state)
{
	return state == MEMBER_ALIVE || state == MEMBER_SUSPECT;
}

/* Inserts a handle at a random place among those still to be probed. */
static void
add_to_order(struct member_table *t, int handle)
{
	guint left = t->order->len - t->order_next;
	guint at = t->order_next + member_random_below(t, left + 1);

	g_array_insert_val(t->order, at, handle);
}

/* Adds a row to the list of live members or removes it; the last row of the
 * list then takes its place. We are never in the list. */
static void
set_live(struct member_table *t, int handle, int live)
{
	struct row *r = member_row(t, handle);
	int last;

	if (handle == 0 || live == (r->live_index >= 0))
		return;
	if (live) {
		r->live_index = (int)t->live->len;
		g_array_append_val(t->live, handle);
		add_to_order(t, handle);
		return;
	}
	last = g_array_index(t->live, int, t->live->len - 1);
	g_array_index(t->live, int, r->live_index) = last;
	member_row(t, last)->live_index = r->live_index;
	g_array_set_size(t->live, t->live->len - 1);
	r->live_index = -1;
}

static int
free_handle(const struct member_table *t)
{
	guint i;

	for (i = 0; i < t->rows->len; i++) {
		if (!g_ptr_array_index(t->rows, i))
			return (int)i;
	}
	return (int)t->rows->len;
}

int
member_add(struct member_table *t, const struct member_info *info,
    enum member_state state, uint32_t state_seq, int64_t now)
{
	struct row *r;
	int handle;

	if (g_hash_table_size(t->by_id) >= MEMBERS_MAX) {
		t->counts.table_full++;
		return MEMBER_NONE;
	}
	handle = free_handle(t);
	if ((guint)handle == t->rows->len)
		g_ptr_array_add(t->rows, NULL);
	r = g_new0(struct row, 1);
	r->m.info = *info;
	r->m.state_seq = state_seq;
	r->m.state = MEMBER_ALIVE;
	r->m.state_since = now;
	r->live_index = -1;
	g_ptr_array_index(t->rows, (guint)handle) = r;
	r->handle = handle;
	g_hash_table_insert(t->by_id, &r->m.info.id, r);
	set_live(t, handle, 1);
	if (handle == 0)
		return 0;
	t->ops->event(t->ctx, handle, MEMBER_EVENT_JOINED);
	if (state != MEMBER_ALIVE)
		member_set_state(t, handle, state, state_seq, now);
	return handle;
}

static void
remove_handle(GArray *list, int handle)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		if (g_array_index(list, int, i) == handle) {
			g_array_remove_index_fast(list, i);
			return;
		}
	}
}

void
member_forget(struct member_table *t, int handle)
{
	struct row *r = member_row(t, handle);

	t->ops->event(t->ctx, handle, MEMBER_EVENT_FORGOTTEN);
	set_live(t, handle, 0);
	remove_handle(t->queue, handle);
	remove_handle(t->suspects, handle);
	g_hash_table_remove(t->by_id, &r->m.info.id);
	g_ptr_array_index(t->rows, (guint)handle) = NULL;
	g_free(r);
}

double
member_log10_size(const struct member_table *t)
{
	return MAX(1.0, log10((double)t->live->len + 1));
}

static void
start_suspicion(struct member_table *t, int handle, int64_t now)
{
	struct row *r = member_row(t, handle);
	double periods = t->limits.suspicion_mult * member_log10_size(t);

	int64_t time = (int64_t)(periods * (double)t->limits.probe_period);

	time *= 1 + t->health;
	r->dead_at = now + time;
	r->check_at = now + time / SUSPICION_PARTS;
	g_array_append_val(t->suspects, handle);
}

void
member_set_state(struct member_table *t, int handle, enum member_state state,
    uint32_t state_seq, int64_t now)
{
	static const enum member_event events[] = { MEMBER_EVENT_ALIVE,
		MEMBER_EVENT_SUSPECTED, MEMBER_EVENT_DEAD, MEMBER_EVENT_LEFT };
	struct row *r = member_row(t, handle);
	enum member_state before = r->m.state;

	r->m.state_seq = state_seq;
	if (state == before)
		return;
	r->m.state = state;
	r->m.state_since = now;
	if (before == MEMBER_SUSPECT)
		remove_handle(t->suspects, handle);
	if (state == MEMBER_SUSPECT)
		start_suspicion(t, handle, now);
	set_live(t, handle, is_live(state));
	t->counts.suspected += state == MEMBER_SUSPECT;
	t->counts.died += state == MEMBER_DEAD;
	t->ops->event(t->ctx, handle, events[state]);
}

void
member_confirm(struct member_table *t, int handle)
{
	struct row *r = member_row(t, handle);

	if (r->m.confirmed)
		return;
	r->m.confirmed = 1;
	t->ops->event(t->ctx, handle, MEMBER_EVENT_CONFIRMED);
}
