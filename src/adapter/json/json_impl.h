#ifndef KQ_JSON_IMPL_H
#define KQ_JSON_IMPL_H

#include <glib.h>

#include "json.h"

/** struct json_position - offset in the text with its line and column */
struct json_position {
	size_t offset;
	int line;
	int column;
};

/**
 * struct json_node - one value of the document
 * @parent: handle of the enclosing array or object, or JSON_NONE
 * @key: key in the enclosing object, or NULL
 * @key_line, @key_column: start of the key
 * @line, @column: start of the value
 * @used: nonzero after a getter looked its key up
 * @first_child: index of its first child in the document's child array
 * @count: number of children
 * @integer: value of an integer; 1 or 0 for true or false
 * @real: value of a number, an integer's too
 * @text: value of a string
 */
struct json_node {
	enum json_type type;
	int parent;
	const char *key;
	int key_line;
	int key_column;
	int line;
	int column;
	int used;
	int first_child;
	int count;
	int64_t integer;
	double real;
	const char *text;
};

/** struct json_lookup - a key that a getter looked up in an object */
struct json_lookup {
	int object;
	const char *key;
};

struct json {
	GArray *node; /* struct json_node, a parent before its children */
	GArray *child; /* int, handles; the children of one node are adjacent */
	GArray *lookups; /* struct json_lookup */
	GStringChunk *strings;
};

/** json_node_at() - node of a handle */
struct json_node *json_node_at(const struct json *, int node);
/** json_position_advance() - move a position forward to an offset */
void
json_position_advance(struct json_position *, const char *text, size_t offset);
/** json_skip_blank() - skip white space and complete comments. Return: the
 * offset after them */
size_t json_skip_blank(const char *text, size_t from, size_t end);
/** json_find_bad_escape() - find the first \u escape in a raw string that is
 * NUL or an unpaired surrogate. Return: its offset, or @end if there is none */
size_t json_find_bad_escape(const char *text, size_t from, size_t end);
/** json_error_at() - set an error with its line and column. Return: -1 */
int json_error_at(struct kq_error *, int code, int line, int column,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));

#endif
