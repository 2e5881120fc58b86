#include <string.h>

#include "daemon/outbound/outbound.h"
#include "log.h"

/* Limits of organisations: what the core decides, applied to calls. */

static int
send_notice(void *ctx, uint64_t to, const void *bytes, size_t n)
{
	return data_send_notice(ctx, to, NOTICE_QUOTA, bytes, n);
}

static void
refuse(struct out_call *c, int64_t retry_after_us)
{
	c->retry_after_us = retry_after_us;
	c->data->counters.quota_refused++;
	outbound_answer_error(c, 429, c->repeat ? "unknown" : "not-run",
	    "quota", "the organisation is over its limit of requests\n");
}

/* Only noted, since it may come while another call of the same connection is
 * handled, which the answer could end. */
static void
decided(void *ctx, void *request, int admitted, int64_t retry_after_us)
{
	struct out_call *c = request;
	struct data *d = c->data;

	c->quota_waits = admitted ? QUOTA_WAIT_ADMITTED : QUOTA_WAIT_REFUSED;
	c->retry_after_us = retry_after_us;
	g_ptr_array_add(d->quota_decided, c);
	io_timer_set(d->task.loop, &d->quota_decided_timer, data_now(d));
}

/* Starts or refuses the calls that were decided on. Each may end others. */
static void
go_on(void *ctx, int64_t now)
{
	struct data *d = ctx;
	struct out_call *c;
	int admitted;

	while (d->quota_decided->len) {
		c = g_ptr_array_remove_index(d->quota_decided, 0);
		admitted = c->quota_waits == QUOTA_WAIT_ADMITTED;
		c->quota_waits = QUOTA_WAIT_NOT;
		if (admitted)
			outbound_start_waiting(c);
		else
			refuse(c, c->retry_after_us);
	}
}

/* Which figure limits an organisation. */
static const char *
limited_by(const struct quota_figures *f)
{
	return f->unanswered ? "grantor-silent" : "rate";
}

static void
limited(void *ctx, const struct quota_figures *f, int begins)
{
	struct data *d = ctx;
	int64_t now = data_now(d);

	if (begins)
		log_event(EVENT_QUOTA_LIMITED, G_LOG_LEVEL_WARNING, now,
		    "requests of an organisation are refused organisation=%s "
		    "by=%s rate_per_s=%g burst=%g grantor=%016" G_GINT64_MODIFIER
		    "x",
		    f->name, limited_by(f), f->rate_per_s, f->burst,
		    f->grantor);
	else
		log_event(EVENT_QUOTA_FREE, G_LOG_LEVEL_MESSAGE, now,
		    "no request of an organisation was refused for a while "
		    "organisation=%s after_us=%" G_GINT64_FORMAT
		    " refused_total=%" G_GUINT64_FORMAT,
		    f->name, now - f->limited_since, f->refused);
}

static const struct quota_events events = { send_notice, decided, limited };

static void
tick(void *ctx, int64_t now)
{
	struct data *d = ctx;

	quota_tick(d->quota, now);
	if (quota_any(d->quota))
		io_timer_set(d->task.loop, &d->quota_timer,
		    now + QUOTA_TICK_US);
	else
		d->quota_ticks = 0;
}

void
outbound_quota_open(struct data *d)
{
	d->quota = quota_new(rng_next(&d->rng), &events, d);
	d->quota_timer.fire = tick;
	d->quota_timer.ctx = d;
	d->quota_decided = g_ptr_array_new();
	d->quota_decided_timer.fire = go_on;
	d->quota_decided_timer.ctx = d;
}

void
outbound_quota_close(struct data *d)
{
	io_timer_clear(d->task.loop, &d->quota_timer);
	io_timer_clear(d->task.loop, &d->quota_decided_timer);
	g_ptr_array_unref(d->quota_decided);
	quota_free(d->quota);
}

static int
same_place(const struct instance *a, const struct instance *b)
{
	return a->peer_port == b->peer_port && !strcmp(a->ip, b->ip);
}

/* Whether a daemon was replaced by another process at its address. */
static int
is_replaced(const struct view *v, const struct instance *in)
{
	int i;

	for (i = 0; i < v->ninstance; i++)
		if (v->instance[i].live &&
		    same_place(&v->instance[i].instance, in))
			return 1;
	return 0;
}

static enum quota_state
state_of(const struct data *d, const struct view_instance *vi)
{
	if (vi->live)
		return QUOTA_ALIVE;
	if (vi->left || is_replaced(d->view, &vi->instance) ||
	    (vi->instance.peer_port == d->settings.peer_port &&
		!strcmp(vi->instance.ip, d->settings.ip)))
		return QUOTA_LEFT;
	return QUOTA_LOST;
}

static void
set_members(struct data *d)
{
	const struct view *v = d->view;
	struct quota_member *m = g_new0(struct quota_member, v->ninstance + 1);
	int i, n = 0, others = 0;

	for (i = 0; i < v->ninstance; i++) {
		if (v->instance[i].instance.incarnation == d->incarnation ||
		    !v->instance[i].instance.incarnation)
			continue;
		m[n].incarnation = v->instance[i].instance.incarnation;
		m[n].state = state_of(d, &v->instance[i]);
		others += m[n++].state == QUOTA_ALIVE;
	}
	/* One that leaves gives its share up, unless nobody takes it. */
	m[n].incarnation = d->incarnation;
	m[n++].state =
	    (d->draining || d->leave.end) && others ? QUOTA_LEFT : QUOTA_ALIVE;
	quota_set_members(d->quota, m, n, d->incarnation, data_now(d));
	g_free(m);
}

static void
set_limits(struct data *d)
{
	const struct routing *r = d->view->routing;
	const struct routing_organisation *o;
	int64_t now = data_now(d);
	int i;

	quota_begin_limits(d->quota);
	for (i = 0; r && i < r->norganisation; i++) {
		o = &r->organisation[i];
		if (o->rate_per_s > 0)
			quota_set_limits(d->quota, o->name, o->rate_per_s,
			    o->burst, now);
	}
	quota_end_limits(d->quota, now);
}

void
outbound_quota_view(struct data *d)
{
	set_members(d);
	set_limits(d);
	if (d->quota_ticks || !quota_any(d->quota))
		return;
	d->quota_ticks = 1;
	io_timer_set(d->task.loop, &d->quota_timer,
	    data_now(d) + QUOTA_TICK_US);
}

void
outbound_quota_admit(struct out_call *c)
{
	int64_t retry_after_us;

	if (!*c->organisation)
		return;
	switch (quota_admit(c->data->quota, c->organisation, c,
	    data_now(c->data), &retry_after_us)) {
	case QUOTA_WAITS:
		c->quota_waits = QUOTA_WAIT_OPEN;
		break;
	case QUOTA_REFUSED:
		refuse(c, retry_after_us);
		break;
	case QUOTA_ADMITTED:
		break;
	}
}

void
outbound_quota_cancel(struct out_call *c)
{
	if (c->quota_waits == QUOTA_WAIT_OPEN)
		quota_cancel(c->data->quota, c->organisation, c);
	else if (c->quota_waits)
		g_ptr_array_remove(c->data->quota_decided, c);
}

void
outbound_quota_extra(const struct out_call *c)
{
	if (*c->organisation)
		quota_count_extra(c->data->quota, c->organisation,
		    data_now(c->data));
}
