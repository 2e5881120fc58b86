#ifndef KQ_JSON_H
#define KQ_JSON_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"

/**
 * DOC: Strict reader of JSON with comments.
 *
 * The text is parsed into a table of nodes, which integer handles refer to.
 * The line and column of each key and value are kept, counted from 1; columns
 * are in bytes. These are refused with an error that has line and column:
 * syntax errors, invalid UTF-8, duplicate keys in one object, nesting or size
 * over the limit, numbers out of range, a NUL within a string and anything
 * after the value. Line and block comments are skipped.
 *
 * A getter, json_get_TYPE(), looks up a key in an object. It returns 1 if the
 * key is present and its value is valid, 0 if the key is absent (the result is
 * left unchanged) and -1 with an error otherwise. A later json_check_unused()
 * refuses each key that no getter looked up.
 */

enum json_type {
	JSON_NULL,
	JSON_BOOL,
	JSON_INT,
	JSON_REAL,
	JSON_STRING,
	JSON_ARRAY,
	JSON_OBJECT
};

enum json_error_code {
	JSON_E_SYNTAX = 1,
	JSON_E_UTF8,
	JSON_E_DUPLICATE_KEY,
	JSON_E_DEPTH,
	JSON_E_SIZE, /* length of the text or count of nodes over the limit */
	JSON_E_NUMBER, /* not representable */
	JSON_E_TYPE, /* value of another type */
	JSON_E_RANGE, /* value out of the allowed range, string too long */
	JSON_E_MISSING, /* required key is absent */
	JSON_E_UNKNOWN, /* key that no getter looked up */
	JSON_E_VALUE /* value of the right type that is not valid */
};

#define JSON_DEPTH_MAX 16
/* bytes: an answer of the platform with the largest value that it stores */
#define JSON_TEXT_MAX 2097152
/* of the largest object that a platform stores, 1 MiB with two bytes a value */
#define JSON_NODES_MAX 524288
#define JSON_NONE (-1) /* no such node */

struct json;

/** json_read() - parse @n bytes of text; NULL with the error. Free with
 * json_free() */
struct json *json_read(const char *text, size_t n, struct kq_error *);
void json_free(struct json *);

/** json_root() - return the handle of the outermost value */
int json_root(const struct json *);
enum json_type json_type(const struct json *, int node);
const char *json_type_name(enum json_type);
/** json_count() - count the elements of an array or the members of an object */
int json_count(const struct json *, int node);
/** json_item() - return the i-th child, counted from 0, or JSON_NONE */
int json_item(const struct json *, int node, int i);
/** json_key() - return the key of a node in its object, or NULL */
const char *json_key(const struct json *, int node);
/** json_text() - return the value of a string node, NUL-terminated; NULL for a
 * node of another type */
const char *json_text(const struct json *, int node);
int json_line(const struct json *, int node);
int json_column(const struct json *, int node);

/** json_get() - look up a key in an object and mark it as used; JSON_NONE if it
 * is absent, or if @object is JSON_NONE or a value of another type */
int json_get(struct json *, int object, const char *key);
/** json_require() - look up a key as json_get() does; its absence is an error
 * with the position of the object */
int json_require(struct json *, int object, const char *key, struct kq_error *);
int json_get_object(struct json *, int object, const char *key, int *node,
    struct kq_error *);
int json_get_array(struct json *, int object, const char *key, int *node,
    struct kq_error *);
int json_get_bool(struct json *, int object, const char *key, int *value,
    struct kq_error *);
int json_get_int(struct json *, int object, const char *key, int64_t min,
    int64_t max, int64_t *value, struct kq_error *);
int json_get_real(struct json *, int object, const char *key, double min,
    double max, double *value, struct kq_error *);
/** json_get_string() - copy a string into @size bytes; an empty string or one
 * that does not fit with its final NUL is refused */
int json_get_string(struct json *, int object, const char *key, char *value,
    size_t size, struct kq_error *);

/** json_check_type() - check the type of a node; an integer is accepted for
 * JSON_REAL. Return: 0 or -1 */
int json_check_type(const struct json *, int node, enum json_type,
    struct kq_error *);
/** json_check_unused() - refuse a key of an object that no getter looked up;
 * the error suggests the nearest key that was looked up. Return: 0 or -1 */
int json_check_unused(const struct json *, int object, struct kq_error *);
/** json_fail() - set an error with the position of a node; json_fail_key() -
 * with the position of its key. Return: -1 */
int json_fail(const struct json *, int node, struct kq_error *, int code,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));
int json_fail_key(const struct json *, int node, struct kq_error *, int code,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/** json_append_string() - append @text as a JSON string with its quotes */
void json_append_string(GString *, const char *text);
/** json_append_node() - append a node as JSON on one line, without comments;
 * JSON_NONE is appended as null */
void json_append_node(GString *, const struct json *, int node);

/** struct json_span - a part of a text */
struct json_span {
	const char *text;
	size_t n;
};

/**
 * struct json_scan - walk over the items of an array or the members of an
 * object by brackets and quotes alone, without reading the values
 *
 * It finds the values also where json_read() refuses the text for one of them.
 */
struct json_scan {
	const char *at;
	const char *end;
	int is_object;
	int first;
};

/** json_scan_start() - begin at an array or object; 0, or -1 for any other
 * value */
int json_scan_start(struct json_scan *, struct json_span);
/** json_scan_next() - get the next value, and its key as written if it has one.
 * Return: 1, 0 after the last one, -1 if the brackets or quotes are wrong */
int json_scan_next(struct json_scan *, struct json_span *key,
    struct json_span *value);
/** json_scan_find() - find a member of an object; 1, or 0 if there is none */
int json_scan_find(struct json_span object, const char *key,
    struct json_span *value);
/** json_append_readable() - append an object with those members, of the keys in
 * a NULL-terminated list, whose values json_read() accepts */
void json_append_readable(GString *, struct json_span object,
    const char *const *keys);

/**
 * struct json_list - a page of JSON with a list whose items are judged alone
 * @doc: the page; without the list if it could not be read as a whole
 * @list: node of the list in @doc, unless @part is set
 * @part: struct json_span of each item of a page that was split
 */
struct json_list {
	struct json *doc;
	int list;
	int count;
	GArray *part;
};

/** json_list_open() - read a page
 * @text: of the page, which the list refers to until json_list_close()
 * @key: of the list in the page
 * @others: NULL-terminated keys of the members to keep in @doc if the page is
 *	split
 * Return: 0, or -1 with the error if not even the items' ends can be found */
int json_list_open(struct json_list *, const char *text, size_t n,
    const char *key, const char *const *others, struct kq_error *);
/** json_list_item() - read an item, to be released with json_list_item_done().
 * Return: the document that holds @node, or NULL with the error; then @raw is
 * the text of the item */
struct json *json_list_item(struct json_list *, int i, int *node,
    struct json_span *raw, struct kq_error *);
void json_list_item_done(struct json_list *, struct json *);
void json_list_close(struct json_list *);

#endif
