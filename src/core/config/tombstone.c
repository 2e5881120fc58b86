#include "core/config/table_impl.h"

/* Trimming leaves CONFIG_TOMBSTONES_MAX less one part in this many. */
#define TRIM_DIVISOR 4

static void
remove_tombstone(struct config_table *t, struct config_entry *n)
{
	t->removals_after = MAX(t->removals_after, n->object.version);
	t->ntombstone--;
	g_hash_table_remove(t->by_name, &n->object);
	g_sequence_remove(n->position);
}

void
config_trim_tombstones(struct config_table *t)
{
	GSequenceIter *i = g_sequence_get_begin_iter(t->by_version);
	int keep = CONFIG_TOMBSTONES_MAX - CONFIG_TOMBSTONES_MAX / TRIM_DIVISOR;

	if (t->ntombstone <= CONFIG_TOMBSTONES_MAX)
		return;
	while (t->ntombstone > keep && !g_sequence_iter_is_end(i)) {
		struct config_entry *n = g_sequence_get(i);

		i = g_sequence_iter_next(i);
		if (n->object.removed)
			remove_tombstone(t, n);
	}
}

static int
is_listed(const struct config_table *t, const struct config_entry *n,
    uint32_t kinds)
{
	return kinds ? n->listed_in == t->list_number
		     : n->paged_in == t->batch_number;
}

/* Objects older than @version that the last list of some kinds, or the last
 * batch if @kinds is 0, did not name. */
static GPtrArray *
find_unlisted(struct config_table *t, uint64_t version, uint32_t kinds)
{
	GPtrArray *unlisted = g_ptr_array_new();
	GHashTableIter i;
	gpointer p;

	g_hash_table_iter_init(&i, t->by_name);
	while (g_hash_table_iter_next(&i, NULL, &p)) {
		const struct config_entry *n = p;

		if ((!kinds || kinds >> n->object.kind & 1) &&
		    !n->object.removed && !is_listed(t, n, kinds) &&
		    n->object.version < version)
			g_ptr_array_add(unlisted, p);
	}
	return unlisted;
}

void
config_remove_unlisted(struct config_table *t, uint64_t version, uint32_t kinds)
{
	GPtrArray *unlisted = find_unlisted(t, version, kinds);
	guint k;

	for (k = 0; k < unlisted->len; k++) {
		const struct config_entry *n = g_ptr_array_index(unlisted, k);
		struct config_object o = n->object;

		o.version = version;
		o.removed = 1;
		config_entry_put(t, &o);
		t->counts.updated++;
	}
	g_ptr_array_free(unlisted, TRUE);
}

/* The new version lets the objects reach members that pull what is newer than
 * the era before. Objects without a version stay so: a stale list may show what
 * was removed long before the restore. */
void
config_keep_unlisted(struct config_table *t, uint64_t version, uint32_t kinds)
{
	GPtrArray *unlisted = find_unlisted(t, version, kinds);
	guint k;

	for (k = 0; k < unlisted->len; k++) {
		struct config_entry *n = g_ptr_array_index(unlisted, k);

		if (n->object.version)
			config_keep_object(t, n, version);
	}
	g_ptr_array_free(unlisted, TRUE);
}
