#include <string.h>

#include "adapter/objects/fields.h"
#include "rollout_object.h"

#define DURATION_MS_MAX 86400000

static int
is_state(const char *name)
{
	return !strcmp(name, rollout_state_name(ROLLOUT_RUNNING)) ||
	       !strcmp(name, rollout_state_name(ROLLOUT_COMPLETED)) ||
	       !strcmp(name, rollout_state_name(ROLLOUT_ROLLED_BACK));
}

/* Reads the status. One that can't be read is none: the decider replaces it. */
static void
read_status(struct json *j, int object, struct rollout_object *r)
{
	char version[ROLLOUT_VERSION_MAX], state[ROLLOUT_STATE_MAX];
	int64_t started = 0, serial = 0;
	double share = 0;

	if (json_get_string(j, object, "version", version, sizeof version,
		NULL) != 1 ||
	    json_get_string(j, object, "state", state, sizeof state, NULL) !=
		1 ||
	    strcmp(version, r->order.version) || !is_state(state) ||
	    json_get_real(j, object, "share", 0, 1, &share, NULL) == -1 ||
	    json_get_int(j, object, "started_ms", 0, INT64_MAX, &started,
		NULL) == -1 ||
	    json_get_int(j, object, "order", 0, INT64_MAX, &serial, NULL) == -1)
		return;
	g_strlcpy(r->state, state, sizeof r->state);
	r->share = share;
	r->started_ms = started;
	r->serial = (uint64_t)serial;
}

static uint64_t
order_id(const struct rollout_object *r)
{
	char *text = g_strdup_printf("%s %s %" G_GUINT64_FORMAT,
	    r->order.service, r->order.version, r->serial);
	uint64_t id = rollout_digest(text);

	g_free(text);
	return id;
}

static int
read_order(struct json *j, int o, struct rollout_order *order,
    struct kq_error *e)
{
	int64_t ms = 0;

	if (fields_name(j, o, "service", order->service, sizeof order->service,
		e) ||
	    json_require(j, o, "version", e) == JSON_NONE ||
	    json_get_string(j, o, "version", order->version,
		sizeof order->version, e) != 1 ||
	    json_require(j, o, "duration_ms", e) == JSON_NONE ||
	    json_get_int(j, o, "duration_ms", 1, DURATION_MS_MAX, &ms, e) != 1)
		return -1;
	order->duration_us = ms * 1000;
	return 0;
}

int
rollout_object_read(struct rollout_object *r, uint64_t version,
    const char *text, size_t n, struct kq_error *e)
{
	struct json *j = fields_parse(text, n, e);
	int status, bad;

	memset(r, 0, sizeof *r);
	if (!j)
		return -1;
	bad = read_order(j, json_root(j), &r->order, e);
	r->serial = config_version_revision(version);
	status = json_get(j, json_root(j), "status");
	if (!bad && status != JSON_NONE && json_type(j, status) == JSON_OBJECT)
		read_status(j, status, r);
	if (!bad)
		r->order.id = order_id(r);
	json_free(j);
	return bad ? -1 : 0;
}

static void
write_status(GString *out, const struct rollout_object *r)
{
	char share[G_ASCII_DTOSTR_BUF_SIZE];

	g_string_append(out, ",\"status\":{\"version\":");
	json_append_string(out, r->order.version);
	g_string_append_printf(out,
	    ",\"state\":\"%s\",\"share\":%s,\"started_ms\":%" G_GINT64_FORMAT
	    ",\"order\":%" G_GUINT64_FORMAT "}",
	    r->state, g_ascii_formatd(share, sizeof share, "%.6g", r->share),
	    r->started_ms, r->serial);
}

void
rollout_object_write(GString *out, const struct rollout_object *r)
{
	g_string_append(out, "{\"service\":");
	json_append_string(out, r->order.service);
	g_string_append(out, ",\"version\":");
	json_append_string(out, r->order.version);
	g_string_append_printf(out, ",\"duration_ms\":%" G_GINT64_FORMAT,
	    r->order.duration_us / 1000);
	if (r->state[0])
		write_status(out, r);
	g_string_append_c(out, '}');
}
