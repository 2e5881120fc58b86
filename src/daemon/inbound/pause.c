#include "daemon/inbound/inbound.h"

#define BEAT_PERIOD_US 200000 /* of the timer that detects pauses */
/* The task counts as paused if it did not run for longer than this. */
#define PAUSE_MIN_US 1000000

/* After a pause this task may hold a configuration that is no longer in force,
 * so it takes no requests until the control task has sent a view made after the
 * pause. */
int
inbound_detect_pause(struct data *d)
{
	int64_t now = io_clock();

	if (d->last_run && now - d->last_run > PAUSE_MIN_US) {
		d->suspended = 1;
		d->pause_number++;
		d->events->paused(d->events_ctx, d->pause_number);
	}
	if (d->last_run)
		d->last_run = now;
	return d->suspended;
}

static void
beat_due(void *ctx, int64_t now)
{
	struct data *d = ctx;

	inbound_detect_pause(d);
	io_timer_set(d->task.loop, &d->pause_timer, now + BEAT_PERIOD_US);
}

void
inbound_start_pause_timer(struct data *d)
{
	d->last_run = io_clock();
	d->pause_timer.fire = beat_due;
	d->pause_timer.ctx = d;
	io_timer_set(d->task.loop, &d->pause_timer,
	    d->last_run + BEAT_PERIOD_US);
}

void
inbound_end_pause(struct data *d)
{
	if (d->view->may_act && d->view->pause_number == d->pause_number)
		d->suspended = 0;
}
