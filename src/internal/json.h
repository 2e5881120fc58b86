#ifndef KQ_JSON_H
#define KQ_JSON_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"

/**
 * DOC: Strict reader of JSON with comments.
 *
 * The text becomes a table of nodes named by small handles. Each key and each
 * value knows its line and column, counted from 1 in bytes. Refused with
 * their place: syntax errors, invalid UTF-8, equal keys in one object, depth
 * over the limit, numbers out of range, a NUL within a string and anything
 * after the value. Comments of both kinds are skipped.
 *
 * A getter asks an object for a key. It returns 1 if the key was there and
 * good, 0 if it is absent (the result is left as it was) and -1 with an error
 * otherwise. json_check_unused() afterwards refuses each key that no getter
 * asked for.
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
	JSON_E_EQUAL_KEYS,
	JSON_E_DEPTH,
	JSON_E_SIZE, /* text or count of nodes over the limit */
	JSON_E_NUMBER, /* not representable */
	JSON_E_TYPE, /* value of another type */
	JSON_E_RANGE, /* value out of the allowed range, string too long */
	JSON_E_MISSING, /* required key is absent */
	JSON_E_UNKNOWN, /* key that nobody asked for */
	JSON_E_VALUE /* value of the right type that makes no sense */
};

#define JSON_DEPTH_MAX 16
#define JSON_TEXT_MAX 1048576 /* bytes, as much as the platform holds */
#define JSON_NODES_MAX 65536
#define JSON_NONE (-1) /* no such node */

struct json;

/** json_read() - parse @n bytes; NULL with the error. Free with json_free() */
struct json *json_read(const char *text, size_t n, struct kq_error *);
void json_free(struct json *);

/** json_root() - handle of the outermost value */
int json_root(const struct json *);
enum json_type json_type(const struct json *, int node);
const char *json_type_name(enum json_type);
/** json_count() - elements of an array or members of an object */
int json_count(const struct json *, int node);
/** json_item() - i-th child, or JSON_NONE; json_key() - its key in an object */
int json_item(const struct json *, int node, int i);
const char *json_key(const struct json *, int node);
/** json_text() - bytes of a string node, NUL-terminated, or NULL */
const char *json_text(const struct json *, int node);
int json_line(const struct json *, int node);
int json_column(const struct json *, int node);

/** json_get() - child of an object under a key, or JSON_NONE; the key counts
 * as used */
int json_get(struct json *, int object, const char *key);
/** json_need() - as json_get(), but absence is an error at the object */
int json_need(struct json *, int object, const char *key, struct kq_error *);
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
/** json_get_string() - copies at most @size bytes with the final NUL; an empty
 * string is refused */
int json_get_string(struct json *, int object, const char *key, char *value,
    size_t size, struct kq_error *);

/** json_expect() - refuse a node of another type; 0 or -1 */
int
json_expect(const struct json *, int node, enum json_type, struct kq_error *);
/** json_check_unused() - refuse keys of one object that no getter asked for,
 * naming the nearest one that was asked for; 0 or -1 */
int json_check_unused(const struct json *, int object, struct kq_error *);
/** json_fail() - report an error at the place of a node; json_fail_key() at the
 * place of its key. Return: -1 */
int json_fail(const struct json *, int node, struct kq_error *, int code,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));
int json_fail_key(const struct json *, int node, struct kq_error *, int code,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/** json_quote() - append @text as a JSON string with its quotes */
void json_quote(GString *, const char *text);
/** json_append() - append a node as JSON on one line, without comments */
void json_append(GString *, const struct json *, int node);

#endif
