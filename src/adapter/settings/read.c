#include "adapter/settings/table.h"

#include <string.h>

#include "adapter/objects/fields.h"
#include "dialect.h"
#include "memory_parts.h"

#define GROUP_BAD (-2)

/* Returns the object that holds a setting, JSON_NONE if its group is absent, or
 * GROUP_BAD with an error. */
static int
group_node(const struct setting *d, struct json *j, struct kq_error *e)
{
	int r, node;

	if (!d->group)
		return json_root(j);
	if (!d->default_text &&
	    json_require(j, json_root(j), d->group, e) == JSON_NONE)
		return GROUP_BAD;
	r = json_get_object(j, json_root(j), d->group, &node, e);
	if (r == -1)
		return GROUP_BAD;
	return r == 1 ? node : JSON_NONE;
}

static int
check_unused_keys(struct json *j, struct kq_error *e)
{
	int i;

	for (i = 0; i < settings_table_count; i++) {
		const struct setting *d = &settings_table[i];
		int node = group_node(d, j, e);

		if (node != JSON_NONE && json_check_unused(j, node, e) == -1)
			return -1;
	}
	return 0;
}

/* The daemon listens on the three ports at one address, so they must differ. */
static int
check_ports(const struct settings *s, struct json *j, struct kq_error *e)
{
	int o = json_root(j);

	if (s->peer_port == s->caller_port)
		return json_fail(j, json_get(j, o, "peer_port"), e,
		    JSON_E_VALUE,
		    "\"peer_port\" and \"caller_port\" are equal");
	if (s->operator_port == s->caller_port ||
	    s->operator_port == s->peer_port)
		return json_fail(j, json_get(j, o, "operator_port"), e,
		    JSON_E_VALUE,
		    "\"operator_port\" equals \"caller_port\" or "
		    "\"peer_port\"");
	return 0;
}

static int
check_trace(const struct settings *s, struct json *j, struct kq_error *e)
{
	int node = json_get(j, json_root(j), "trace");

	if ((s->trace.port != 0) == (s->trace.ip[0] != '\0'))
		return 0;
	return json_fail(j, node, e, JSON_E_MISSING,
	    "\"trace\" needs both \"ip\" and \"port\", or neither");
}

static int
check_platform(const struct settings *s, struct json *j, struct kq_error *e)
{
	int node = json_require(j, json_root(j), "platform", e);

	if (node == JSON_NONE)
		return -1;
	if (!s->platform.ip[0])
		return json_fail(j, node, e, JSON_E_MISSING,
		    "key \"ip\" or \"address\" is missing");
	if (!s->platform.port)
		return json_fail(j, node, e, JSON_E_MISSING,
		    "key \"port\" is missing");
	return 0;
}

static int
check_dialect(const struct settings *s, struct json *j, struct kq_error *e)
{
	if (dialect_find(s->dialect))
		return 0;
	return json_fail(j, json_get(j, json_root(j), "dialect"), e,
	    JSON_E_VALUE, "unknown dialect");
}

/* Where the memory is given, it is the default and the most of call_bytes. */
static int
fit_memory(struct settings *s, struct json *j, struct kq_error *e)
{
	struct memory_parts p;
	int limits, node;

	if (!s->memory_mb)
		return 0;
	memory_divide(&p, s->memory_mb);
	limits = json_get(j, json_root(j), "limits");
	node = json_get(j, limits, "call_bytes");
	if (node == JSON_NONE)
		s->call_bytes = p.calls;
	if (s->call_bytes <= p.calls)
		return 0;
	return json_fail(j, node, e, JSON_E_VALUE,
	    "\"call_bytes\" is more than 13/64 of \"memory_mb\"");
}

static int
read_settings(struct settings *s, struct json *j, struct kq_error *e)
{
	int i;

	for (i = 0; i < settings_table_count; i++) {
		const struct setting *d = &settings_table[i];
		int node = group_node(d, j, e);

		if (node == GROUP_BAD ||
		    settings_value_read(s, d, j, node, e) == -1)
			return -1;
	}
	if (check_unused_keys(j, e) == -1 || check_ports(s, j, e) == -1 ||
	    check_platform(s, j, e) == -1 || check_dialect(s, j, e) == -1 ||
	    fit_memory(s, j, e) == -1)
		return -1;
	return check_trace(s, j, e);
}

int
settings_read(struct settings *s, const char *text, size_t n,
    struct kq_error *e)
{
	struct json *j = fields_parse(text, n, e);
	int r;

	memset(s, 0, sizeof *s);
	if (!j)
		return -1;
	r = read_settings(s, j, e);
	json_free(j);
	return r;
}

int
settings_load(struct settings *s, const char *path, struct kq_error *e)
{
	char *text;
	gsize n;
	int r;

	if (!g_file_get_contents(path, &text, &n, NULL))
		return kq_error_set(e, KQ_LAYER_CONFIG, JSON_E_VALUE,
		    "can't read settings file %s", path);
	r = settings_read(s, text, n, e);
	g_free(text);
	return r;
}
