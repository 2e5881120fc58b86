#include <string.h>

#include "daemon/inbound/inbound.h"

#define TARGET_SPARE_CONNECTIONS 4 /* idle, opened ahead of use */
#define TARGET_MARGIN_MIN 2 /* connections left unused, at least */
#define COLD_LIMIT_UNKNOWN 1 /* until a configuration names the service */
#define TARGET_MARGIN_DIVISOR 16 /* one more unused for each so many */

/* Connections to the target that may be open at once. The target counts a
 * closed connection as open until it has read the end of its stream, so a
 * margin below its limit is left unused: a connection above the limit would be
 * closed by the target, with a request on it. */
static int
usable_connections(const struct data_target *t)
{
	int margin = TARGET_MARGIN_MIN + t->connections / TARGET_MARGIN_DIVISOR;

	return MAX(1, t->connections - margin);
}

/* One of them is left for measurements: a late second answer to a request is
 * not taken for the answer to a measurement then, or the other way round. */
static int
request_connections(const struct data_target *t)
{
	return MAX(1, usable_connections(t) - 1);
}

static void
fill_admit_config(const struct data *d, const struct service *s,
    struct admit_config *a)
{
	a->slots = d->target.slots;
	a->connections = request_connections(&d->target);
	a->cold_limit = s ? s->cold_limit : COLD_LIMIT_UNKNOWN;
	a->cold_calls = s ? s->cold_calls : 0;
	a->cold_good_us = (s ? s->cold_good_ms : 100) * (int64_t)1000;
	a->cold_idle_us = (s ? s->cold_idle_ms : 0) * (int64_t)1000;
	a->queue_max = s ? s->queue_max : SERVICE_QUEUE_MAX;
	a->knee = knee_limit(&d->knee, d->target.slots);
	admit_set_cold_rate(a, s ? s->cold_per_s : 0,
	    d->settings.cold_overshoot, d->settings.cold_slack);
}

void
inbound_set_service(struct data *d, const struct service *s)
{
	struct admit_config a;

	fill_admit_config(d, s, &a);
	admit_configure(d->admit, &a);
	g_strlcpy(d->health_path, s->health_path, sizeof d->health_path);
	budget_set_rate(&d->measure_budget, s->measure_per_s);
	inbound_schedule_measure(d);
}

void
inbound_close_target(struct data *d)
{
	inbound_cancel_measure(d);
	if (d->pool)
		http_pool_free(d->pool);
	if (d->measure_pool)
		http_pool_free(d->measure_pool);
	d->pool = d->measure_pool = NULL;
}

static void
open_target(struct data *d)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	const struct data_target *t = &d->target;

	d->pool = http_pool_new(d->task.loop, t->ip, t->port,
	    request_connections(t), TARGET_SPARE_CONNECTIONS, &limits);
	http_pool_set_call_bytes(d->pool, &d->call_bytes);
	d->measure_pool =
	    http_pool_new(d->task.loop, t->ip, t->port, 1, 0, &limits);
}

/* Discards all state of the previous target and starts afresh, for a target
 * that differs by same_target() or returns after a drain. */
static void
replace_target(struct data *d, const struct service *s)
{
	struct admit_config a;

	memset(&d->pace, 0, sizeof d->pace);
	memset(&d->knee, 0, sizeof d->knee);
	fill_admit_config(d, s, &a);
	if (d->admit)
		admit_free(d->admit);
	d->admit = admit_new(&a, data_now(d));
	admit_set_stated_rate(d->admit, data_now(d), d->stated.per_s);
	inbound_await_first_answer(d);
	admit_set_out(d->admit,
	    view_datacentre_out(d->view, d->settings.datacentre));
	inbound_close_target(d);
	open_target(d);
	g_strlcpy(d->health_path, s ? s->health_path : "",
	    sizeof d->health_path);
	budget_init(&d->measure_budget, s ? s->measure_per_s : 0, data_now(d));
	inbound_schedule_measure(d);
}

static int
same_target(const struct data_target *a, const struct data_target *b)
{
	return a->port == b->port && !strcmp(a->ip, b->ip) &&
	       !strcmp(a->service, b->service) && a->slots == b->slots &&
	       a->connections == b->connections;
}

static int
same_run(const struct data_target *a, const struct data_target *b)
{
	return a->id[0] ? !strcmp(a->id, b->id)
			: !strcmp(a->start_id, b->start_id);
}

/* A target is not replaced while requests are in flight or queued for it: its
 * connections are closed then. */
static int
target_busy(const struct data *d)
{
	return d->admit &&
	       (admit_in_flight(d->admit) || admit_queued(d->admit));
}

/* Takes the target in use into use again after a drain. */
static void
resume_target(struct data *d)
{
	d->target_draining = 0;
	admit_resume(d->admit);
}

void
inbound_drain_target(struct data *d)
{
	d->target_draining = 1;
	if (!d->admit)
		return;
	admit_drain(d->admit);
	inbound_process_queue(d);
}

void
inbound_set_target(struct data *d, const struct data_target *t)
{
	int same = d->has_target && same_target(&d->target, t);
	int restarted =
	    d->has_target && strcmp(d->target.start_id, t->start_id);

	if (same && !restarted && d->target_draining)
		resume_target(d);
	d->has_next_target = 0;
	if ((!same || d->target_draining) && target_busy(d)) {
		inbound_drain_target(d);
		d->next_target = *t;
		d->has_next_target = 1;
		return;
	}
	if (restarted)
		inbound_target_ended(d);
	if (d->has_target && !same_run(&d->target, t))
		inbound_forget_stated(d);
	d->target = *t;
	d->has_target = 1;
	if (!same || d->target_draining)
		replace_target(d, view_service(d->view, t->service));
	else if (restarted)
		admit_restarted(d->admit, data_now(d));
	d->target_draining = 0;
	d->target_unusable = 0;
	admit_set_cold(d->admit, data_now(d), t->cold_until);
	inbound_update_rollout(d);
}

void
inbound_fill_load(struct data *d, struct load_report *r)
{
	memset(r, 0, sizeof *r);
	if (!d->admit) {
		r->draining = 1;
		return;
	}
	admit_report(d->admit, data_now(d), r);
	if (d->settings.rollout_share > 0)
		r->cold = (uint8_t)inbound_is_cold(d, data_now(d));
	r->draining |= d->target_unusable;
	r->pace = pace_over_base(&d->pace);
	r->pace_age_us = MIN(data_now(d) - d->pace.read_at, UINT32_MAX);
}

void
inbound_receive_probe(void *ctx, struct peer_conn *conn, uint32_t xid)
{
	struct wire_probe_result m;
	struct data *d = ctx;

	m.clock = data_now(d);
	inbound_fill_load(d, &m.load);
	peer_send_probe_reply(conn, xid, &m);
}
