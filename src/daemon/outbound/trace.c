#include "daemon/outbound/outbound.h"

void
outbound_trace_begin(struct out_call *c, const char *traceparent)
{
	struct data *d = c->data;
	struct trace_context parent;

	if (!d->settings.trace.port)
		return;
	if (traceparent && !trace_parse(&parent, traceparent))
		trace_start_child(&c->trace, &parent);
	else if (rng_unit(&d->rng) < d->traces.sample_ratio)
		trace_start_root(&c->trace, 1);
}

void
outbound_trace_call(struct out_call *c)
{
	struct data *d = c->data;
	struct trace_span s = { c->trace, "call", TRACE_SERVER, c->started,
		data_now(d), c->service->conf.name,
		c->outcome ? c->outcome : "caller-gone", c->status, 0 };

	trace_write_span(&d->traces, &s, data_now(d));
}

void
outbound_trace_attempt(struct out_attempt *a, const char *outcome, int status)
{
	struct data *d = a->call->data;
	struct trace_span s = { a->trace, "attempt", TRACE_CLIENT, a->started,
		data_now(d), a->call->service->conf.name, outcome, status,
		a->peer->incarnation };

	trace_write_span(&d->traces, &s, data_now(d));
}
