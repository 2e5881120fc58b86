#include <string.h>

#include "daemon/inbound/inbound.h"
#include "rollout_codec.h"

#define CANCELLED_LATE_US                                   \
	20000 /* a cancellation so near the deadline is one \
	       */

/**
 * struct in_rollout - what is counted of the target beside this daemon for an
 * order of its service
 * @report: totals, as they are sent
 * @decider: that got the last report
 * @sent_at: time of the last report that was sent, 0 if none was
 * @changed: totals have changed since then
 */
struct in_rollout {
	struct rollout_report report;
	uint64_t decider;
	int64_t sent_at;
	int changed;
	struct io_timer timer;
};

/* Where targets tell how long they are cold, nothing is guessed: a target
 * without requests would count as cold until it got some. */
int
inbound_is_cold(const struct data *d, int64_t now)
{
	return d->dialect->cold_field ? admit_reported_cold(d->admit, now)
				      : admit_cold(d->admit, now);
}

/* The order of the service of the target, NULL if there is none or the version
 * of the target is not known. */
static const struct view_rollout *
order_of_target(const struct data *d)
{
	if (!d->has_target || !d->target.version[0] || !d->view->nrollout)
		return NULL;
	return view_rollout(d->view, d->target.service);
}

static int
is_new(const struct data *d, const struct view_rollout *v)
{
	return !strcmp(d->target.version, v->order.version);
}

static int
is_running(const struct view_rollout *v)
{
	return v->status.state != ROLLOUT_COMPLETED &&
	       v->status.state != ROLLOUT_ROLLED_BACK;
}

int
inbound_version_refused(const struct data *d)
{
	const struct view_rollout *v = order_of_target(d);

	if (!v)
		return 0;
	if (is_new(d, v))
		return v->status.state == ROLLOUT_ROLLED_BACK;
	return v->status.state == ROLLOUT_SHIFTING && v->status.share >= 1;
}

int
inbound_version_rolled_back(const struct data *d)
{
	const struct view_rollout *v = order_of_target(d);

	return v && is_new(d, v) && v->status.state == ROLLOUT_ROLLED_BACK;
}

static uint64_t
own_digest(const struct data *d)
{
	char text[IP_TEXT_MAX + 8];

	g_snprintf(text, sizeof text, "%s:%d", d->settings.ip,
	    d->settings.peer_port);
	return rollout_digest(text);
}

static void
send_report(struct data *d, uint64_t decider, int64_t now)
{
	unsigned char buf[ROLLOUT_REPORT_BYTES];
	struct in_rollout *r = d->in_rollout;
	size_t n;

	r->report.sequence++;
	if (decider == d->incarnation) {
		d->events->rollout_report(d->events_ctx, &r->report);
	} else {
		n = rollout_report_encode(&r->report, buf, sizeof buf);
		if (!decider ||
		    data_send_notice(d, decider, NOTICE_ROLLOUT, buf, n))
			return;
	}
	r->decider = decider;
	r->sent_at = now;
	r->changed = 0;
}

/* Fills in what is not counted but read. */
static void
update_state(struct data *d, int64_t now)
{
	struct rollout_report *r = &d->in_rollout->report;
	uint32_t in_flight = d->admit ? (uint32_t)admit_in_flight(d->admit) : 0;
	int warm = d->admit && !inbound_is_cold(d, now) && !d->target_draining;

	if (in_flight != r->in_flight || warm != r->warm)
		d->in_rollout->changed = 1;
	r->in_flight = in_flight;
	r->warm = warm;
}

/* Totals that a notice lost are in the next one. */
static void
report_due(void *ctx, int64_t now)
{
	struct data *d = ctx;
	struct in_rollout *r = d->in_rollout;
	const struct view_rollout *v = order_of_target(d);

	if (!v || !is_running(v))
		return;
	update_state(d, now);
	if (r->changed || r->decider != v->decider ||
	    now - r->sent_at >= ROLLOUT_REPEAT_US)
		send_report(d, v->decider, now);
	io_timer_set(d->task.loop, &r->timer, now + ROLLOUT_REPORT_US);
}

