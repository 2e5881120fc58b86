#include "adapter/objects/fields.h"

#include <arpa/inet.h>
#include <string.h>

#define PORT_MAX 65535

struct json *
fields_parse(const char *text, size_t n, struct kq_error *e)
{
	struct json *j = json_read(text, n, e);

	if (!j)
		return NULL;
	if (json_check_type(j, json_root(j), JSON_OBJECT, e) == 0)
		return j;
	json_free(j);
	return NULL;
}

static int
name_valid(const char *s)
{
	static const char chars[] = "abcdefghijklmnopqrstuvwxyz0123456789-_.";

	return s[strspn(s, chars)] == '\0' && !strchr("-_.", s[0]);
}

int
fields_name_optional(struct json *j, int object, const char *key, char *name,
    size_t size, struct kq_error *e)
{
	int r;

	name[0] = '\0';
	r = json_get_string(j, object, key, name, size, e);
	if (r != 1)
		return r;
	if (name_valid(name))
		return 0;
	return json_fail(j, json_get(j, object, key), e, JSON_E_VALUE,
	    "\"%s\" must be lower-case letters, digits, \"-\", \"_\" and "
	    "\".\", the first a letter or digit",
	    key);
}

int
fields_name(struct json *j, int object, const char *key, char *name,
    size_t size, struct kq_error *e)
{
	if (json_require(j, object, key, e) == JSON_NONE)
		return -1;
	return fields_name_optional(j, object, key, name, size, e);
}

int
fields_int(struct json *j, int object, const struct int_field *f, int *value,
    struct kq_error *e)
{
	int64_t v;
	int r = json_get_int(j, object, f->key, f->min, f->max, &v, e);

	if (r == 1)
		*value = (int)v;
	return r;
}

int
fields_port(struct json *j, int object, const char *key, int *port,
    struct kq_error *e)
{
	const struct int_field field = { key, 1, PORT_MAX };

	if (json_require(j, object, key, e) == JSON_NONE)
		return -1;
	return fields_int(j, object, &field, port, e) == 1 ? 0 : -1;
}

int
fields_ip(struct json *j, int object, const char *key, char *ip, size_t size,
    struct kq_error *e)
{
	struct in_addr a;
	int node = json_require(j, object, key, e);

	if (node == JSON_NONE || json_check_type(j, node, JSON_STRING, e) == -1)
		return -1;
	if (inet_pton(AF_INET, json_text(j, node), &a) != 1)
		return json_fail(j, node, e, JSON_E_VALUE,
		    "\"%s\" must be an IPv4 address", key);
	g_strlcpy(ip, json_text(j, node), size);
	return 0;
}
