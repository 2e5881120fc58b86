#include <string.h>

#include "json.h"
#include "objects.h"
#include "platform_impl.h"

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
		if (object_read(j, json_item(j, list, i),
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
