#include <string.h>

#include "config.h"
#include "daemon/inbound/inbound.h"
#include "daemon/outbound/outbound.h"

/* For callers to take the last of their answers, and for other daemons to read
 * which calls were taken, at the end of a stop. */
#define FINISH_US 100000

int64_t
data_now(const struct data *d)
{
	return io_now(d->task.loop);
}

static void
conn_opened(void *ctx, struct peer_conn *conn)
{
	struct data *d = ctx;
	struct in_conn *ic;

	if (!peer_is_accepted(conn)) {
		out_peer_opened(peer_ctx(conn));
		return;
	}
	ic = g_new0(struct in_conn, 1);
	ic->data = d;
	ic->conn = conn;
	ic->id = ++d->next_conn;
	ic->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	peer_set_ctx(conn, ic);
	g_hash_table_insert(d->conns, &ic->id, ic);
	data_notice_opened(d, conn);
}

static void
conn_closed(void *ctx, struct peer_conn *conn)
{
	struct data *d = ctx;

	if (!peer_ctx(conn))
		return;
	data_notice_closed(d, conn);
	if (peer_is_accepted(conn))
		inbound_conn_closed(d, conn);
	else
		out_peer_closed(peer_ctx(conn));
}

static void
conn_body(void *ctx, struct peer_conn *conn, const struct wire_body *m)
{
	if (peer_is_accepted(conn))
		inbound_receive_body(conn, m);
	else
		outbound_body(peer_ctx(conn), m);
}

static void
conn_credit(void *ctx, struct peer_conn *conn, const struct wire_credit *m)
{
	if (peer_is_accepted(conn))
		inbound_receive_credit(conn, m);
	else if (m->flags & WIRE_CREDIT_LAST_TAKEN)
		out_peer_ended(peer_ctx(conn), m->call_xid);
	else
		outbound_credit(peer_ctx(conn), m);
}

static void
conn_pull(void *ctx, struct peer_conn *conn, uint32_t xid,
    const struct wire_pull *m)
{
	struct in_conn *ic = peer_ctx(conn);
	struct config_pull pull;
	struct data *d = ctx;

	pull.after = m->after;
	pull.full = m->full;
	pull.batch_id = m->number;
	d->events->pull_received(d->events_ctx, ic->id, xid, &pull);
}

static const struct peer_ops ops = {
	.opened = conn_opened,
	.closed = conn_closed,
	.call = inbound_receive_call,
	.reply = outbound_reply,
	.body = conn_body,
	.credit = conn_credit,
	.cancel = inbound_receive_cancel,
	.notice = data_notice_received,
	.probe = inbound_receive_probe,
	.probe_reply = outbound_probe_reply,
	.pull = conn_pull,
	.pull_reply = outbound_pull_reply,
};

static void
in_conn_free(gpointer p)
{
	struct in_conn *ic = p;

	g_hash_table_unref(ic->calls);
	g_free(ic);
}

static void
out_peer_free(gpointer v)
{
	struct out_peer *p = v;

	g_hash_table_unref(p->attempts);
	g_hash_table_unref(p->probes);
	g_ptr_array_unref(p->waiting);
	g_free(p);
}

static void
out_service_free(gpointer v)
{
	struct out_service *s = v;

	pick_free(s->pick);
	g_hash_table_unref(s->by_handle);
	g_free(s->rollout);
	g_free(s);
}

static void
make_tables(struct data *d)
{
	struct once_limits limits = ONCE_LIMITS_DEFAULT;

	d->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
	    out_service_free);
	d->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
	    out_peer_free);
	d->out_calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	d->out_routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->refused_names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->refusals =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->ramps = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	d->conns = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
	    in_conn_free);
	d->route_work =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->in_calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	d->accepted =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	d->measure_body = g_string_new(NULL);
	d->crashes = crash_new();
	outbound_quota_open(d);
	d->lost_runs = g_array_new(FALSE, FALSE, sizeof(struct lost_run));
	d->end_fd = -1;
	d->once = once_new(d->incarnation, &limits, inbound_once_reply, d);
	d->view = g_new0(struct view, 1);
	d->view->may_act = 1;
}

