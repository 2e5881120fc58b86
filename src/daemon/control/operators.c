#include <string.h>

#include "daemon/control/impl.h"
#include "json.h"

#define OPERATOR_BODY_MAX 65536 /* bytes of a request's body */

static void
status_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	struct control *c = ctx;
	GString *t = g_string_new("{\"name\":");

	json_append_string(t, c->settings.name);
	g_string_append(t, ",\"datacentre\":");
	json_append_string(t, c->settings.datacentre);
	g_string_append(t, ",\"service\":");
	json_append_string(t, c->has_target ? c->target.service : "");
	g_string_append_printf(t,
	    ",\"incarnation\":\"%016" G_GINT64_MODIFIER "x\""
	    ",\"complete\":%" G_GUINT64_FORMAT ",\"rules\":%" G_GUINT64_FORMAT
	    ",\"highest\":%" G_GUINT64_FORMAT
	    ",\"digest\":\"%016" G_GINT64_MODIFIER "x\""
	    ",\"members\":%d,\"platform\":\"%s\",\"watching\":%s"
	    ",\"registered\":%s,\"leaving\":%s,\"may_act\":%s",
	    c->incarnation, config_complete_version(c->config),
	    c->rules_version, config_highest_version(c->config),
	    config_digest(c->config), member_count(c->members),
	    !c->platform       ? "none"
	    : c->platform_down ? "down"
			       : "up",
	    control_has_open_watch(c) ? "true" : "false",
	    c->registration == REG_DONE ? "true" : "false",
	    c->leaving ? "true" : "false", c->may_act ? "true" : "false");
	control_rollouts_write_status(c, t);
	g_string_append(t, "}\n");
	control_answer(msg, 200, "application/json", t);
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
	json_append_string(t, m->info.datacentre);
	g_string_append_printf(t,
	    ",\"ip\":\"%u.%u.%u.%u\",\"peer_port\":%d,\"operator_port\":%d"
	    ",\"version\":%" G_GUINT64_FORMAT "}",
	    m->info.address.ip >> 24, m->info.address.ip >> 16 & 255,
	    m->info.address.ip >> 8 & 255, m->info.address.ip & 255,
	    m->info.address.port, m->info.operator_port, m->config_version);
}

static void
members_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	GString *t = g_string_new("[");
	struct control *c = ctx;
	const struct member *m;
	int i, n = 0;

	for (i = 0; i < member_handle_end(c->members); i++) {
		m = member_at(c->members, i);
		if (!m)
			continue;
		g_string_append(t, n++ ? ",\n" : "\n");
		append_member(t, m);
	}
	g_string_append(t, "]\n");
	control_answer(msg, 200, "application/json", t);
}

/* A request whose answer the data task writes; its message is paused until
 * then. */
struct pending_report {
	struct control *control;
	SoupServerMessage *msg;
	const char *type;
	int metrics;
	GString *text;
};

static void
answer_report(void *ctx, void *message)
{
	struct pending_report *p = message;

	if (p->metrics)
		control_write_metrics(p->control, p->text);
	control_answer(p->msg, 200, p->type, p->text);
	soup_server_message_unpause(p->msg);
	g_object_unref(p->msg);
	g_free(p);
}

static void
report_done(void *ctx, GString *text)
{
	struct pending_report *p = ctx;

	p->text = text;
	task_post(&p->control->task, answer_report, p->control, p);
}

static void
request_report(struct control *c, SoupServerMessage *msg, enum data_report kind,
    const char *type)
{
	struct pending_report *p = g_new0(struct pending_report, 1);

	p->control = c;
	p->msg = g_object_ref(msg);
	p->type = type;
	p->metrics = kind == DATA_METRICS;
	soup_server_message_pause(msg);
	data_report(c->data, kind, report_done, p);
}

static void
metrics_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	request_report(ctx, msg, DATA_METRICS, "text/plain; version=0.0.4");
}

static void
targets_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	request_report(ctx, msg, DATA_TARGETS, "application/json");
}

static void
explain_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	request_report(ctx, msg, DATA_EXPLAIN, "application/json");
}

/* Takes an object that the platform has accepted from the operator's tool, so
 * that it is in force here even if the platform fails in the meantime. */
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
	bad = !j || object_read(j, json_root(j), &o, &e);
	if (!bad && o.kind < 0)
		bad = kq_error_set(&e, KQ_LAYER_DAEMON, 1, "unknown kind");
	if (j)
		json_free(j);
	if (bad) {
		control_answer_error(msg, 400, &e);
		return;
	}
	b.source = CONFIG_SOURCE_PLATFORM;
	b.after = o.version - 1;
	b.upto = o.version;
	b.nobject = 1;
	b.object = &o;
	control_apply_batch(c, &b);
	if (o.value)
		g_bytes_unref(o.value);
	control_answer(msg, 200, "application/json", g_string_new("{}\n"));
}

