#include "core/once/table.h"

#include <string.h>

static guint
id_hash(gconstpointer p)
{
	const struct once_id *id = p;
	guint h;

	memcpy(&h, id->random + ONCE_RANDOM_LEN - sizeof h, sizeof h);
	return h ^ (guint)id->created_ms;
}

static gboolean
id_equal(gconstpointer p, gconstpointer q)
{
	const struct once_id *a = p, *b = q;

	return a->created_ms == b->created_ms &&
	       memcmp(a->random, b->random, ONCE_RANDOM_LEN) == 0;
}

struct once *
once_new(uint64_t incarnation, const struct once_limits *limits,
    once_reply_fn *reply, void *ctx)
{
	struct once *o = g_new0(struct once, 1);

	o->incarnation = incarnation;
	o->limits = *limits;
	o->reply = reply;
	o->ctx = ctx;
	o->entry = g_new0(struct entry, limits->entries);
	o->heap = g_new0(uint32_t, limits->entries);
	o->waiter = g_new0(struct waiter, limits->waiters);
	o->free_slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	o->by_id = g_hash_table_new(id_hash, id_equal);
	return o;
}

void
once_free(struct once *o)
{
	uint32_t i;

	if (!o)
		return;
	for (i = 0; i < o->nentry; i++)
		once_stored_free(o, &o->entry[i]);
	g_hash_table_destroy(o->by_id);
	g_array_free(o->free_slots, TRUE);
	g_free(o->waiter);
	g_free(o->heap);
	g_free(o->entry);
	g_free(o);
}

struct entry *
once_find_entry(struct once *o, const struct once_id *id)
{
	return g_hash_table_lookup(o->by_id, id);
}

static void
raise_horizon(struct once *o, uint64_t created_ms)
{
	o->stats.horizon = MAX(o->stats.horizon, created_ms);
	o->stats.ids_evicted++;
}

static void
evict_id(struct once *o)
{
	uint32_t slot = once_heap_pop(o);
	struct entry *e = &o->entry[slot];

	raise_horizon(o, e->id.created_ms);
	once_stored_free(o, e);
	g_hash_table_remove(o->by_id, &e->id);
	g_array_append_val(o->free_slots, slot);
	o->stats.entries--;
}

static uint32_t
alloc_slot(struct once *o)
{
	uint32_t slot;

	if (!o->free_slots->len)
		return o->nentry++;
	slot = g_array_index(o->free_slots, uint32_t, o->free_slots->len - 1);
	g_array_set_size(o->free_slots, o->free_slots->len - 1);
	return slot;
}

struct entry *
once_add_entry(struct once *o, const struct once_id *id)
{
	struct entry *e;
	uint32_t slot;

	if (o->stats.entries == o->limits.entries) {
		if (!o->nheap) {
			raise_horizon(o, id->created_ms);
			return NULL;
		}
		evict_id(o);
	}
	slot = alloc_slot(o);
	e = &o->entry[slot];
	e->id = *id;
	e->generation++;
	e->state = ENTRY_PENDING;
	g_hash_table_insert(o->by_id, &e->id, e);
	o->stats.entries++;
	o->stats.in_progress++;
	return e;
}

struct entry *
once_active_entry(struct once *o, uint64_t handle)
{
	uint32_t slot = (uint32_t)handle - 1;
	struct entry *e;

	if (slot >= o->nentry)
		return NULL;
	e = &o->entry[slot];
	if (e->generation != handle >> 32 || e->state > ENTRY_SENT)
		return NULL;
	return e;
}

void
once_stats(const struct once *o, struct once_stats *out)
{
	*out = o->stats;
}
