#include <string.h>

#include "daemon/control/impl.h"
#include "daemon/process.h"
#include "memory_parts.h"

/*
 * Ports of operators, readiness checks and the target. Each has connections of
 * its own, of which the one whose last request is the longest ago makes way for
 * a new one, so that a readiness check or a heartbeat gets in whoever else
 * holds connections. What is kept for their requests is in one account.
 */

#define PORT_BODY_MAX 65536 /* bytes of a request's body */
#define PORT_STALLED_US 500000 /* time in which a caller took no byte */
#define REPLACED_LOG_US 1000000 /* between two lines of one port */

static void
request_free(struct port_request *r)
{
	struct control *c = r->control;

	g_hash_table_remove(c->port_requests, r);
	byte_limit_give(&c->port_bytes, r->counted);
	g_string_free(r->body, TRUE);
	g_free(r->method);
	g_free(r->path);
	g_free(r->query);
	g_free(r);
}

void
control_answer(struct port_request *r, int status, const char *type,
    GString *text)
{
	const struct http_field f[] = { { "Server", "kumquatrock" },
		{ "Content-Type", type }, { "Retry-After", "1" } };
	struct http_exchange *x = r->exchange;

	if (x) {
		http_exchange_set_ctx(x, NULL);
		http_exchange_write_head(x, status, f, status == 503 ? 3 : 2,
		    (int64_t)text->len);
		http_exchange_write(x, text->str, text->len);
		http_exchange_end(x);
	}
	g_string_free(text, TRUE);
	request_free(r);
}

/* Logs when requests begin to be refused and when they no longer are. */
static void
note_limit(struct control *c, int reached)
{
	if (reached == c->port_bytes_bind)
		return;
	c->port_bytes_bind = reached;
	log_event(reached ? EVENT_PORT_BYTES_REACHED : EVENT_PORT_BYTES_FREE,
	    reached ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE, control_now(c),
	    "%s bytes=%" G_GINT64_FORMAT " limit=%" G_GINT64_FORMAT,
	    reached ? "requests of operators and the target are refused: too "
		      "much is held for others"
		    : "requests of operators and the target are taken again",
	    c->port_bytes.used, c->port_bytes.limit);
}

/* Frees bytes that callers do not take; nonzero if nothing more is to be
 * kept. */
static int
is_full(struct control *c)
{
	int64_t before = control_now(c) - PORT_STALLED_US;
	int i, ended = 1;

	while (byte_limit_reached(&c->port_bytes) && ended) {
		ended = 0;
		for (i = 0; i < CONTROL_PORTS; i++)
			if (c->port[i].server)
				ended |=
				    http_server_end_stalled(c->port[i].server,
					before);
	}
	note_limit(c, byte_limit_reached(&c->port_bytes));
	return c->port_bytes_bind;
}

void
control_refuse_port_request(struct control *c, struct port_request *r)
{
	c->counters.port_refused++;
	control_answer(r, 503, "text/plain",
	    g_string_new("too much is held for other requests\n"));
}

static void
refuse_long(struct control *c, struct port_request *r)
{
	log_event(EVENT_OPERATOR_BODY, G_LOG_LEVEL_WARNING, control_now(c),
	    "request on the operators' or targets' port refused: its body is "
	    "over %d bytes",
	    PORT_BODY_MAX);
	control_answer(r, 413, "text/plain",
	    g_string_new("the request's body is too long\n"));
}

static const struct port_path paths[] = {
	{ "/v1/target", control_target_handler, 1 },
	{ "/v1/status", control_status_handler, 0 },
	{ "/v1/members", control_members_handler, 0 },
	{ "/v1/targets", control_targets_handler, 0 },
	{ "/v1/explain", control_explain_handler, 0 },
	{ "/v1/drain", control_drain_handler, 0 },
	{ "/v1/undrain", control_drain_handler, 0 },
	{ "/v1/object", control_object_handler, 1 },
	{ "/metrics", control_metrics_handler, 0 },
};
static const struct port_path ready_path = { NULL, control_ready_handler, 0 };
static const struct port_path report_path = { NULL, control_report_handler, 1 };

static const struct port_path *
find_path(const struct control *c, const char *path)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++)
		if (!strcmp(paths[i].path, path))
			return &paths[i];
	if (!strcmp(path, c->dialect->ready_path))
		return &ready_path;
	if (c->dialect->report_path && !strcmp(path, c->dialect->report_path))
		return &report_path;
	return NULL;
}

/* The path of a request's target, which may be a whole URI. */
static const char *
path_of(const char *target)
{
	const char *path = strstr(target, "://");

	path = *target != '/' && path ? strchr(path + 3, '/') : target;
	return path ? path : "/";
}