/* Ready for callers: a configuration is held and this daemon is not
 * stopping. */
static void
ready_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	struct control *c = ctx;
	int ready = !c->leaving && control_has_config(c);

	control_answer(msg, ready ? 200 : 503, "application/json",
	    g_string_new(ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n"));
}

static int
listen_on(struct control *c, int port, const char *setting, struct kq_error *e)
{
	const char *ip = c->settings.ip;
	GSocketAddress *a = g_inet_socket_address_new_from_string(ip, port);
	GError *err = NULL;
	int bad;

	bad = !a || !soup_server_listen(c->operator_server, a, 0, &err);
	if (bad)
		kq_error_set(e, KQ_LAYER_DAEMON, 1, "%s: %s:%d: %s", setting,
		    ip, port, err ? err->message : "not an IP address");
	g_clear_error(&err);
	if (a)
		g_object_unref(a);
	return bad ? -1 : 0;
}

static gboolean
close_connection(gpointer ctx)
{
	SoupServerMessage *msg = ctx;
	GIOStream *s = soup_server_message_steal_connection(msg);

	if (s) {
		g_io_stream_close(s, NULL, NULL);
		g_object_unref(s);
	}
	g_object_unref(msg);
	return G_SOURCE_REMOVE;
}

/* Closes a connection whose request has a body that is too long, since the
 * server keeps a body in memory until it is whole. The server is reading it
 * here, so the connection is closed in the next iteration. */
static void
on_chunk(SoupServerMessage *msg, GBytes *chunk, gpointer ctx)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct control *c = ctx;
	GSource *s;

	if (body->length <= OPERATOR_BODY_MAX)
		return;
	log_event(EVENT_OPERATOR_BODY, G_LOG_LEVEL_WARNING, control_now(c),
	    "request on the operators' or targets' port closed: its body is "
	    "over %d bytes",
	    OPERATOR_BODY_MAX);
	g_signal_handlers_disconnect_by_func(msg, (gpointer)on_chunk, ctx);
	soup_message_body_set_accumulate(body, FALSE);
	s = g_idle_source_new();
	g_source_set_priority(s, G_PRIORITY_HIGH);
	g_source_set_callback(s, close_connection, g_object_ref(msg), NULL);
	g_source_attach(s, c->task.context);
	g_source_unref(s);
}

static void
on_request_started(SoupServer *s, SoupServerMessage *msg, gpointer ctx)
{
	g_signal_connect(msg, "got-chunk", G_CALLBACK(on_chunk), ctx);
}

int
control_open_operator_server(struct control *c, struct kq_error *e)
{
	const struct settings *s = &c->settings;
	SoupServer *o;

	o = soup_server_new("server-header", "kumquatrock", NULL);
	c->operator_server = o;
	g_signal_connect(o, "request-started", G_CALLBACK(on_request_started),
	    c);
	soup_server_add_handler(o, "/v1/target", control_target_handler, c,
	    NULL);
	soup_server_add_handler(o, "/v1/status", status_handler, c, NULL);
	soup_server_add_handler(o, "/v1/members", members_handler, c, NULL);
	soup_server_add_handler(o, "/v1/targets", targets_handler, c, NULL);
	soup_server_add_handler(o, "/v1/explain", explain_handler, c, NULL);
	soup_server_add_handler(o, "/v1/drain", control_drain_handler, c, NULL);
	soup_server_add_handler(o, "/v1/undrain", control_drain_handler, c,
	    NULL);
	soup_server_add_handler(o, "/v1/object", object_handler, c, NULL);
	soup_server_add_handler(o, "/metrics", metrics_handler, c, NULL);
	soup_server_add_handler(o, c->dialect->ready_path, ready_handler, c,
	    NULL);
	if (c->dialect->report_path)
		soup_server_add_handler(o, c->dialect->report_path,
		    control_report_handler, c, NULL);
	if (listen_on(c, s->operator_port, "operator_port", e) ||
	    (s->ready_port && listen_on(c, s->ready_port, "ready_port", e)) ||
	    (s->heartbeat_port &&
		listen_on(c, s->heartbeat_port, "heartbeat_port", e)))
		return -1;
	return 0;
}
