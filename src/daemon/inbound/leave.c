#include "daemon/inbound/inbound.h"

/* Own callers' requests are counted by the outbound side. */
static int
is_of_other(const struct in_call *c)
{
	return c->sender_incarnation != c->data->incarnation;
}

/* The usual time counts only for own callers, whose daemon ends with this one,
 * if no daemon that stays can take the call, and only at the pace of before the
 * stop. */
int
inbound_fits(struct in_call *c)
{
	struct data *d = c->data;
	int usual = c->nowhere_else && !is_of_other(c) &&
		    !pace_above(&d->pace, d->leave_pace);

	c->leave = data_leave_decide(d, c->deadline, usual ? c->time : NULL);
	return c->leave.basis != LEAVE_REFUSED;
}

void
inbound_note_leave_refusal(struct in_call *c)
{
	c->data->counters.in_leave_refused += is_of_other(c);
}

void
inbound_refuse_leaving(struct in_call *c)
{
	inbound_note_leave_refusal(c);
	inbound_refuse_call(c, WIRE_REASON_DRAINING);
}

/* Ends a call that was not sent to the target. One that waits for the
 * configuration was not looked up in the at-most-once table yet, and a repeat
 * that waits for the answer of its earlier run may have run. */
static void
end_waiting(struct in_call *c)
{
	struct data *d = c->data;

	if (c->state == IN_QUEUED)
		admit_cancel(d->admit, c->queue_handle);
	if (c->state == IN_WAITING_ANSWER)
		once_cancel_waiter(d->once, c->once_waiter);
	if (c->state == IN_WAITING_ANSWER ||
	    (c->state == IN_WAITING_VERSION && c->repeat)) {
		d->counters.in_leave_ended += is_of_other(c);
		inbound_reply_outcome(c, WIRE_UNKNOWN, WIRE_REASON_DRAINING);
		return;
	}
	inbound_refuse_leaving(c);
}

/* Ends a call whose request runs, so that the outbound side can try another
 * target while there is time. */
static void
end_running(struct in_call *c)
{
	struct counters *n = &c->data->counters;

	n->in_leave_ended += is_of_other(c);
	n->leave_usual_ended +=
	    is_of_other(c) && c->leave.basis == LEAVE_BY_USUAL;
	if (!c->target_call) {
		inbound_forward_answer(c, NULL, 0, 1, 1);
		return;
	}
	http_call_cancel(c->target_call);
	c->target_call = NULL;
	c->was_sent = 1;
	inbound_trace_target(c, "stopped");
	inbound_finish_run(c, ADMIT_RESET);
}

static int
is_waiting(const struct in_call *c)
{
	return c->state == IN_WAITING_VERSION || c->state == IN_QUEUED ||
	       c->state == IN_WAITING_ANSWER;
}

/* The answers that came so far are those of short requests. */
static void
note_open(struct in_call *c)
{
	if (c->state == IN_RUNNING && c->body_last == 2 && !c->cancelled)
		answer_time_note_open(c->time,
		    data_now(c->data) - c->target_started);
}

static void
refuse_late(struct in_call *c)
{
	if ((c->state == IN_QUEUED ||
		(c->state == IN_WAITING_VERSION && !c->repeat)) &&
	    !inbound_fits(c))
		end_waiting(c);
}

static void
end_if_waiting(struct in_call *c)
{
	if (c->conn && is_waiting(c))
		end_waiting(c);
}

static void
end_if_running(struct in_call *c)
{
	if (c->conn && !c->cancelled && !is_waiting(c))
		end_running(c);
}

/* Calls @fn for each call; it may end that call and others. */
static void
for_each_call(struct data *d, void (*fn)(struct in_call *))
{
	guint i, n;
	gpointer *tag = g_hash_table_get_keys_as_array(d->in_calls, &n);
	struct in_call *c;

	for (i = 0; i < n; i++) {
		c = g_hash_table_lookup(d->in_calls, tag[i]);
		if (c)
			fn(c);
	}
	g_free(tag);
}

void
inbound_refuse_late(struct data *d)
{
	for_each_call(d, note_open);
	for_each_call(d, refuse_late);
}

/* Those that wait come first: the end of a running one would start them. */
void
inbound_end_calls(struct data *d)
{
	for_each_call(d, end_if_waiting);
	for_each_call(d, end_if_running);
}
