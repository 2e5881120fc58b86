#include <string.h>

#include "json.h"
#include "objects.h"
#include "store_form.h"

#define STATUS_PRECONDITION_FAILED 412

static void
object_path(struct store_request *r, int kind, const char *name)
{
	char *escaped = g_uri_escape_string(name, NULL, FALSE);

	r->path = g_strdup_printf("/v1/objects/%s/%s", config_kind_name(kind),
	    escaped);
	g_free(escaped);
}

static void
own_list(struct store_request *r, int feed, const char *after, int stale)
{
	r->method = "GET";
	r->path = g_strdup("/v1/objects");
}

static void
own_watch(struct store_request *r, int feed, uint64_t from, int wait_ms)
{
	r->method = "GET";
	r->path =
	    g_strdup_printf("/v1/watch?from=%" G_GUINT64_FORMAT "&wait_ms=%d",
		from, wait_ms);
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

/* Order and status are one value here. */
static void
own_put_status(struct store_request *r, const char *name,
    const struct rollout_object *o, uint64_t version)
{
	GString *value = g_string_new(NULL);

	rollout_object_write(value, o);
	own_put(r, CONFIG_ROLLOUT, name, value->str, version);
	g_string_free(value, TRUE);
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

/* Reads an object of a page, or as much of one that can't be read as tells
 * which one it is; 0, or -1 if it can't be used. */
static int
read_object(struct json_list *l, int i, struct config_object *o,
    struct kq_error *e)
{
	static const char *const keys[] = { "kind", "name", "version", NULL };
	struct json_span raw;
	GString *t;
	int node, bad;
	struct json *j = json_list_item(l, i, &node, &raw, e);

	if (j) {
		bad = object_read(j, node, o, e);
		json_list_item_done(l, j);
		return bad;
	}
	t = g_string_new(NULL);
	json_append_readable(t, raw, keys);
	j = json_read(t->str, t->len, NULL);
	g_string_free(t, TRUE);
	if (j && object_read(j, json_root(j), o, NULL))
		o->version = 0;
	json_free(j);
	return -1;
}

static void
add_objects(struct store_page *p, struct json_list *l, struct kq_error *e)
{
	struct config_batch *b = p->batch;
	int i;

	b->object = g_new0(struct config_object, l->count + 1);
	for (i = 0; i < l->count; i++) {
		struct config_object *o = &b->object[b->nobject];

		memset(o, 0, sizeof *o);
		o->invalid = read_object(l, i, o, p->invalid ? NULL : e) != 0;
		if (o->invalid) {
			p->invalid++;
			p->invalid_version =
			    MAX(p->invalid_version, o->version);
		}
		/* Objects of an unknown kind are skipped. */
		if (o->kind >= 0 && (!o->invalid || o->version))
			b->nobject++;
		else if (o->value)
			g_bytes_unref(o->value);
	}
	qsort(b->object, b->nobject, sizeof *b->object, by_version);
}

static int
own_read_page(struct store_page *p, int feed, int is_list, const char *text,
    size_t n, struct kq_error *e)
{
	static const char *const others[] = { "version", NULL };
	struct config_batch *b = p->batch;
	struct json_list l;
	int64_t version = 0;

	if (json_list_open(&l, text, n, is_list ? "items" : "events", others,
		e))
		return -1;
	if (json_require(l.doc, json_root(l.doc), "version", e) == JSON_NONE ||
	    json_get_int(l.doc, json_root(l.doc), "version", 0, INT64_MAX,
		&version, e) != 1) {
		json_list_close(&l);
		return -1;
	}
	add_objects(p, &l, e);
	json_list_close(&l);
	b->upto = version;
	b->complete = version;
	b->full = is_list;
	return 0;
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
	.write_status = own_put_status,
	.read_page = own_read_page,
	.read_object_answer = own_read_written,
};
