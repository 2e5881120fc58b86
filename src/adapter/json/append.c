#include <math.h>

#include "json_impl.h"

/* Appends the shortest text that reads as the same number. */
static void
append_number(GString *s, double v)
{
	char b[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_formatd(b, sizeof b, "%.15g", v);
	if (g_ascii_strtod(b, NULL) != v)
		g_ascii_dtostr(b, sizeof b, v);
	g_string_append(s, b);
}

static void
append_children(GString *s, const struct json *j, int node)
{
	int object = json_type(j, node) == JSON_OBJECT;
	int i, n = json_count(j, node), child;

	g_string_append_c(s, object ? '{' : '[');
	for (i = 0; i < n; i++) {
		child = json_item(j, node, i);
		if (i)
			g_string_append_c(s, ',');
		if (object) {
			json_append_string(s, json_key(j, child));
			g_string_append_c(s, ':');
		}
		json_append_node(s, j, child);
	}
	g_string_append_c(s, object ? '}' : ']');
}

void
json_append_node(GString *s, const struct json *j, int node)
{
	const struct json_node *v;

	if (node == JSON_NONE) {
		g_string_append(s, "null");
		return;
	}
	v = json_node_at(j, node);
	switch (v->type) {
	case JSON_NULL:
		g_string_append(s, "null");
		return;
	case JSON_BOOL:
		g_string_append(s, v->integer ? "true" : "false");
		return;
	case JSON_INT:
		g_string_append_printf(s, "%" G_GINT64_FORMAT, v->integer);
		return;
	case JSON_REAL:
		append_number(s, v->real);
		return;
	case JSON_STRING:
		json_append_string(s, v->text);
		return;
	default:
		append_children(s, j, node);
	}
}
