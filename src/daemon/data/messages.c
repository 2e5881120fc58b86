#include <string.h>

#include "config.h"
#include "daemon/inbound/inbound.h"
#include "daemon/outbound/outbound.h"
#include "log.h"

#define DRAIN_CHECK_US 20000 /* between checks for open caller connections */
/* Longest wait for callers' connections to close, as answers may still be on
 * their way; a stop waits until its end. */
#define DRAIN_CONNECTIONS_MAX_US 5000000

/* Limits on callers given with the routes override those in the settings. */
static void
apply_limits(struct data *d)
{
	const struct settings *s = &d->settings;
	struct http_limits limits = { s->head_bytes, s->connections, s->head_ms,
		s->idle_ms, !d->dialect->half_close };
	const struct routing_limits *l;

	if (!d->view->routing)
		return;
	l = &d->view->routing->limits;
	if (l->head_bytes)
		limits.head_bytes = l->head_bytes;
	if (l->head_ms)
		limits.head_ms = l->head_ms;
	if (l->idle_ms)
		limits.idle_ms = l->idle_ms;
	http_server_set_limits(d->server, &limits);
}

static void
set_view(void *ctx, void *message)
{
	struct data *d = ctx;

	inbound_detect_pause(d);
	view_free(d->view);
	d->view = message;
	apply_limits(d);
	outbound_apply_view(d);
	inbound_take_view(d);
	outbound_quota_view(d);
}

void
data_set_view(struct data *d, struct view *v)
{
	task_post(&d->task, set_view, d, v);
}

static void
set_target(void *ctx, void *message)
{
	if (!((struct data *)ctx)->draining)
		inbound_set_target(ctx, message);
	g_free(message);
}

void
data_set_target(struct data *d, const struct data_target *t)
{
	task_post(&d->task, set_target, d, g_memdup2(t, sizeof *t));
}

static void
drain_target(void *ctx, void *message)
{
	struct data *d = ctx;

	d->has_next_target = 0;
	d->idle_wanted = 1;
	inbound_drain_target(d);
	data_check_drained(d);
}

void
data_drain_target(struct data *d)
{
	task_post(&d->task, drain_target, d, NULL);
}

static void
drain(void *ctx, void *message)
{
	struct data *d = ctx;

	if (d->draining)
		return;
	d->draining = 1;
	d->drain_started = data_now(d);
	drain_target(d, NULL);
	io_timer_clear(d->task.loop, &d->measure_timer);
	http_server_stop(d->server);
	data_check_drained(d);
}

static void
set_settings(void *ctx, void *message)
{
	struct data *d = ctx;

	settings_copy_live(&d->settings, message);
	data_limit_bytes(d);
	g_free(message);
	if (!d->view->routing)
		return;
	apply_limits(d);
	outbound_apply_view(d);
	inbound_take_view(d);
}

void
data_set_settings(struct data *d, const struct settings *s)
{
	task_post(&d->task, set_settings, d, g_memdup2(s, sizeof *s));
}

struct suspicion {
	uint64_t incarnation;
	int suspected;
	int64_t at;
};

static void
suspect(void *ctx, void *message)
{
	struct suspicion *s = message;

	outbound_set_suspected(ctx, s->incarnation, s->suspected, s->at);
	g_free(s);
}

void
data_set_suspected(struct data *d, uint64_t incarnation, int suspected)
{
	struct suspicion s = { incarnation, suspected, io_clock() };

	task_post(&d->task, suspect, d, g_memdup2(&s, sizeof s));
}

void
data_drain(struct data *d)
{
	task_post(&d->task, drain, d, NULL);
}

/* Switches to the next target if nothing is in flight any more. */
static void
switch_due(void *ctx, int64_t now)
{
	struct data *d = ctx;

	if (d->has_next_target && !admit_in_flight(d->admit))
		inbound_set_target(d, &d->next_target);
}

static void
check_drained_again(void *ctx, int64_t now)
{
	data_check_drained(ctx);
}

static int
callers_connected(const struct data *d)
{
	return http_server_connections(d->server) ||
	       http_server_is_listening(d->server);
}

