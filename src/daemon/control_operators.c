#include <string.h>

#include "control_impl.h"
#include "json.h"

#define ANNOUNCE_MAX 4096 /* bytes */

static void
answer(SoupServerMessage *msg, int status, const char *type, GString *text)
{
	gsize n = text->len;

	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, type, SOUP_MEMORY_TAKE,
	    g_string_free(text, FALSE), n);
}

static void
answer_error(SoupServerMessage *msg, int status, const struct kq_error *e)
{
	GString *t = g_string_new("{\"error\":");

	json_quote(t, e->text);
	g_string_append_printf(t, ",\"line\":%d,\"column\":%d}\n", e->line,
	    e->column);
	answer(msg, status, "application/json", t);
}

static int
read_target(struct control *c, struct json *j, struct data_target *t,
    struct kq_error *e)
{
	int root = json_root(j);
	int64_t port = 0, slots = 0, connections = 0;

	if (json_expect(j, root, JSON_OBJECT, e))
		return -1;
	g_strlcpy(t->ip, c->settings.ip, sizeof t->ip);
	if (json_need(j, root, "service", e) == JSON_NONE ||
	    json_get_string(j, root, "service", t->service, sizeof t->service,
		e) != 1 ||
	    json_need(j, root, "port", e) == JSON_NONE ||
	    json_get_int(j, root, "port", 1, 65535, &port, e) != 1 ||
	    json_need(j, root, "slots", e) == JSON_NONE ||
	    json_get_int(j, root, "slots", 1, 100000, &slots, e) != 1 ||
	    json_need(j, root, "connections", e) == JSON_NONE ||
	    json_get_int(j, root, "connections", 1, 100000, &connections, e) !=
		1 ||
	    json_need(j, root, "start", e) == JSON_NONE ||
	    json_get_string(j, root, "start", t->start, sizeof t->start, e) !=
		1 ||
	    json_get_string(j, root, "ip", t->ip, sizeof t->ip, e) < 0)
		return -1;
	t->port = port;
	t->slots = slots;
	t->connections = connections;
	return json_check_unused(j, root, e);
}

static void
announce(struct control *c, SoupServerMessage *msg)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct data_target t = { 0 };
	struct kq_error e = { 0 };
	struct json *j;
	int bad;

	j = json_read(body->data ? body->data : "", body->length, &e);
	bad = !j || read_target(c, j, &t, &e);
	if (j)
		json_free(j);
	if (bad) {
		answer_error(msg, 400, &e);
		return;
	}
	if (c->leaving || c->held) {
		kq_error_set(&e, KQ_LAYER_DAEMON, 1,
		    c->held ? "this target is drained by an operator"
			    : "this daemon is stopping");
		answer_error(msg, 503, &e);
		return;
	}
	data_set_target(c->data, &t);
	if (!c->has_target || strcmp(t.service, c->target.service)) {
		memset(&c->target, 0, sizeof c->target);
		g_strlcpy(c->target.service, t.service,
		    sizeof c->target.service);
		c->has_target = 1;
		control_register(c);
	}
	if (!memcmp(&t, &c->target, sizeof t)) {
		answer(msg, 200, "application/json", g_string_new("{}\n"));
		return;
	}
	c->target = t;
	log_event(EVENT_TARGET_ANNOUNCED, G_LOG_LEVEL_INFO, control_now(c),
	    "target service=%s ip=%s port=%d slots=%d connections=%d start=%s",
	    t.service, t.ip, t.port, t.slots, t.connections, t.start);
	answer(msg, 200, "application/json", g_string_new("{}\n"));
}

/* Answered once nothing is in flight at the target. */
static void
withdraw(struct control *c, SoupServerMessage *msg)
{
	log_event(EVENT_TARGET_LEFT, G_LOG_LEVEL_INFO, control_now(c),
	    "target leaves service=%s", c->target.service);
	if (c->has_target) {
		c->has_target = 0;
		control_register(c);
	}
	g_ptr_array_add(c->leave_waiting, g_object_ref(msg));
	soup_server_message_pause(msg);
	data_drain_target(c->data);
}

void
control_target_idle(struct control *c)
{
	SoupServerMessage *msg;
	guint i;

	for (i = 0; i < c->leave_waiting->len; i++) {
		msg = g_ptr_array_index(c->leave_waiting, i);
		answer(msg, 200, "application/json", g_string_new("{}\n"));
		soup_server_message_unpause(msg);
		g_object_unref(msg);
	}
	g_ptr_array_set_size(c->leave_waiting, 0);
}