static struct port_request *
request_new(struct control *c, struct http_exchange *x,
    const struct http_head *h)
{
	struct port_request *r = g_new0(struct port_request, 1);
	const char *path = path_of(h->path), *query = strchr(path, '?');

	r->control = c;
	r->exchange = x;
	r->method = g_strdup(h->method);
	r->path =
	    query ? g_strndup(path, (gsize)(query - path)) : g_strdup(path);
	r->query = query ? g_strdup(query + 1) : NULL;
	r->body = g_string_new(NULL);
	g_hash_table_add(c->port_requests, r);
	http_exchange_set_ctx(x, r);
	return r;
}

static void
hand(struct control *c, struct port_request *r)
{
	r->handed = 1;
	r->handler->handle(c, r);
}

/* A request that needs no body is answered before its body comes, which is
 * dropped then. */
static void
on_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	const struct control_port *p = ctx;
	struct control *c = p->control;
	struct port_request *r = request_new(c, x, h);

	r->handler = find_path(c, r->path);
	if (!r->handler)
		control_answer(r, 404, "text/plain",
		    g_string_new("there is no such path\n"));
	else if (h->length > PORT_BODY_MAX && r->handler->takes_body)
		refuse_long(c, r);
	else if (r->handler != &ready_path && is_full(c))
		control_refuse_port_request(c, r);
	else if (!r->handler->takes_body)
		hand(c, r);
}

static void
on_body(void *ctx, struct http_exchange *x, const void *data, size_t n)
{
	struct port_request *r = http_exchange_ctx(x);
	const struct control_port *p = ctx;
	struct control *c = p->control;

	if (!r || r->handed)
		return;
	if (r->body->len + n > PORT_BODY_MAX) {
		refuse_long(c, r);
		return;
	}
	if (is_full(c)) {
		control_refuse_port_request(c, r);
		return;
	}
	byte_limit_give(&c->port_bytes, r->counted);
	g_string_append_len(r->body, data, (gssize)n);
	r->counted = r->body->allocated_len;
	byte_limit_take(&c->port_bytes, r->counted);
}

static void
on_end(void *ctx, struct http_exchange *x)
{
	struct port_request *r = http_exchange_ctx(x);
	const struct control_port *p = ctx;

	if (r && !r->handed)
		hand(p->control, r);
}

static void
on_failed(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	struct port_request *r = http_exchange_ctx(x);

	(void)err;
	if (!r)
		return;
	r->exchange = NULL;
	if (!r->handed)
		request_free(r);
}

static void
on_replaced(void *ctx, uint64_t total)
{
	struct control_port *p = ctx;
	int64_t now = control_now(p->control);

	if (p->logged && now - p->logged < REPLACED_LOG_US)
		return;
	p->logged = now;
	log_event(EVENT_CONNECTION_REPLACED, G_LOG_LEVEL_WARNING, now,
	    "connections make way for new ones port=%s total=%" G_GUINT64_FORMAT,
	    p->name, total);
}

static const struct http_server_ops ops = {
	.request = on_request,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
	.replaced = on_replaced,
};

static int
open_port(struct control_port *p, int port, const char *name,
    struct kq_error *e)
{
	struct control *c = p->control;
	const struct settings *s = &c->settings;
	struct http_limits limits = { s->head_bytes, 0, s->head_ms, s->idle_ms,
		0 };
	struct descriptors d;

	p->name = name;
	if (!port)
		return 0;
	process_descriptors(&d);
	limits.connections = d.port;
	p->server =
	    http_server_new(c->task.loop, s->ip, port, &limits, &ops, p, e);
	if (!p->server)
		return kq_error_wrap(e, KQ_LAYER_DAEMON, 1, "%s_port", name);
	http_server_replace_idle(p->server, HTTP_REPLACE_ANY);
	http_server_limit_refused(p->server, d.refused);
	http_server_set_call_bytes(p->server, &c->port_bytes);
	return 0;
}

void
control_limit_port_bytes(struct control *c)
{
	struct memory_parts p;

	memory_divide(&p, c->settings.memory_mb);
	c->port_bytes.limit = p.ports;
}

int
control_open_ports(struct control *c, struct kq_error *e)
{
	const struct settings *s = &c->settings;
	int i;

	control_limit_port_bytes(c);
	for (i = 0; i < CONTROL_PORTS; i++)
		c->port[i].control = c;
	if (open_port(&c->port[0], s->operator_port, "operator", e) ||
	    open_port(&c->port[1], s->ready_port, "ready", e) ||
	    open_port(&c->port[2], s->heartbeat_port, "heartbeat", e))
		return -1;
	return 0;
}

/* Requests that a handler keeps are answered to nobody from here on. */
void
control_close_ports(struct control *c)
{
	int i;

	for (i = 0; i < CONTROL_PORTS; i++) {
		http_server_free(c->port[i].server);
		c->port[i].server = NULL;
	}
}

void
control_free_port_requests(struct control *c)
{
	GHashTableIter it;
	gpointer r;

	for (;;) {
		g_hash_table_iter_init(&it, c->port_requests);
		if (!g_hash_table_iter_next(&it, &r, NULL))
			break;
		request_free(r);
	}
	g_hash_table_unref(c->port_requests);
}
