#include <string.h>

#include "json.h"
#include "platform_impl.h"

static int
read_object(struct json *j, int node, struct config_object *o,
    struct kq_error *e)
{
	char kind[CONFIG_NAME_MAX];
	int64_t version = 0;
	GString *text;
	int value;

	if (json_expect(j, node, JSON_OBJECT, e))
		return -1;
	if (json_get_string(j, node, "kind", kind, sizeof kind, e) != 1 ||
	    json_get_string(j, node, "name", o->name, sizeof o->name, e) != 1 ||
	    json_get_int(j, node, "version", 1, INT64_MAX, &version, e) != 1)
		return json_fail(j, node, e, JSON_E_MISSING,
		    "an object needs kind, name and version");
	o->kind = config_kind_of(kind);
	o->version = version;
	value = json_get(j, node, "value");
	o->removed = value == JSON_NONE || json_type(j, value) == JSON_NULL;
	if (o->removed)
		return 0;
	text = g_string_new(NULL);
	json_append(text, j, value);
	o->value = g_string_free_to_bytes(text);
	return 0;
}

static int
by_version(const void *a, const void *b)
{
	const struct config_object *x = a, *y = b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static int
read_objects(struct json *j, int list, struct config_batch *b,
    struct kq_error *e)
{
	int i, n = json_count(j, list);

	b->object = g_new0(struct config_object, n + 1);
	for (i = 0; i < n; i++) {
		if (read_object(j, json_item(j, list, i),
			&b->object[b->nobject], e))
			return -1;
		/* Kinds that are not ours pass by. */
		if (b->object[b->nobject].kind >= 0)
			b->nobject++;
		else if (b->object[b->nobject].value)
			g_bytes_unref(b->object[b->nobject].value);
	}
	qsort(b->object, b->nobject, sizeof *b->object, by_version);
	return 0;
}

struct config_batch *
platform_read_batch(const char *text, size_t n, uint64_t after, int full,
    struct kq_error *e)
{
	struct json *j = json_read(text, n, e);
	struct config_batch *b;
	int64_t version = 0;
	int list;

	if (!j)
		return NULL;
	b = g_new0(struct config_batch, 1);
	list = json_get(j, json_root(j), full ? "items" : "events");
	if (list == JSON_NONE ||
	    json_get_int(j, json_root(j), "version", 0, INT64_MAX, &version,
		e) != 1 ||
	    read_objects(j, list, b, e)) {
		config_batch_clear(b);
		g_free(b);
		json_free(j);
		return NULL;
	}
	json_free(j);
	b->source = CONFIG_SOURCE_PLATFORM;
	b->after = after;
	b->upto = version;
	b->complete = version;
	b->full = full;
	return b;
}
