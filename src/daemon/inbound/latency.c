#include "daemon/inbound/inbound.h"
#include "log.h"

void
inbound_note_latency(struct in_call *c)
{
	struct data *d = c->data;
	double us = (double)(data_now(d) - c->target_started);

	if (c->answer_status >= 300)
		return;
	if (!c->answer_held_up)
		answer_time_note(c->time, (int64_t)us);
	if (!c->work)
		return;
	if (knee_note_time(&d->knee, c->work, us, c->begun_pace,
		c->begun_in_flight, d->target.slots)) {
		log_event(EVENT_TARGET_KNEE, G_LOG_LEVEL_INFO, data_now(d),
		    "target slows down when nearly full id=%s limit=%d slots=%d "
		    "low=%.2f high=%.2f",
		    d->target.id, knee_limit(&d->knee, d->target.slots),
		    d->target.slots, d->knee.low, d->knee.high);
		admit_set_knee(d->admit, knee_limit(&d->knee, d->target.slots));
	}
	work_note_time(c->work, us, c->begun_pace);
}