static void
target_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	const char *method = soup_server_message_get_method(msg);
	struct control *c = ctx;

	if (!strcmp(method, "PUT"))
		announce(c, msg);
	else if (!strcmp(method, "DELETE"))
		withdraw(c, msg);
	else
		soup_server_message_set_status(msg, 405, NULL);
}

static void
status_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	struct control *c = ctx;
	GString *t = g_string_new("{\"name\":");

	json_quote(t, c->settings.name);
	g_string_append(t, ",\"datacentre\":");
	json_quote(t, c->settings.datacentre);
	g_string_append(t, ",\"service\":");
	json_quote(t, c->has_target ? c->target.service : "");
	g_string_append_printf(t,
	    ",\"incarnation\":\"%016" G_GINT64_MODIFIER "x\""
	    ",\"complete\":%" G_GUINT64_FORMAT ",\"rules\":%" G_GUINT64_FORMAT
	    ",\"highest\":%" G_GUINT64_FORMAT
	    ",\"members\":%d,\"platform\":\"%s\",\"watching\":%s"
	    ",\"registered\":%s,\"leaving\":%s,\"may_act\":%s}\n",
	    c->incarnation, config_complete(c->config), c->rules_version,
	    config_highest(c->config), member_count(c->members),
	    !c->platform       ? "none"
	    : c->platform_down ? "down"
			       : "up",
	    c->watching ? "true" : "false",
	    c->registration == REG_DONE ? "true" : "false",
	    c->leaving ? "true" : "false", c->may_act ? "true" : "false");
	answer(msg, 200, "application/json", t);
}

static void
append_member(GString *t, const struct member *m)
{
	static const char *const states[] = { "alive", "suspect", "dead",
		"left" };

	g_string_append_printf(t,
	    "{\"incarnation\":\"%016" G_GINT64_MODIFIER
	    "x\",\"state\":\"%s\",\"datacentre\":",
	    m->info.id, states[m->state]);
	json_quote(t, m->info.datacentre);
	g_string_append_printf(t,
	    ",\"ip\":\"%u.%u.%u.%u\",\"peer_port\":%d,\"operator_port\":%d"
	    ",\"version\":%" G_GUINT64_FORMAT "}",
	    m->info.address.ip >> 24, m->info.address.ip >> 16 & 255,
	    m->info.address.ip >> 8 & 255, m->info.address.ip & 255,
	    m->info.address.port, m->info.operator_port, m->digest);
}

static void
members_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	GString *t = g_string_new("[");
	struct control *c = ctx;
	const struct member *m;
	int i, n = 0;

	for (i = 0; i < member_top(c->members); i++) {
		m = member_at(c->members, i);
		if (!m)
			continue;
		g_string_append(t, n++ ? ",\n" : "\n");
		append_member(t, m);
	}
	g_string_append(t, "]\n");
	answer(msg, 200, "application/json", t);
}

/* An answer that the data task makes; the message waits meanwhile. */
struct pending {
	struct control *control;
	SoupServerMessage *msg;
	const char *type;
	int metrics;
	GString *text;
};

static void
report_arrived(void *ctx, void *message)
{
	struct pending *p = message;

	if (p->metrics)
		control_write_metrics(p->control, p->text);
	answer(p->msg, 200, p->type, p->text);
	soup_server_message_unpause(p->msg);
	g_object_unref(p->msg);
	g_free(p);
}

static void
report_made(void *ctx, GString *text)
{
	struct pending *p = ctx;

	p->text = text;
	task_post(&p->control->task, report_arrived, p->control, p);
}

static void
ask_data(struct control *c, SoupServerMessage *msg, enum data_report kind,
    const char *type)
{
	struct pending *p = g_new0(struct pending, 1);

	p->control = c;
	p->msg = g_object_ref(msg);
	p->type = type;
	p->metrics = kind == DATA_METRICS;
	soup_server_message_pause(msg);
	data_report(c->data, kind, report_made, p);
}

static void
metrics_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	ask_data(ctx, msg, DATA_METRICS, "text/plain; version=0.0.4");
}

