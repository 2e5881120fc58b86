#ifndef KQ_JSON_IMPL_H
#define KQ_JSON_IMPL_H

#include <glib.h>

#include "json.h"

/** struct json_place - offset in the text with its line and column */
struct json_place {
	size_t offset;
	int line;
	int column;
};

/** struct json_node - one value; @first is its first child's index in the
 * document's child array */
struct json_node {
	enum json_type type;
	int parent;
	const char *key;
	int key_line;
	int key_column;
	int line;
	int column;
	int used;
	int first;
	int count;
	int64_t integer;
	double real;
	const char *text;
};

/** struct json_asked - a key that a getter asked an object for */
struct json_asked {
	int object;
	const char *key;
};

struct json {
	GArray *node; /* struct json_node, a parent before its children */
	GArray *child; /* int */
	GArray *asked; /* struct json_asked */
	GStringChunk *strings;
};

/** json_node_at() - row of a handle */
struct json_node *json_node_at(const struct json *, int node);
/** json_place_move() - move a place forward to an offset */
void json_place_move(struct json_place *, const char *text, size_t offset);
/** json_skip_blank() - offset after white space and whole comments */
size_t json_skip_blank(const char *text, size_t from, size_t end);
/** json_escapes_bad() - offset of the first \u escape in a raw string that
 * names no character, or @end if there is none */
size_t json_escapes_bad(const char *text, size_t from, size_t end);
/** json_error_at() - set an error with its place; returns -1 */
int json_error_at(struct kq_error *, int code, int line, int column,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));

#endif
