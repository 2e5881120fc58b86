#include "daemon/inbound/inbound.h"

enum pace_verdict
inbound_judge_pace(struct data *d)
{
	int64_t now = data_now(d);
	int can_ask = !d->measure_call && !d->draining &&
		      budget_next_time(&d->measure_budget) <= now;
	enum pace_verdict v = pace_judge(&d->pace, now, can_ask);

	if (inbound_awaits_first_answer(d)) {
		inbound_measure_target(d);
		admit_set_hold(d->admit, now + PACE_RECHECK_US);
		return PACE_WAIT;
	}
	if (v == PACE_MEASURE) {
		/* Without a reading to wait for, admission is not held. */
		if (inbound_measure_target(d)) {
			admit_set_hold(d->admit, 0);
			return PACE_GO;
		}
		v = PACE_WAIT;
	}
	admit_set_hold(d->admit,
	    v == PACE_GO ? 0 : pace_next_check(&d->pace, now));
	return v;
}

/* The target's machine is slow: refuses the queued calls for which the outbound
 * side can try another target. */
static void
refuse_queued_slow(struct data *d)
{
	GPtrArray *slow = g_ptr_array_new();
	GHashTableIter it;
	struct in_call *c;
	gpointer v;
	guint i;

	g_hash_table_iter_init(&it, d->in_calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		c = v;
		if (c->state == IN_QUEUED && c->refuse_if_slow)
			g_ptr_array_add(slow, c);
	}
	for (i = 0; i < slow->len; i++) {
		c = g_ptr_array_index(slow, i);
		if (admit_cancel(d->admit, c->queue_handle))
			inbound_refuse_call(c, WIRE_REASON_SLOW);
	}
	g_ptr_array_unref(slow);
}

void
inbound_note_pace(struct data *d, int pace)
{
	int64_t now = data_now(d);

	pace_note_reading(&d->pace, now, pace,
	    d->admit && admit_reported_cold(d->admit, now));
	if (d->admit && admit_queued(d->admit) && pace_slow(&d->pace, now))
		refuse_queued_slow(d);
}

void
inbound_pace_reading_failed(struct data *d)
{
	pace_reading_failed(&d->pace);
}