void
data_check_drained(struct data *d)
{
	if (d->stopped)
		return;
	/* Later, as this may be within a callback of the connections that are
	 * closed then. */
	if (d->has_next_target && !admit_in_flight(d->admit)) {
		d->switch_timer.fire = switch_due;
		d->switch_timer.ctx = d;
		io_timer_set(d->task.loop, &d->switch_timer, data_now(d));
	}
	if (d->idle_wanted && (!d->admit || !admit_in_flight(d->admit))) {
		d->idle_wanted = 0;
		d->events->target_idle(d->events_ctx);
	}
	if (!d->draining || d->drained_sent)
		return;
	if (g_hash_table_size(d->out_calls) || g_hash_table_size(d->in_calls))
		return;
	if (callers_connected(d) &&
	    (d->leave.end ||
		data_now(d) - d->drain_started < DRAIN_CONNECTIONS_MAX_US)) {
		d->drain_timer.fire = check_drained_again;
		d->drain_timer.ctx = d;
		io_timer_set(d->task.loop, &d->drain_timer,
		    data_now(d) + DRAIN_CHECK_US);
		return;
	}
	d->drained_sent = 1;
	d->events->drained(d->events_ctx);
}

struct send_page_message {
	uint64_t conn;
	uint32_t xid;
	struct config_batch *batch;
};

static void
fill_state(const struct config_batch *b, struct wire_state *m)
{
	struct wire_object *o;
	gsize n;
	int i;

	m->after = b->after;
	m->upto = b->upto;
	m->complete = b->complete;
	m->flags =
	    (b->more ? WIRE_STATE_MORE : 0) | (b->full ? WIRE_STATE_FULL : 0);
	m->number = b->batch_id;
	m->nobject = b->nobject;
	for (i = 0; i < b->nobject; i++) {
		o = &m->object[i];
		o->kind = b->object[i].kind;
		o->version = b->object[i].version;
		o->serial = b->object[i].serial;
		o->removed = b->object[i].removed;
		o->name = b->object[i].name;
		o->value = NULL;
		o->value_len = 0;
		o->unpacked_size = b->object[i].unpacked_size;
		if (!b->object[i].value)
			continue;
		o->value = g_bytes_get_data(b->object[i].value, &n);
		o->value_len = n;
	}
}

static int
answer_pull(struct peer_conn *conn, const struct send_page_message *p)
{
	struct wire_state *m;
	int bad;

	if (p->batch->nobject > WIRE_PULL_OBJECTS_MAX)
		return -1;
	m = g_new0(struct wire_state, 1);
	fill_state(p->batch, m);
	bad = peer_send_pull_reply(conn, p->xid, m);
	g_free(m);
	return bad;
}

static void
send_page(void *ctx, void *message)
{
	struct send_page_message *m = message;
	struct data *d = ctx;
	struct in_conn *ic = g_hash_table_lookup(d->conns, &m->conn);

	G_STATIC_ASSERT(CONFIG_PAGE_OBJECTS <= WIRE_PULL_OBJECTS_MAX);
	G_STATIC_ASSERT(CONFIG_VALUE_MAX <= WIRE_OBJECT_MAX);
	if (ic && answer_pull(ic->conn, m))
		log_event(EVENT_CONFIG_NOT_SENT, G_LOG_LEVEL_WARNING,
		    data_now(d),
		    "page of the configuration not sent objects=%d upto=%" G_GUINT64_FORMAT,
		    m->batch->nobject, m->batch->upto);
	config_batch_clear(m->batch);
	g_free(m->batch);
	g_free(m);
}

void
data_send_config_page(struct data *d, uint64_t conn, uint32_t xid,
    struct config_batch *b)
{
	struct send_page_message *m = g_new0(struct send_page_message, 1);

	m->conn = conn;
	m->xid = xid;
	m->batch = b;
	task_post(&d->task, send_page, d, m);
}

struct report_message {
	enum data_report kind;
	data_report_fn *fn;
	void *ctx;
};

static void
report(void *ctx, void *message)
{
	struct report_message *m = message;
	GString *text = g_string_new(NULL);

	if (m->kind == DATA_METRICS)
		data_write_metrics(ctx, text);
	else if (m->kind == DATA_TARGETS)
		data_write_targets(ctx, text);
	else
		data_write_explain(ctx, text);
	m->fn(m->ctx, text);
	g_free(m);
}

void
data_report(struct data *d, enum data_report kind, data_report_fn *fn,
    void *ctx)
{
	struct report_message *m = g_new0(struct report_message, 1);

	m->kind = kind;
	m->fn = fn;
	m->ctx = ctx;
	task_post(&d->task, report, d, m);
}
