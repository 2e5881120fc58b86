#include "daemon/inbound/inbound.h"

enum pace_verdict
inbound_pace(struct data *d)
{
	int64_t now = data_now(d);
	int can_ask = !d->measure_call && !d->draining &&
		      budget_next(&d->measure_budget) <= now;
	enum pace_verdict v = pace_judge(&d->pace, now, can_ask);

	if (v == PACE_ASK) {
		if (inbound_measure_now(d)) {
			admit_hold(d->admit, 0);
			return PACE_GO;
		}
		v = PACE_WAIT;
	}
	admit_hold(d->admit, v == PACE_GO ? 0 : pace_due(&d->pace, now));
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
		if (c->state == IN_QUEUED && c->choosy)
			g_ptr_array_add(slow, c);
	}
	for (i = 0; i < slow->len; i++) {
		c = g_ptr_array_index(slow, i);
		if (admit_cancel(d->admit, c->queue_handle))
			inbound_refuse_queued(c, WIRE_REASON_SLOW);
	}
	g_ptr_array_unref(slow);
}

void
inbound_pace_note(struct data *d, int pace)
{
	int64_t now = data_now(d);

	pace_note(&d->pace, now, pace,
	    d->admit && admit_told_cold(d->admit, now));
	if (d->admit && admit_queued(d->admit) && pace_slow(&d->pace, now))
		refuse_queued_slow(d);
}

void
inbound_pace_lost(struct data *d)
{
	pace_lost(&d->pace);
}
