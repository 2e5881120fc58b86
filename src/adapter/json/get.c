#include "adapter/json/json_impl.h"

#include <string.h>

int
json_get(struct json *j, int object, const char *key)
{
	struct json_lookup lookup = { object, key };
	int i, n;

	if (object == JSON_NONE || json_type(j, object) != JSON_OBJECT)
		return JSON_NONE;
	n = json_count(j, object);
	g_array_append_val(j->lookups, lookup);
	for (i = 0; i < n; i++) {
		int child = json_item(j, object, i);

		if (strcmp(json_key(j, child), key) == 0) {
			json_node_at(j, child)->used = 1;
			return child;
		}
	}
	return JSON_NONE;
}

int
json_require(struct json *j, int object, const char *key, struct kq_error *e)
{
	int node = json_get(j, object, key);

	if (node == JSON_NONE)
		json_fail(j, object, e, JSON_E_MISSING, "key \"%s\" is missing",
		    key);
	return node;
}

int
json_check_type(const struct json *j, int node, enum json_type type,
    struct kq_error *e)
{
	const struct json_node *n = json_node_at(j, node);

	if (n->type == type)
		return 0;
	if (type == JSON_REAL && n->type == JSON_INT)
		return 0;
	if (n->key)
		return json_fail(j, node, e, JSON_E_TYPE,
		    "\"%s\" must be %s, not %s", n->key, json_type_name(type),
		    json_type_name(n->type));
	return json_fail(j, node, e, JSON_E_TYPE, "must be %s, not %s",
	    json_type_name(type), json_type_name(n->type));
}

/* Looks a key up as json_get() does and checks its type. Returns 1, 0 if it is
 * absent, or -1. */
static int
get_typed(struct json *j, int object, const char *key, enum json_type type,
    int *node, struct kq_error *e)
{
	int found = json_get(j, object, key);

	if (found == JSON_NONE)
		return 0;
	if (json_check_type(j, found, type, e) == -1)
		return -1;
	*node = found;
	return 1;
}

int
json_get_object(struct json *j, int object, const char *key, int *node,
    struct kq_error *e)
{
	return get_typed(j, object, key, JSON_OBJECT, node, e);
}

int
json_get_array(struct json *j, int object, const char *key, int *node,
    struct kq_error *e)
{
	return get_typed(j, object, key, JSON_ARRAY, node, e);
}

int
json_get_bool(struct json *j, int object, const char *key, int *value,
    struct kq_error *e)
{
	int node, r = get_typed(j, object, key, JSON_BOOL, &node, e);

	if (r == 1)
		*value = (int)json_node_at(j, node)->integer;
	return r;
}

int
json_get_int(struct json *j, int object, const char *key, int64_t min,
    int64_t max, int64_t *value, struct kq_error *e)
{
	int64_t v;
	int node, r = get_typed(j, object, key, JSON_INT, &node, e);

	if (r != 1)
		return r;
	v = json_node_at(j, node)->integer;
	if (v < min || v > max)
		return json_fail(j, node, e, JSON_E_RANGE,
		    "\"%s\" must be from %" G_GINT64_FORMAT
		    " to %" G_GINT64_FORMAT,
		    key, min, max);
	*value = v;
	return 1;
}

int
json_get_real(struct json *j, int object, const char *key, double min,
    double max, double *value, struct kq_error *e)
{
	double v;
	int node, r = get_typed(j, object, key, JSON_REAL, &node, e);

	if (r != 1)
		return r;
	v = json_node_at(j, node)->real;
	if (v < min || v > max)
		return json_fail(j, node, e, JSON_E_RANGE,
		    "\"%s\" must be from %g to %g", key, min, max);
	*value = v;
	return 1;
}

int
json_get_string(struct json *j, int object, const char *key, char *value,
    size_t size, struct kq_error *e)
{
	const char *s;
	int node, r = get_typed(j, object, key, JSON_STRING, &node, e);

	if (r != 1)
		return r;
	s = json_text(j, node);
	if (!*s || strlen(s) >= size)
		return json_fail(j, node, e, JSON_E_RANGE,
		    "\"%s\" must have from 1 to %zu bytes", key, size - 1);
	g_strlcpy(value, s, size);
	return 1;
}
