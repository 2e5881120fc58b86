#include "objects.h"

int
object_read(struct json *j, int node, struct config_object *o,
    struct kq_error *e)
{
	char kind[CONFIG_NAME_MAX];
	int64_t version = 0;
	GString *text;
	int value;

	if (json_check_type(j, node, JSON_OBJECT, e))
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
	json_append_node(text, j, value);
	o->value = g_string_free_to_bytes(text);
	return 0;
}
