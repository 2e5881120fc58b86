#include "daemon/inbound/inbound.h"
#include "log.h"

/* Ends requests at the target whose answer nobody waits for and that do not end
 * by themselves: a faulty target may send bytes until its connection is
 * closed. */

/* From a request's deadline, at which the target stops working on it, until its
 * connection is closed. */
#define OVERRUN_US 1000000
#define CANCELLED_BYTES_MAX 65536 /* of an answer after the cancellation */

static void
abort_overrun(struct in_call *c, const char *why)
{
	log_request_event(EVENT_RUN_ABORTED, G_LOG_LEVEL_WARNING,
	    data_now(c->data), inbound_request_id(c), why,
	    "closed the connection to the target: its answer does not end "
	    "request=%s reason=%s bytes=%zu",
	    inbound_request_id(c), why, c->unwanted_bytes);
	inbound_abort_run(c);
}

static void
overrun_due(void *ctx, int64_t now)
{
	struct in_call *c = ctx;

	if (c->conn && !c->cancelled)
		io_timer_set(c->data->task.loop, &c->overrun_timer,
		    now + OVERRUN_US);
	else
		abort_overrun(c, "deadline");
}

void
inbound_start_overrun_timer(struct in_call *c)
{
	c->overrun_timer.fire = overrun_due;
	c->overrun_timer.ctx = c;
	io_timer_set(c->data->task.loop, &c->overrun_timer,
	    c->deadline + OVERRUN_US);
}

int
inbound_note_unwanted_bytes(struct in_call *c, size_t n)
{
	c->unwanted_bytes += n;
	if (c->cancelled && c->unwanted_bytes > CANCELLED_BYTES_MAX) {
		abort_overrun(c, "cancelled");
		return 1;
	}
	/* A longer answer is not kept for a repeat; the work goes on. */
	if (!c->cancelled && c->unwanted_bytes > WIRE_WINDOW)
		http_call_pause(c->target_call, 1);
	return 0;
}
