#include "daemon/data/impl.h"

#define TRACE_FLUSH_PERIOD_US 1000000

static void
flush_spans(void *ctx, int64_t now)
{
	struct data *d = ctx;
	GString *t = trace_take_spans(&d->traces, d->settings.name,
	    d->settings.datacentre);

	if (t)
		d->events->spans_ready(d->events_ctx, t);
	io_timer_set(d->task.loop, &d->trace_timer,
	    now + TRACE_FLUSH_PERIOD_US);
}

void
data_trace_start(struct data *d)
{
	trace_sink_init(&d->traces, d->settings.trace_ratio, g_get_real_time(),
	    io_clock());
	if (!d->settings.trace.port)
		return;
	d->trace_timer.fire = flush_spans;
	d->trace_timer.ctx = d;
	io_timer_set(d->task.loop, &d->trace_timer,
	    io_clock() + TRACE_FLUSH_PERIOD_US);
}
