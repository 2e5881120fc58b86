#include "daemon/inbound/inbound.h"

#define BEAT_PERIOD_US 200000 /* of the timer that detects pauses */
/* The task counts as paused if it did not run for longer than this. */
#define PAUSE_MIN_US 1000000

/* After a pause this task may hold a configuration that is no longer in force,
 * so it takes no requests until the control task has sent a view made after the
 * pause. */
int
inbound_suspended(struct data *d)
{
	int64_t now = io_clock();

	if (d->last_beat && now - d->last_beat > PAUSE_MIN_US) {
		d->suspended = 1;
		d->pause++;
		d->events->paused(d->events_ctx, d->pause);
	}
	if (d->last_beat)
		d->last_beat = now;
	return d->suspended;
}

static void
beat_due(void *ctx, int64_t now)
{
	struct data *d = ctx;

	inbound_suspended(d);
	io_timer_set(d->task.loop, &d->beat_timer, now + BEAT_PERIOD_US);
}

void
inbound_beat_start(struct data *d)
{
	d->last_beat = io_clock();
	d->beat_timer.fire = beat_due;
	d->beat_timer.ctx = d;
	io_timer_set(d->task.loop, &d->beat_timer,
	    d->last_beat + BEAT_PERIOD_US);
}

void
inbound_resume(struct data *d)
{
	if (d->view->may_act && d->view->pause == d->pause)
		d->suspended = 0;
}
