#include "adapter/settings/table.h"

#include <stdlib.h>
#include <string.h>

#include "adapter/objects/fields.h"

static int
is_none(const struct setting *d)
{
	return d->fallback && strcmp(d->fallback, "none") == 0;
}

static int
read_int64(int64_t *value, const struct setting *d, struct json *j, int object,
    struct kq_error *e)
{
	int r = json_get_int(j, object, d->key, (int64_t)d->min,
	    (int64_t)d->max, value, e);

	if (r == 0)
		*value =
		    is_none(d) ? 0 : g_ascii_strtoll(d->fallback, NULL, 10);
	return r;
}

static int
read_real(double *value, const struct setting *d, struct json *j, int object,
    struct kq_error *e)
{
	int r = json_get_real(j, object, d->key, d->min, d->max, value, e);

	if (r == 0)
		*value = g_ascii_strtod(d->fallback, NULL);
	return r;
}

const char *
log_level_name(enum log_level level)
{
	static const char *const names[] = { "error", "warning", "info",
		"debug" };

	return names[level];
}

static int
read_level(enum log_level *level, const struct setting *d, struct json *j,
    int object, struct kq_error *e)
{
	char text[16];
	int i, r;

	g_strlcpy(text, d->fallback, sizeof text);
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

static int
read_present(void *at, const struct setting *d, struct json *j, int object,
    struct kq_error *e)
{
	int64_t v;

	switch (d->type) {
	case SETTING_NAME:
		return fields_name_optional(j, object, d->key, at,
		    strcmp(d->key, "name") == 0 ? SERVICE_NAME_MAX
						: DATACENTRE_NAME_MAX,
		    e);
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

	if (!d->fallback && json_need(j, object, d->key, e) == JSON_NONE)
		return -1;
	switch (d->type) {
	case SETTING_PEERS:
		return settings_peers_read(s, j, object, e);
	case SETTING_KEYS:
		return settings_keys_read(s, j, object, e);
	case SETTING_KEY_FILE:
		return settings_key_file_read(s, j, object, e);
	default:
		return read_present(at, d, j, object, e) == -1 ? -1 : 0;
	}
}
