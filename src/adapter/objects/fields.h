#ifndef KQ_OBJECTS_FIELDS_H
#define KQ_OBJECTS_FIELDS_H

#include "json.h"
#include "objects.h"

/** struct int_field - a range of integers that one key may hold */
struct int_field {
	const char *key;
	int64_t min;
	int64_t max;
};

/** fields_open() - read a text whose root must be an object; NULL on error */
struct json *fields_open(const char *text, size_t n, struct kq_error *);
/** fields_name() - a required name: lower-case letters, digits, "-", "_" and
 * "."; 0 or -1 */
int fields_name(struct json *, int object, const char *key, char *name,
    size_t size, struct kq_error *);
/** fields_name_optional() - as fields_name(), empty when absent */
int fields_name_optional(struct json *, int object, const char *key, char *name,
    size_t size, struct kq_error *);
/** fields_int() - optional integer; 1, 0 or -1 */
int fields_int(struct json *, int object, const struct int_field *, int *value,
    struct kq_error *);
/** fields_port() - required port; 0 or -1 */
int fields_port(struct json *, int object, const char *key, int *port,
    struct kq_error *);
/** fields_ip() - required IPv4 number; 0 or -1 */
int fields_ip(struct json *, int object, const char *key, char *ip, size_t size,
    struct kq_error *);
/** fields_publication() - optional id of a publication; 0 or -1 */
int fields_publication(struct json *, int object, char id[PUBLICATION_MAX],
    struct kq_error *);

#endif
