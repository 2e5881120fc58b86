#include "json.h"

#include <string.h>

/* Takes the page as it was read; 0 or -1. */
static int
open_whole(struct json_list *l, const char *key, struct kq_error *e)
{
	int root = json_root(l->doc);

	if (json_check_type(l->doc, root, JSON_OBJECT, e) == -1 ||
	    json_require(l->doc, root, key, e) == JSON_NONE ||
	    json_get_array(l->doc, root, key, &l->list, e) != 1)
		return -1;
	l->count = json_count(l->doc, l->list);
	return 0;
}

/* Splits a page that can't be read as a whole; 0 or -1. */
static int
open_split(struct json_list *l, struct json_span page, const char *key,
    const char *const *others)
{
	struct json_span list, name, item;
	struct json_scan s;
	GString *rest;
	int r;

	if (!json_scan_find(page, key, &list) || json_scan_start(&s, list) ||
	    s.is_object)
		return -1;
	l->part = g_array_new(FALSE, FALSE, sizeof item);
	while ((r = json_scan_next(&s, &name, &item)) == 1)
		g_array_append_val(l->part, item);
	l->count = (int)l->part->len;
	rest = g_string_new(NULL);
	json_append_readable(rest, page, others);
	l->doc = json_read(rest->str, rest->len, NULL);
	g_string_free(rest, TRUE);
	return r || !l->doc ? -1 : 0;
}

int
json_list_open(struct json_list *l, const char *text, size_t n, const char *key,
    const char *const *others, struct kq_error *e)
{
	struct kq_error why = { 0 };
	int r;

	memset(l, 0, sizeof *l);
	l->doc = json_read(text, n, &why);
	if (l->doc) {
		r = open_whole(l, key, e);
	} else {
		r = open_split(l, (struct json_span){ text, n }, key, others);
		if (r && e)
			*e = why;
	}
	if (r)
		json_list_close(l);
	return r;
}

struct json *
json_list_item(struct json_list *l, int i, int *node, struct json_span *raw,
    struct kq_error *e)
{
	struct json *j;

	if (!l->part) {
		*node = json_item(l->doc, l->list, i);
		return l->doc;
	}
	*raw = g_array_index(l->part, struct json_span, i);
	j = json_read(raw->text, raw->n, e);
	*node = j ? json_root(j) : JSON_NONE;
	return j;
}

void
json_list_item_done(struct json_list *l, struct json *j)
{
	if (j != l->doc)
		json_free(j);
}

void
json_list_close(struct json_list *l)
{
	json_free(l->doc);
	if (l->part)
		g_array_free(l->part, TRUE);
	memset(l, 0, sizeof *l);
}
