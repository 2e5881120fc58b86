#include "core/config/table_impl.h"

#include <string.h>

/* Finds the first entry whose version is above @after. */
static GSequenceIter *
first_after(const struct config_table *t, uint64_t after)
{
	struct config_entry key = { .object = { .version = after + 1,
					.kind = -1 } };

	if (after == UINT64_MAX)
		return g_sequence_get_end_iter(t->by_version);
	return g_sequence_search(t->by_version, &key, config_entry_compare,
	    NULL);
}

static size_t
object_bytes(const struct config_object *o)
{
	return sizeof o->version + strlen(o->name) +
	       (o->value ? g_bytes_get_size(o->value) : 0);
}

static void
append_object(GArray *list, const struct config_object *o)
{
	struct config_object copy = *o;

	if (copy.value)
		g_bytes_ref(copy.value);
	g_array_append_val(list, copy);
}

/* Fills in everything but the objects. A pull that begins before
 * removals_after, or with nothing that has a version, gets the first page of a
 * full list. */
static void
begin_page(const struct config_table *t, uint64_t source,
    const struct config_pull *pull, struct config_batch *b)
{
	memset(b, 0, sizeof *b);
	b->source = source;
	b->complete = t->complete;
	b->full = pull->full;
	if (!pull->full && (!pull->after || pull->after < t->removals_after)) {
		b->full = 1;
		return;
	}
	b->batch_id = pull->batch_id;
	b->after = b->upto = pull->after;
}

void
config_read_page(const struct config_table *t, uint64_t source,
    const struct config_pull *pull, size_t bytes, struct config_batch *b)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct config_object));
	GSequenceIter *i;
	size_t used = 0;

	begin_page(t, source, pull, b);
	i = first_after(t, b->after);
	for (; !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const struct config_entry *n = g_sequence_get(i);

		used += object_bytes(&n->object);
		if ((used > bytes || list->len >= CONFIG_PAGE_OBJECTS) &&
		    list->len > 0 && n->object.version != b->upto) {
			b->more = 1;
			break;
		}
		append_object(list, &n->object);
		b->upto = n->object.version;
	}
	if (!b->more)
		b->upto = MAX(b->upto, b->complete);
	b->nobject = (int)list->len;
	b->object = (struct config_object *)(void *)g_array_free(list, FALSE);
}

void
config_batch_clear(struct config_batch *b)
{
	int i;

	for (i = 0; i < b->nobject; i++) {
		if (b->object[i].value)
			g_bytes_unref(b->object[i].value);
	}
	g_free(b->object);
	memset(b, 0, sizeof *b);
}
