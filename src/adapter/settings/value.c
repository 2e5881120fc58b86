#include "adapter/settings/table.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "adapter/objects/fields.h"

#define PORT_MAX 65535

static int
is_none(const struct setting *d)
{
	return d->default_text && strcmp(d->default_text, "none") == 0;
}

static int
read_int64(int64_t *value, const struct setting *d, struct json *j, int object,
    struct kq_error *e)
{
	int r = json_get_int(j, object, d->key, (int64_t)d->min,
	    (int64_t)d->max, value, e);

	if (r == 0)
		*value =
		    is_none(d) ? 0 : g_ascii_strtoll(d->default_text, NULL, 10);
	return r;
}

static int
read_real(double *value, const struct setting *d, struct json *j, int object,
    struct kq_error *e)
{
	int r = json_get_real(j, object, d->key, d->min, d->max, value, e);

	if (r == 0)
		*value = g_ascii_strtod(d->default_text, NULL);
	return r;
}

const char *
log_level_name(enum log_level level)
{
	static const char *const names[] = { "error", "warning", "info",
		"debug" };

	return names[level];
}

/* Splits "IP:PORT" into an address. Returns 0 or -1. */
static int
split_address(struct settings_address *a, const char *text)
{
	const char *colon = strrchr(text, ':');
	struct in_addr number;
	int64_t port;
	char *end;

	if (!colon || colon == text || (size_t)(colon - text) >= sizeof a->ip)
		return -1;
	port = g_ascii_strtoll(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port < 1 || port > PORT_MAX)
		return -1;
	memset(a, 0, sizeof *a);
	memcpy(a->ip, text, (size_t)(colon - text));
	a->port = (int)port;
	return inet_pton(AF_INET, a->ip, &number) == 1 ? 0 : -1;
}

static int
read_address(struct settings_address *a, const struct setting *d,
    struct json *j, int object, struct kq_error *e)
{
	int node = json_get(j, object, d->key);

	if (node == JSON_NONE)
		return 0;
	if (json_check_type(j, node, JSON_STRING, e) == -1)
		return -1;
	if (!split_address(a, json_text(j, node)))
		return 0;
	return json_fail(j, node, e, JSON_E_VALUE,
	    "\"%s\" must be an IPv4 address and a port, \"IP:PORT\"", d->key);
}

/* Reads a port, given as a number or within "IP:PORT", an address of this
 * instance, whose IP is not compared with "ip". Returns 0 or -1. */
static int
read_port(int *port, const struct setting *d, struct json *j, int object,
    struct kq_error *e)
{
	struct settings_address a = { 0 };
	int node = json_get(j, object, d->key);
	int64_t v = 0;

	if (node != JSON_NONE && json_type(j, node) == JSON_STRING) {
		if (read_address(&a, d, j, object, e) == -1)
			return -1;
		*port = a.port;
		return 0;
	}
	if (read_int64(&v, d, j, object, e) == -1)
		return -1;
	*port = (int)v;
	return 0;
}

static int
read_level(enum log_level *level, const struct setting *d, struct json *j,
    int object, struct kq_error *e)
{
	char text[16];
	int i, r;

	g_strlcpy(text, d->default_text, sizeof text);
	r = json_get_string(j, object, d->key, text, sizeof text, e);
	if (r == -1)
		return -1;
	for (i = LOG_ERROR; i <= LOG_DEBUG; i++) {
		if (strcmp(text, log_level_name(i)) == 0) {
			*level = i;
			return r;
		}
	}
	return json_fail(j, json_get(j, object, d->key), e, JSON_E_VALUE,
	    "\"%s\" must be \"error\", \"warning\", \"info\" or \"debug\"",
	    d->key);
}

size_t
settings_name_size(const struct setting *d)
{
	return !strcmp(d->key, "name") || !strcmp(d->key, "service")
		   ? SERVICE_NAME_MAX
		   : DATACENTRE_NAME_MAX;
}

static int
read_name(char *name, const struct setting *d, struct json *j, int object,
    struct kq_error *e)
{
	if (fields_name_optional(j, object, d->key, name, settings_name_size(d),
		e) == -1)
		return -1;
	if (!name[0] && d->default_text && !is_none(d) && d->group == NULL)
		g_strlcpy(name, d->default_text, DATACENTRE_NAME_MAX);
	return 0;
}

static int
read_scalar(void *at, const struct setting *d, struct json *j, int object,
    struct kq_error *e)
{
	int64_t v;

	switch (d->type) {
	case SETTING_NAME:
		return read_name(at, d, j, object, e);
	case SETTING_PORT:
		return read_port(at, d, j, object, e);
	case SETTING_ADDRESS:
		return read_address(at, d, j, object, e);
	case SETTING_IP:
		if (json_get(j, object, d->key) == JSON_NONE)
			return 0;
		return fields_ip(j, object, d->key, at, IP_TEXT_MAX, e);
	case SETTING_INT:
		if (read_int64(&v, d, j, object, e) == -1)
			return -1;
		*(int *)at = (int)v;
		return 0;
	case SETTING_INT64:
		return read_int64(at, d, j, object, e);
	case SETTING_REAL:
		return read_real(at, d, j, object, e);
	case SETTING_LEVEL:
		return read_level(at, d, j, object, e);
	default:
		return 0;
	}
}

int
settings_value_read(struct settings *s, const struct setting *d, struct json *j,
    int object, struct kq_error *e)
{
	void *at = (char *)s + d->offset;

	if (!d->default_text && json_require(j, object, d->key, e) == JSON_NONE)
		return -1;
	switch (d->type) {
	case SETTING_PEERS:
		return settings_peers_read(s, j, object, e);
	case SETTING_KEYS:
		return settings_keys_read(s, j, object, e);
	case SETTING_KEY_FILE:
		return settings_key_file_read(s, j, object, e);
	default:
		return read_scalar(at, d, j, object, e) == -1 ? -1 : 0;
	}
}
