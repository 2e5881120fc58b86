#include "daemon/inbound/inbound.h"
#include "daemon/outbound/outbound.h"
#include "log.h"

#define CHECK_US 50000 /* between checks for requests that no longer fit */
/* Bytes that the kernel may take for all callers, until the ports close and
 * then: the largest buffers, as Linux sets them, of 16 and 64 callers. */
#define KERNEL_EARLY_BYTES 67108864
#define KERNEL_BYTES 268435456

void
data_end_calls(struct data *d)
{
	d->calls_ended = 1;
	outbound_end_calls(d);
	inbound_end_calls(d);
}

/* What a caller did not read is taken from other daemons and given to the
 * kernel, which has it after this process. */
static void
unbind_answers(struct data *d, int64_t now)
{
	d->unbound = 1;
	outbound_take_answers(d);
	http_server_unbind(d->server,
	    now < d->leave.close_by ? KERNEL_EARLY_BYTES : KERNEL_BYTES);
}

static void
leave_due(void *ctx, int64_t now)
{
	struct data *d = ctx;

	if (now >= d->leave.answer_by) {
		data_end_calls(d);
		return;
	}
	unbind_answers(d, now);
	outbound_refuse_late(d);
	inbound_refuse_late(d);
	io_timer_set(d->task.loop, &d->leave_timer,
	    MIN(now + CHECK_US, d->leave.answer_by));
}

static void
leave(void *ctx, void *message)
{
	struct data *d = ctx;

	d->leave = *(struct leave_plan *)message;
	d->leave_pace = pace_base(&d->pace);
	g_free(message);
	http_server_disable_keepalive(d->server);
	outbound_allow_silence(d);
	d->leave_timer.fire = leave_due;
	d->leave_timer.ctx = d;
	leave_due(d, data_now(d));
}

void
data_leave(struct data *d, const struct leave_plan *p)
{
	task_post(&d->task, leave, d, g_memdup2(p, sizeof *p));
}

struct leave_decision
data_leave_decide(struct data *d, int64_t deadline, const struct answer_time *t)
{
	return leave_decide(&d->leave, data_now(d), deadline, t);
}

void
data_log_leave(struct data *d)
{
	const struct counters *n = &d->counters;
	uint64_t ended = n->leave_ended + n->in_leave_ended;

	if (!d->leave.end)
		return;
	log_event(EVENT_STOP_CALLS,
	    ended ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE, data_now(d),
	    "requests that the stop refused, not run, and that it ended while "
	    "they ran refused=%" G_GUINT64_FORMAT
	    " refused_peers=%" G_GUINT64_FORMAT " ended=%" G_GUINT64_FORMAT
	    " ended_peers=%" G_GUINT64_FORMAT
	    " ended_taken_by_usual=%" G_GUINT64_FORMAT,
	    n->leave_refused, n->in_leave_refused, n->leave_ended,
	    n->in_leave_ended, n->leave_usual_ended);
}
