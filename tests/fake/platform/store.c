#include "platform.h"

#include <string.h>
#include <yajl/yajl_gen.h>

#include "io.h"

void
store_event_free(void *p)
{
	struct event *v = p;

	g_free(v->key);
	g_free(v->value);
	g_free(v);
}

struct event *
store_event_new(const char *key, const char *value, uint64_t version)
{
	struct event *v = g_new0(struct event, 1);

	v->key = g_strdup(key);
	v->value = g_strdup(value);
	v->version = version;
	return v;
}

void
store_init(struct store *s)
{
	memset(s, 0, sizeof *s);
	s->objects = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
	    store_event_free);
	g_queue_init(&s->events);
	g_queue_init(&s->changes);
}

const struct event *
store_get(const struct store *s, const char *key)
{
	return g_hash_table_lookup(s->objects, key);
}

static void
set_object(struct store *s, const char *key, const char *value,
    uint64_t version)
{
	struct event *o;

	g_hash_table_remove(s->objects, key);
	if (!value)
		return;
	o = store_event_new(key, value, version);
	g_hash_table_insert(s->objects, o->key, o);
}

uint64_t
store_put(struct store *s, const char *key, const char *value)
{
	struct event *old;

	past_note(s, key, s->version, io_clock());
	s->version++;
	g_queue_push_tail(&s->events, store_event_new(key, value, s->version));
	if (g_queue_get_length(&s->events) > EVENTS_MAX) {
		old = g_queue_pop_head(&s->events);
		s->dropped_version = old->version;
		store_event_free(old);
	}
	set_object(s, key, value, s->version);
	return s->version;
}

static const struct event *
last_event(const struct store *s, const char *key)
{
	const struct event *v;
	GList *l;

	for (l = s->events.tail; l; l = l->prev) {
		v = l->data;
		if (strcmp(v->key, key) == 0)
			return v;
	}
	return NULL;
}

void
store_rollback(struct store *s, uint64_t by)
{
	const struct event *previous;
	struct event *v;

	for (; by && s->events.tail; by--) {
		v = g_queue_pop_tail(&s->events);
		past_note(s, v->key, s->version, io_clock());
		previous = last_event(s, v->key);
		set_object(s, v->key, previous ? previous->value : NULL,
		    previous ? previous->version : 0);
		s->version = v->version - 1;
		store_event_free(v);
	}
}

void
store_forget_events(struct store *s)
{
	g_queue_clear_full(&s->events, store_event_free);
	s->dropped_version = s->version;
}

int
store_covers(const struct store *s, uint64_t from)
{
	return from >= s->dropped_version && from <= s->version;
}

static void
gen_str(yajl_gen g, const char *t)
{
	yajl_gen_string(g, (const unsigned char *)t, strlen(t));
}

static void
gen_uint(yajl_gen g, const char *name, uint64_t n)
{
	char b[24];

	gen_str(g, name);
	yajl_gen_number(g, b, g_snprintf(b, sizeof b, "%" G_GUINT64_FORMAT, n));
}

static void
gen_event(yajl_gen g, const struct event *v)
{
	const char *slash = strchr(v->key, '/');

	yajl_gen_map_open(g);
	gen_str(g, "kind");
	yajl_gen_string(g, (const unsigned char *)v->key,
	    (size_t)(slash - v->key));
	gen_str(g, "name");
	gen_str(g, slash + 1);
	gen_uint(g, "version", v->version);
	gen_str(g, "value");
	if (v->value)
		yajl_gen_number(g, v->value, strlen(v->value));
	else
		yajl_gen_null(g);
	yajl_gen_map_close(g);
}

static char *
gen_close(yajl_gen g)
{
	const unsigned char *text;
	size_t n;
	char *r;

	yajl_gen_array_close(g);
	yajl_gen_map_close(g);
	yajl_gen_get_buf(g, &text, &n);
	r = g_strndup((const char *)text, n);
	yajl_gen_free(g);
	return r;
}

static yajl_gen
gen_open(uint64_t version, const char *list)
{
	yajl_gen g = yajl_gen_alloc(NULL);

	yajl_gen_map_open(g);
	gen_uint(g, "version", version);
	gen_str(g, list);
	yajl_gen_array_open(g);
	return g;
}

char *
store_list(const struct store *s)
{
	yajl_gen g = gen_open(s->version, "items");
	GHashTableIter it;
	void *o;

	g_hash_table_iter_init(&it, s->objects);
	while (g_hash_table_iter_next(&it, NULL, &o))
		gen_event(g, o);
	return gen_close(g);
}

char *
store_events(const struct store *s, uint64_t from, int replay)
{
	const struct event *last = s->events.tail ? s->events.tail->data : NULL;
	uint64_t version = s->version;
	const struct event *v;
	yajl_gen g;
	GList *l;
	int n = 0;

	if (replay && last && last->version <= from) {
		/* no event after @from: the answer's version is that of the
		 * last event it repeats */
		l = g_queue_peek_nth_link((GQueue *)&s->events,
		    MIN(REPLAY_MAX, s->events.length) - 1);
		version = ((const struct event *)l->data)->version;
	}
	g = gen_open(version, "events");
	for (l = s->events.head; l; l = l->next, n++) {
		v = l->data;
		if (v->version > from || (replay && n < REPLAY_MAX))
			gen_event(g, v);
	}
	return gen_close(g);
}