/* Starts to count anew, for another order or another run of the target. */
static void
begin(struct data *d, const struct view_rollout *v, uint64_t start)
{
	struct in_rollout *r = d->in_rollout;

	if (!r)
		d->in_rollout = r = g_new0(struct in_rollout, 1);
	memset(&r->report, 0, sizeof r->report);
	r->report.order = v->order.id;
	r->report.reporter = d->incarnation;
	r->report.target = own_digest(d);
	r->report.start = start;
	r->sent_at = 0;
	r->changed = 1;
	r->timer.fire = report_due;
	r->timer.ctx = d;
}

void
inbound_update_rollout(struct data *d)
{
	const struct view_rollout *v = order_of_target(d);
	struct in_rollout *r = d->in_rollout;
	uint64_t start;
	uint32_t sequence;

	if (!v || !is_running(v)) {
		if (r)
			io_timer_clear(d->task.loop, &r->timer);
		return;
	}
	start = rollout_digest(d->target.start_id);
	if (!r || r->report.order != v->order.id || r->report.start != start) {
		sequence = r ? r->report.sequence : 0;
		begin(d, v, start);
		r = d->in_rollout;
		r->report.sequence = sequence;
	}
	r->report.is_new = is_new(d, v);
	if (!r->timer.pos || r->decider != v->decider)
		report_due(d, data_now(d));
}

void
inbound_free_rollout(struct data *d)
{
	if (!d->in_rollout)
		return;
	io_timer_clear(d->task.loop, &d->in_rollout->timer);
	g_clear_pointer(&d->in_rollout, g_free);
}

static int
counts(const struct data *d)
{
	const struct view_rollout *v = order_of_target(d);

	return v && is_running(v) && d->in_rollout &&
	       d->in_rollout->report.order == v->order.id;
}

void
inbound_rollout_started(struct data *d)
{
	if (!counts(d))
		return;
	d->in_rollout->report.started++;
	d->in_rollout->changed = 1;
}

/* Counts of a route; those for which there is no room share one entry. */
static struct rollout_route *
route_counts(struct rollout_report *r, uint32_t route)
{
	int i;

	for (i = 0; i < r->nroute; i++)
		if (r->route[i].route == route)
			return &r->route[i];
	if (r->nroute == ROLLOUT_ROUTES_MAX - 1 && route != ROLLOUT_ROUTE_OTHER)
		return route_counts(r, ROLLOUT_ROUTE_OTHER);
	r->route[r->nroute].route = route;
	return &r->route[r->nroute++];
}

static void
note(struct in_call *c, int failed, int64_t now)
{
	struct data *d = c->data;
	struct rollout_route *r;
	int64_t us = now - c->target_started;

	if (!counts(d) || inbound_is_cold(d, now) || c->begun_cold)
		return;
	if (!failed && pace_slow(&d->pace, now))
		return;
	r = route_counts(&d->in_rollout->report, c->route);
	if (failed)
		r->failed++;
	else
		r->time[rollout_time_bucket(us)]++;
	d->in_rollout->changed = 1;
}

void
inbound_rollout_answered(struct in_call *c)
{
	note(c, c->answer_status >= 500, data_now(c->data));
}

void
inbound_rollout_lost(struct in_call *c)
{
	note(c, 1, data_now(c->data));
}

/* A call that nobody waits for any more as its deadline has passed had no whole
 * answer in time. Of any other one nothing is known. */
void
inbound_rollout_cancelled(struct in_call *c)
{
	int64_t now = data_now(c->data);

	if (now >= c->deadline - CANCELLED_LATE_US)
		note(c, 1, now);
}

void
inbound_rollout_notice(struct data *d, uint64_t sender, const void *content,
    size_t n)
{
	struct rollout_report r;

	if (rollout_report_decode(&r, content, n) || r.reporter != sender)
		return;
	d->events->rollout_report(d->events_ctx, &r);
}
