#include "platform.h"

#define CHANGES_MAX 4096 /* kept; the oldest are discarded */

static void
change_free(void *p)
{
	struct change *c = p;

	g_free(c->key);
	g_free(c->value);
	g_free(c);
}

void
past_note(struct store *s, const char *key, uint64_t store_version, int64_t now)
{
	const struct event *o = store_get(s, key);
	struct change *c = g_new0(struct change, 1);

	c->at = now;
	c->store_version = store_version;
	c->key = g_strdup(key);
	c->value = o ? g_strdup(o->value) : NULL;
	c->version = o ? o->version : 0;
	g_queue_push_tail(&s->changes, c);
	if (g_queue_get_length(&s->changes) > CHANGES_MAX)
		change_free(g_queue_pop_head(&s->changes));
}

static void
copy_object(struct store *past, const char *key, const char *value,
    uint64_t version)
{
	struct event *o;

	g_hash_table_remove(past->objects, key);
	if (!value)
		return;
	o = store_event_new(key, value, version);
	g_hash_table_insert(past->objects, o->key, o);
}

void
past_view(const struct store *s, int64_t at, struct store *past)
{
	GHashTableIter it;
	void *p;
	GList *l;

	store_init(past);
	past->version = s->version;
	g_hash_table_iter_init(&it, s->objects);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct event *o = p;

		copy_object(past, o->key, o->value, o->version);
	}
	for (l = s->changes.tail; l; l = l->prev) {
		const struct change *c = l->data;

		if (c->at <= at)
			break;
		copy_object(past, c->key, c->value, c->version);
		past->version = c->store_version;
	}
}

void
past_clear(struct store *past)
{
	g_hash_table_destroy(past->objects);
}