static int
open_ports(struct data *d, struct kq_error *e)
{
	const struct settings *s = &d->settings;
	struct http_limits limits = { s->head_bytes, s->connections, s->head_ms,
		s->idle_ms, !d->dialect->half_close };
	struct peer_keys keys = { 0 };

	keys.nkey = s->nkey;
	memcpy(keys.key, s->fleet_key, sizeof keys.key);
	data_limit_bytes(d);
	d->node = peer_node_new(d->task.loop, d->incarnation, &keys, &ops, d);
	peer_node_set_call_bytes(d->node, &d->call_bytes);
	if (peer_node_listen(d->node, s->ip, s->peer_port, e))
		return kq_error_wrap(e, KQ_LAYER_DAEMON, 1, "peer_port");
	d->server = http_server_new(d->task.loop, s->ip, s->caller_port,
	    &limits, &outbound_server_ops, d, e);
	if (!d->server)
		return kq_error_wrap(e, KQ_LAYER_DAEMON, 1, "caller_port");
	http_server_set_call_bytes(d->server, &d->call_bytes);
	return 0;
}

struct data *
data_new(const struct settings *s, uint64_t incarnation,
    const struct data_events *events, void *ctx, struct kq_error *e)
{
	struct data *d = g_new0(struct data, 1);

	d->settings = *s;
	d->dialect = dialect_find(s->dialect);
	d->incarnation = incarnation;
	d->events = events;
	d->events_ctx = ctx;
	rng_seed(&d->rng, incarnation);
	task_init(&d->task, "data");
	make_tables(d);
	data_trace_start(d);
	if (open_ports(d, e)) {
		data_stop(d);
		return NULL;
	}
	return d;
}

void
data_start(struct data *d)
{
	inbound_start_pause_timer(d);
	outbound_silence_start(d);
	task_start(&d->task);
}

static struct in_call *
find_call(struct data *d, int at_target)
{
	GHashTableIter it;
	struct in_call *c;
	gpointer v;

	g_hash_table_iter_init(&it, d->in_calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		c = v;
		if (!c->target_call == !at_target)
			return c;
	}
	return NULL;
}

/* Those that wait come first: the end of a running one would start them. */
static void
abort_calls(struct data *d)
{
	struct in_call *c;

	while ((c = find_call(d, 0)))
		inbound_abandon_call(c);
	while ((c = find_call(d, 1)))
		inbound_abort_run(c);
}

static int64_t
finish_by(const struct data *d)
{
	return MIN(io_clock() + FINISH_US, d->leave.exit_by);
}

void
data_stop(struct data *d)
{
	task_stop(&d->task);
	d->stopped = 1;
	if (d->leave.end)
		data_end_calls(d);
	data_log_leave(d);
	abort_calls(d);
	if (d->server && d->leave.end)
		http_server_finish(d->server, finish_by(d));
	if (d->server)
		http_server_free(d->server);
	if (d->node && d->leave.end)
		peer_node_finish(d->node, finish_by(d));
	if (d->node)
		peer_node_free(d->node);
	io_timer_clear(d->task.loop, &d->measure_timer);
	io_timer_clear(d->task.loop, &d->measure_timeout);
	io_timer_clear(d->task.loop, &d->admit_timer);
	io_timer_clear(d->task.loop, &d->once_timer);
	io_timer_clear(d->task.loop, &d->ramp_timer);
	io_timer_clear(d->task.loop, &d->silence_timer);
	io_timer_clear(d->task.loop, &d->drain_timer);
	io_timer_clear(d->task.loop, &d->leave_timer);
	io_timer_clear(d->task.loop, &d->pause_timer);
	io_timer_clear(d->task.loop, &d->switch_timer);
	inbound_stop_end_check(d);
	inbound_close_target(d);
	inbound_free_rollout(d);
	if (d->admit)
		admit_free(d->admit);
	once_free(d->once);
	crash_free(d->crashes);
	outbound_quota_close(d);
	g_array_unref(d->lost_runs);
	g_hash_table_unref(d->peers);
	g_hash_table_unref(d->services);
	g_hash_table_unref(d->out_calls);
	g_hash_table_unref(d->ramps);
	g_hash_table_unref(d->out_routes);
	g_hash_table_unref(d->refused_names);
	g_hash_table_unref(d->refusals);
	g_hash_table_unref(d->conns);
	g_hash_table_unref(d->in_calls);
	g_hash_table_unref(d->accepted);
	g_hash_table_unref(d->route_work);
	g_string_free(d->measure_body, TRUE);
	io_timer_clear(d->task.loop, &d->trace_timer);
	trace_sink_clear(&d->traces);
	view_free(d->view);
	task_clear(&d->task);
	g_free(d);
}
