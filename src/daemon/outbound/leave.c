#include "daemon/outbound/outbound.h"

/* A repeat always goes on: its earlier run may have an answer already. A
 * request that is still being read is asked again before it is sent on. */
int
outbound_fits(struct out_call *c)
{
	int64_t deadline =
	    c->state == OUT_READING ? c->deadline : outbound_latest_deadline(c);

	c->leave = data_leave_decide(c->data, deadline, c->time);
	return c->repeat || c->leave.basis != LEAVE_REFUSED;
}

void
outbound_refuse_leaving(struct out_call *c)
{
	c->data->counters.leave_refused++;
	c->reason = WIRE_REASON_DRAINING;
	outbound_give_up_call(c);
}

/* Calls @fn for each call; it may end that call and others. */
static void
for_each_call(struct data *d, void (*fn)(struct out_call *))
{
	guint i, n;
	gpointer *call = g_hash_table_get_keys_as_array(d->out_calls, &n);

	for (i = 0; i < n; i++)
		if (g_hash_table_contains(d->out_calls, call[i]))
			fn(call[i]);
	g_free(call);
}

/* An attempt that waits for its connection has not run. */
static void
cancel_waiting(struct out_call *c)
{
	int i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state == ATTEMPT_WAITING)
			outbound_attempt_cancel(&c->attempt[i], "not-sent");
}

/* The answers that came so far are those of short requests. An attempt that
 * waits for its connection tells nothing about that. */
static void
note_open(struct out_call *c)
{
	int64_t now = data_now(c->data);
	int i;

	if (c->state != OUT_TRYING || !c->body_whole)
		return;
	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state == ATTEMPT_SENT)
			answer_time_note_open(c->time,
			    now - c->attempt[i].started);
}

static void
refuse_late(struct out_call *c)
{
	if ((c->state != OUT_READING &&
		!outbound_has_attempt(c, ATTEMPT_WAITING)) ||
	    outbound_fits(c))
		return;
	cancel_waiting(c);
	if (outbound_has_attempt(c, ATTEMPT_SENT))
		return;
	if (!c->may_have_run) {
		outbound_refuse_leaving(c);
		return;
	}
	c->reason = WIRE_REASON_DRAINING;
	outbound_give_up_call(c);
}

void
outbound_refuse_late(struct data *d)
{
	for_each_call(d, note_open);
	for_each_call(d, refuse_late);
}

void
outbound_take_answers(struct data *d)
{
	for_each_call(d, outbound_take_answer);
}

static void
end_call(struct out_call *c)
{
	cancel_waiting(c);
	if (!outbound_has_attempt(c, ATTEMPT_SENT) && !c->may_have_run) {
		outbound_refuse_leaving(c);
		return;
	}
	c->data->counters.leave_ended++;
	c->data->counters.leave_usual_ended += c->leave.basis == LEAVE_BY_USUAL;
	c->reason = WIRE_REASON_DRAINING;
	if (c->state == OUT_ANSWERING)
		outbound_give_up_call(c);
	else
		outbound_answer_unknown(c);
}

void
outbound_end_calls(struct data *d)
{
	for_each_call(d, end_call);
}
