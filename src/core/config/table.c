#include "core/config/table_impl.h"

#include <string.h>

static guint
name_hash(gconstpointer p)
{
	const struct config_object *o = p;

	return g_str_hash(o->name) * CONFIG_KINDS + (guint)o->kind;
}

static gboolean
name_equal(gconstpointer p, gconstpointer q)
{
	const struct config_object *a = p, *b = q;

	return a->kind == b->kind && strcmp(a->name, b->name) == 0;
}

gint
config_entry_compare(gconstpointer p, gconstpointer q, gpointer unused)
{
	const struct config_object *a =
	    &((const struct config_entry *)p)->object;
	const struct config_object *b =
	    &((const struct config_entry *)q)->object;

	(void)unused;
	if (a->version != b->version)
		return a->version < b->version ? -1 : 1;
	if (a->kind != b->kind)
		return a->kind - b->kind;
	return strcmp(a->name, b->name);
}

static void
entry_free(gpointer p)
{
	struct config_entry *n = p;

	if (n->object.value)
		g_bytes_unref(n->object.value);
	g_free(n);
}

struct config_table *
config_new(config_changed_fn *changed, void *ctx)
{
	struct config_table *t = g_new0(struct config_table, 1);

	t->by_name = g_hash_table_new(name_hash, name_equal);
	t->by_version = g_sequence_new(entry_free);
	t->changed = changed;
	t->ctx = ctx;
	return t;
}

void
config_free(struct config_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->by_name);
	g_sequence_free(t->by_version);
	g_free(t);
}

struct config_entry *
config_entry_find(const struct config_table *t, int kind, const char *name)
{
	struct config_object o = { .kind = kind };

	g_strlcpy(o.name, name, sizeof o.name);
	return g_hash_table_lookup(t->by_name, &o);
}

void
config_entry_put(struct config_table *t, const struct config_object *o)
{
	struct config_entry *n = config_entry_find(t, o->kind, o->name);
	GBytes *value = o->removed ? NULL : g_bytes_ref(o->value);

	if (!n) {
		n = g_new0(struct config_entry, 1);
		n->object.kind = o->kind;
		g_strlcpy(n->object.name, o->name, sizeof n->object.name);
		g_hash_table_insert(t->by_name, &n->object, n);
	}
	if (n->object.value)
		g_bytes_unref(n->object.value);
	t->ntombstone += (o->removed != 0) - (n->object.removed != 0);
	n->object.value = value;
	n->object.removed = o->removed != 0;
	n->object.version = o->version;
	n->object.serial = o->removed ? 0 : o->serial;
	n->listed_in = 0;
	n->paged_in = 0;
	t->digest -= n->digest;
	n->digest = config_object_digest(&n->object);
	t->digest += n->digest;
	if (n->position)
		g_sequence_sort_changed(n->position, config_entry_compare,
		    NULL);
	else
		n->position = g_sequence_insert_sorted(t->by_version, n,
		    config_entry_compare, NULL);
	if (t->changed)
		t->changed(t->ctx, &n->object);
}

void
config_keep_object(struct config_table *t, struct config_entry *n,
    uint64_t version)
{
	struct config_object kept = n->object;
	uint64_t listed_in = n->listed_in, paged_in = n->paged_in;

	if (version <= kept.version)
		return;
	kept.version = version;
	config_entry_put(t, &kept);
	n->listed_in = listed_in;
	n->paged_in = paged_in;
}

uint64_t
config_complete_version(const struct config_table *t)
{
	return t->complete;
}

uint64_t
config_highest_version(const struct config_table *t)
{
	GSequenceIter *end = g_sequence_get_end_iter(t->by_version);
	const struct config_entry *n;

	if (g_sequence_iter_is_begin(end))
		return 0;
	n = g_sequence_get(g_sequence_iter_prev(end));
	return n->object.version;
}

void
config_next_pull(const struct config_table *t, uint64_t source,
    struct config_pull *pull)
{
	const struct config_transfer *c = &t->transfer;

	memset(pull, 0, sizeof *pull);
	pull->after = t->complete;
	if (!c->active || c->source != source)
		return;
	pull->after = c->cursor;
	pull->full = c->full;
	pull->batch_id = c->batch_id;
}

const struct config_object *
config_find(const struct config_table *t, int kind, const char *name)
{
	const struct config_entry *n = config_entry_find(t, kind, name);

	return n ? &n->object : NULL;
}

void
config_counts(const struct config_table *t, struct config_counts *counts)
{
	*counts = t->counts;
}