static void
targets_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	ask_data(ctx, msg, DATA_TARGETS, "application/json");
}

static void
explain_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	ask_data(ctx, msg, DATA_EXPLAIN, "application/json");
}

/* Drained until the target is let in again; announcements don't end it. */
static void
drain_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	struct control *c = ctx;

	if (strcmp(soup_server_message_get_method(msg), "POST")) {
		soup_server_message_set_status(msg, 405, NULL);
		return;
	}
	if (!strcmp(path, "/v1/undrain")) {
		c->held = 0;
		answer(msg, 200, "application/json", g_string_new("{}\n"));
		return;
	}
	c->held = 1;
	withdraw(c, msg);
}

static int
read_object(struct json *j, struct config_object *o, struct kq_error *e)
{
	int root = json_root(j), value;
	char kind[CONFIG_NAME_MAX];
	int64_t version = 0;
	GString *text;

	if (json_expect(j, root, JSON_OBJECT, e) ||
	    json_get_string(j, root, "kind", kind, sizeof kind, e) != 1 ||
	    json_get_string(j, root, "name", o->name, sizeof o->name, e) != 1 ||
	    json_get_int(j, root, "version", 1, INT64_MAX, &version, e) != 1)
		return kq_error_wrap(e, KQ_LAYER_DAEMON, 1,
		    "an object needs kind, name and version");
	o->kind = config_kind_of(kind);
	if (o->kind < 0)
		return kq_error_set(e, KQ_LAYER_DAEMON, 1, "unknown kind %s",
		    kind);
	o->version = version;
	value = json_get(j, root, "value");
	o->removed = value == JSON_NONE || json_type(j, value) == JSON_NULL;
	if (o->removed)
		return 0;
	text = g_string_new(NULL);
	json_append(text, j, value);
	o->value = g_string_free_to_bytes(text);
	return 0;
}

/* An accepted object handed over by the tool, so that it is in force here
 * even if the platform fails just now. */
static void
object_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct config_object o = { 0 };
	struct config_batch b = { 0 };
	struct control *c = ctx;
	struct kq_error e = { 0 };
	struct json *j;
	int bad;

	if (strcmp(soup_server_message_get_method(msg), "POST")) {
		soup_server_message_set_status(msg, 405, NULL);
		return;
	}
	j = json_read(body->data ? body->data : "", body->length, &e);
	bad = !j || read_object(j, &o, &e);
	if (j)
		json_free(j);
	if (bad) {
		answer_error(msg, 400, &e);
		return;
	}
	b.source = CONFIG_SOURCE_PLATFORM;
	b.after = o.version - 1;
	b.upto = o.version;
	b.nobject = 1;
	b.object = &o;
	control_apply(c, &b);
	if (o.value)
		g_bytes_unref(o.value);
	answer(msg, 200, "application/json", g_string_new("{}\n"));
}

int
control_open_operators(struct control *c, struct kq_error *e)
{
	const struct settings *s = &c->settings;
	GSocketAddress *a;
	GError *err = NULL;
	SoupServer *o;

	o = soup_server_new("server-header", "kumquatrock", NULL);
	c->operators = o;
	soup_server_add_handler(o, "/v1/target", target_handler, c, NULL);
	soup_server_add_handler(o, "/v1/status", status_handler, c, NULL);
	soup_server_add_handler(o, "/v1/members", members_handler, c, NULL);
	soup_server_add_handler(o, "/v1/targets", targets_handler, c, NULL);
	soup_server_add_handler(o, "/v1/explain", explain_handler, c, NULL);
	soup_server_add_handler(o, "/v1/drain", drain_handler, c, NULL);
	soup_server_add_handler(o, "/v1/undrain", drain_handler, c, NULL);
	soup_server_add_handler(o, "/v1/object", object_handler, c, NULL);
	soup_server_add_handler(o, "/metrics", metrics_handler, c, NULL);
	a = g_inet_socket_address_new_from_string(s->ip, s->operator_port);
	if (!a || !soup_server_listen(o, a, 0, &err)) {
		kq_error_set(e, KQ_LAYER_DAEMON, 1, "operator_port: %s:%d: %s",
		    s->ip, s->operator_port, err ? err->message : "bad ip");
		g_clear_error(&err);
		if (a)
			g_object_unref(a);
		return -1;
	}
	g_object_unref(a);
	return 0;
}
