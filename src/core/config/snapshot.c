#include "core/config/table_impl.h"

#include <stdlib.h>
#include <string.h>

static int
by_name(const void *p, const void *q)
{
	const struct config_object *a = p, *b = q;

	return a->kind != b->kind ? a->kind - b->kind
				  : strcmp(a->name, b->name);
}

struct config_snapshot *
config_snapshot_new(const struct config_table *t)
{
	struct config_snapshot *s = g_new0(struct config_snapshot, 1);
	GSequenceIter *i = g_sequence_get_begin_iter(t->by_version);

	s->complete = t->complete;
	s->object =
	    g_new(struct config_object, g_hash_table_size(t->by_name) + 1);
	for (; !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const struct config_entry *n = g_sequence_get(i);

		if (n->object.removed)
			continue;
		s->object[s->nobject] = n->object;
		g_bytes_ref(n->object.value);
		s->nobject++;
	}
	qsort(s->object, (size_t)s->nobject, sizeof *s->object, by_name);
	return s;
}

void
config_snapshot_free(struct config_snapshot *s)
{
	int i;

	if (!s)
		return;
	for (i = 0; i < s->nobject; i++)
		g_bytes_unref(s->object[i].value);
	g_free(s->object);
	g_free(s);
}

const struct config_object *
config_snapshot_find(const struct config_snapshot *s, int kind,
    const char *name)
{
	struct config_object key = { .kind = kind };

	g_strlcpy(key.name, name, sizeof key.name);
	return bsearch(&key, s->object, (size_t)s->nobject, sizeof *s->object,
	    by_name);
}
