#include <string.h>

#include "json.h"
#include "objects.h"
#include "store_form.h"

#define STATUS_PRECONDITION_FAILED 412

static void
object_path(struct store_request *r, int kind, const char *name)
{
	g_snprintf(r->path, sizeof r->path, "/v1/objects/%s/%s",
	    config_kind_name(kind), name);
}

static void
own_list(struct store_request *r, int feed, const char *after, int stale)
{
	r->method = "GET";
	g_strlcpy(r->path, "/v1/objects", sizeof r->path);
}

static void
own_watch(struct store_request *r, int feed, uint64_t from, int wait_ms)
{
	r->method = "GET";
	g_snprintf(r->path, sizeof r->path,
	    "/v1/watch?from=%" G_GUINT64_FORMAT "&wait_ms=%d", from, wait_ms);
}

static void
own_get(struct store_request *r, int kind, const char *name)
{
	r->method = "GET";
	object_path(r, kind, name);
}

static void
set_condition(struct store_request *r, uint64_t version)
{
	r->condition_name = version ? "If-Match" : "If-None-Match";
	if (version)
		g_snprintf(r->condition_value, sizeof r->condition_value,
		    "\"%" G_GUINT64_FORMAT "\"", version);
	else
		g_strlcpy(r->condition_value, "*", sizeof r->condition_value);
}

static void
own_put(struct store_request *r, int kind, const char *name, const char *value,
    uint64_t version)
{
	r->method = "PUT";
	object_path(r, kind, name);
	set_condition(r, version);
	g_string_append(r->body, value);
}

static void
own_remove(struct store_request *r, int kind, const char *name,
    uint64_t version)
{
	r->method = "DELETE";
	object_path(r, kind, name);
	set_condition(r, version);
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
		if (object_read(j, json_item(j, list, i),
			&b->object[b->nobject], e))
			return -1;
		/* Objects of an unknown kind are skipped. */
		if (b->object[b->nobject].kind >= 0)
			b->nobject++;
		else if (b->object[b->nobject].value)
			g_bytes_unref(b->object[b->nobject].value);
	}
	qsort(b->object, b->nobject, sizeof *b->object, by_version);
	return 0;
}

static int
own_read_page(struct store_page *p, int feed, int is_list, const char *text,
    size_t n, struct kq_error *e)
{
	struct json *j = json_read(text, n, e);
	struct config_batch *b = p->batch;
	int64_t version = 0;
	int list, bad;

	if (!j)
		return -1;
	list = json_get(j, json_root(j), is_list ? "items" : "events");
	bad = list == JSON_NONE ||
	      json_get_int(j, json_root(j), "version", 0, INT64_MAX, &version,
		  e) != 1 ||
	      read_objects(j, list, b, e);
	json_free(j);
	b->upto = version;
	b->complete = version;
	b->full = is_list;
	return bad ? -1 : 0;
}

static uint64_t
own_read_written(const char *etag, int kind, const char *text, size_t n,
    char **value)
{
	if (value)
		*value = g_strndup(text, n);
	return etag && *etag == '"' ? g_ascii_strtoull(etag + 1, NULL, 10) : 0;
}

const struct store_form store_form_own = {
	.nfeed = 1,
	.watched = { 1 },
	.conflict_status = STATUS_PRECONDITION_FAILED,
	.write_list = own_list,
	.write_watch = own_watch,
	.write_get = own_get,
	.write_put = own_put,
	.write_remove = own_remove,
	.read_page = own_read_page,
	.read_object_answer = own_read_written,
};
