#ifndef KQ_OBJECTS_FIELDS_H
#define KQ_OBJECTS_FIELDS_H

#include "json.h"
#include "objects.h"

/** struct int_field - a key with the range of its integer value */
struct int_field {
	const char *key;
	int64_t min;
	int64_t max;
};

/** fields_parse() - parse a text whose root must be an object; NULL on error.
 * Free with json_free() */
struct json *fields_parse(const char *text, size_t n, struct kq_error *);
/** fields_name() - read a required name: lower-case letters, digits, "-", "_"
 * and ".", the first a letter or digit. Return: 0 or -1 */
int fields_name(struct json *, int object, const char *key, char *name,
    size_t size, struct kq_error *);
/** fields_name_optional() - read a name as fields_name() does; it is empty if
 * the key is absent. Return: 0 or -1 */
int fields_name_optional(struct json *, int object, const char *key, char *name,
    size_t size, struct kq_error *);
/** fields_int() - read an optional integer. Return: 1, 0 if the key is absent
 * (the value is left unchanged) or -1 */
int fields_int(struct json *, int object, const struct int_field *, int *value,
    struct kq_error *);
/** fields_port() - read a required port number. Return: 0 or -1 */
int fields_port(struct json *, int object, const char *key, int *port,
    struct kq_error *);
/** fields_ip() - read a required IPv4 address. Return: 0 or -1 */
int fields_ip(struct json *, int object, const char *key, char *ip, size_t size,
    struct kq_error *);
/** fields_publication() - read the optional id of a publication; it is empty if
 * the key is absent. Return: 0 or -1 */
int fields_publication(struct json *, int object, char id[PUBLICATION_MAX],
    struct kq_error *);

#endif
