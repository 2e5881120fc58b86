#include "adapter/json/json_impl.h"

#include <string.h>

struct json_node *
json_node_at(const struct json *j, int node)
{
	return &g_array_index(j->node, struct json_node, node);
}

int
json_root(const struct json *j)
{
	return j->node->len > 0 ? 0 : JSON_NONE;
}

enum json_type
json_type(const struct json *j, int node)
{
	return json_node_at(j, node)->type;
}

const char *
json_type_name(enum json_type type)
{
	static const char *const names[] = { "null", "true or false",
		"an integer", "a number", "a string", "an array", "an object" };

	return names[type];
}

int
json_count(const struct json *j, int node)
{
	return json_node_at(j, node)->count;
}

int
json_item(const struct json *j, int node, int i)
{
	const struct json_node *n = json_node_at(j, node);

	if (i < 0 || i >= n->count)
		return JSON_NONE;
	return g_array_index(j->child, int, n->first_child + i);
}

const char *
json_key(const struct json *j, int node)
{
	return json_node_at(j, node)->key;
}

const char *
json_text(const struct json *j, int node)
{
	return json_node_at(j, node)->text;
}

int
json_line(const struct json *j, int node)
{
	return json_node_at(j, node)->line;
}

int
json_column(const struct json *j, int node)
{
	return json_node_at(j, node)->column;
}
