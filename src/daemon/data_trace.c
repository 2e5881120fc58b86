#include "data_impl.h"

#define TRACE_FLUSH_US 1000000

static void
flush(void *ctx, int64_t now)
{
	struct data *d = ctx;
	GString *t =
	    trace_take(&d->traces, d->settings.name, d->settings.datacentre);

	if (t)
		d->events->spans(d->events_ctx, t);
	io_timer_set(d->task.loop, &d->trace_timer, now + TRACE_FLUSH_US);
}

void
data_trace_start(struct data *d)
{
	trace_sink_init(&d->traces, d->settings.trace_ratio, g_get_real_time(),
	    g_get_monotonic_time());
	if (!d->settings.trace.port)
		return;
	d->trace_timer.fire = flush;
	d->trace_timer.ctx = d;
	io_timer_set(d->task.loop, &d->trace_timer,
	    g_get_monotonic_time() + TRACE_FLUSH_US);
}

/* Goes on with the caller's trace, or samples one. */
void
outbound_trace_begin(struct out_call *c, const char *traceparent)
{
	struct data *d = c->data;
	struct trace_context above;

	if (!d->settings.trace.port)
		return;
	if (traceparent && !trace_parse(&above, traceparent))
		trace_child(&c->trace, &above);
	else if (rng_unit(&d->rng) < d->traces.ratio)
		trace_root(&c->trace, 1);
}

void
outbound_trace_call(struct out_call *c)
{
	struct data *d = c->data;
	struct trace_span s = { c->trace, "call", TRACE_SERVER, c->started,
		data_now(d), c->service->conf.name,
		c->outcome ? c->outcome : "caller-gone", c->status, 0 };

	trace_write(&d->traces, &s, data_now(d));
}

void
outbound_trace_attempt(struct out_attempt *a, const char *outcome, int status)
{
	struct data *d = a->call->data;
	struct trace_span s = { a->trace, "attempt", TRACE_CLIENT, a->started,
		data_now(d), a->call->service->conf.name, outcome, status,
		a->peer->incarnation };

	trace_write(&d->traces, &s, data_now(d));
}

void
inbound_trace_begin(struct in_call *c, const char *traceparent)
{
	struct trace_context above;

	if (!*traceparent || trace_parse(&above, traceparent))
		return;
	trace_child(&c->trace, &above);
}

void
inbound_trace_call(struct in_call *c)
{
	static const char *const names[] = { "abandoned", "answer", "kept",
		"not-run", "unknown", "gone" };
	struct data *d = c->data;
	struct trace_span s = { c->trace, "inbound", TRACE_SERVER, c->started,
		data_now(d), d->target.service, names[c->outcome],
		c->answer_status, c->from };

	trace_write(&d->traces, &s, data_now(d));
}

void
inbound_trace_target(struct in_call *c, const char *outcome)
{
	struct data *d = c->data;
	struct trace_span s = { c->target_trace, "target", TRACE_CLIENT,
		c->target_started, data_now(d), d->target.service, outcome,
		c->answer_status, 0 };

	trace_write(&d->traces, &s, data_now(d));
}
