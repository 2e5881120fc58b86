#include "daemon/inbound/inbound.h"

void
inbound_trace_begin(struct in_call *c, const char *traceparent)
{
	struct trace_context parent;

	if (!*traceparent || trace_parse(&parent, traceparent))
		return;
	trace_start_child(&c->trace, &parent);
}

void
inbound_trace_call(struct in_call *c)
{
	static const char *const names[] = { "abandoned", "answer", "kept",
		"not-run", "unknown", "gone" };
	struct data *d = c->data;
	struct trace_span s = { c->trace, "inbound", TRACE_SERVER, c->started,
		data_now(d), d->target.service, names[c->outcome],
		c->answer_status, c->sender_incarnation };

	trace_write_span(&d->traces, &s, data_now(d));
}

void
inbound_trace_target(struct in_call *c, const char *outcome)
{
	struct data *d = c->data;
	struct trace_span s = { c->target_trace, "target", TRACE_CLIENT,
		c->target_started, data_now(d), d->target.service, outcome,
		c->answer_status, 0 };

	trace_write_span(&d->traces, &s, data_now(d));
}
