#include <stdio.h>
#include <string.h>

#include "daemon/inbound/inbound.h"
#include "log.h"

/* Whether the target says that it did not run the request. */
static int
says_not_run(const struct data *d, const struct http_head *h)
{
	if (d->dialect->misdirected_status &&
	    h->status == d->dialect->misdirected_status)
		return 1;
	return http_head_find(h, d->dialect->not_run_field) != NULL;
}

/* Why an answer can't be passed on, or NULL: in a dialect with signatures it
 * has a content coding or lacks the signature that each 2xx answer has. */
static const char *
invalid_reason(const struct in_call *c, const struct http_head *h)
{
	const struct dialect *v = c->data->dialect;

	if (!v->signature_field)
		return NULL;
	if (h->status >= 200 && h->status < 300 &&
	    !http_head_find(h, v->signature_field))
		return "not-signed";
	if (http_head_find(h, "Content-Encoding"))
		return "encoded";
	return NULL;
}

static void
note_load(struct data *d, const struct http_head *h)
{
	const char *text;
	struct target_load l;

	if (!d->dialect->load_field)
		return;
	text = http_head_find(h, d->dialect->load_field);
	if (text && !d->dialect->read_load(text, &l))
		inbound_note_pace(d, l.pace);
}

/* The target did not run the request. If the target is not the one that was
 * named, nothing more is sent to it until the next heartbeat identifies it. */
static void
target_not_run(struct in_call *c, const struct http_head *h)
{
	struct data *d = c->data;

	if (d->dialect->misdirected_status &&
	    h->status == d->dialect->misdirected_status)
		d->target_unusable = 1;
	if (c->once_entry)
		once_known_not_run(d->once, c->once_entry);
	c->once_entry = 0;
	http_call_cancel(c->target_call);
	c->target_call = NULL;
	inbound_trace_target(c, "shed");
	inbound_finish_run(c, ADMIT_SHED);
}

/* Drops an answer that can't be used. The request was sent, so the outbound
 * side is told that it may have run. */
static void
drop_answer(struct in_call *c, const char *why)
{
	struct data *d = c->data;

	log_request_event(EVENT_ANSWER_UNUSABLE, G_LOG_LEVEL_WARNING,
	    data_now(d), inbound_request_id(c), why,
	    "discarded the answer of the target request=%s reason=%s",
	    inbound_request_id(c), why);
	http_call_cancel(c->target_call);
	c->target_call = NULL;
	inbound_trace_target(c, why);
	inbound_rollout_lost(c);
	c->was_sent = 1;
	inbound_finish_run(c, ADMIT_FAILED);
}

/* Replies with the head alone, since no bytes of the body came yet. */
static void
hold_due(void *ctx, int64_t now)
{
	struct in_call *c = ctx;

	if (c->answer_held)
		inbound_reply_head(c, WIRE_ANSWER, NULL, 0, 1);
}

static void
target_head(void *ctx, const struct http_head *h)
{
	struct in_call *c = ctx;
	struct data *d = c->data;
	const char *used = http_head_find(h, FIELD_RETRIES_USED), *why;

	if (c->cancelled)
		return;
	/* Before any statement in it is used: "not run" may be about another
	 * request. */
	if (inbound_answers_other(c, h)) {
		drop_answer(c, "other-request");
		return;
	}
	note_load(d, h);
	inbound_note_answer(c, h);
	if (says_not_run(d, h)) {
		target_not_run(c, h);
		return;
	}
	why = invalid_reason(c, h);
	if (why) {
		drop_answer(c, why);
		return;
	}
	c->retries_used = used ? g_ascii_strtoull(used, NULL, 10) : 0;
	head_copy(&c->answer, NULL, NULL, h->length, h->field, h->nfield);
	c->answer.length = h->length;
	c->answer_status = h->status;
	c->answer_held = 1;
	c->state = IN_ANSWERING;
	c->timer.fire = hold_due;
	c->timer.ctx = c;
	/* The reply to a short answer waits for the answer's body: if the
	 * answer breaks off before, another target can still be tried. The
	 * reply to a longer one goes out with the first bytes of the body, or
	 * with the head alone once the timer, which is due now, fires. */
	if (h->length < 0 || h->length > WIRE_CHUNK_MAX)
		io_timer_set(d->task.loop, &c->timer, data_now(d));
	if (c->once_entry)
		once_store_head(d->once, c->once_entry, h->status,
		    (const struct once_field *)c->answer.field,
		    c->answer.nfield);
}

static void
target_body(void *ctx, const void *p, size_t n)
{
	struct in_call *c = ctx;

	if ((c->cancelled || !c->conn) && inbound_note_unwanted_bytes(c, n))
		return;
	if (c->cancelled)
		return;
	if (c->once_entry)
		once_store_body(c->data->once, c->once_entry, p, n);
	inbound_forward_answer(c, p, n, 0, 0);
}

static void
target_done(void *ctx)
{
	struct in_call *c = ctx;
	struct data *d = c->data;
	enum admit_outcome o;

	c->target_call = NULL;
	if (c->cancelled) {
		inbound_rollout_cancelled(c);
		inbound_trace_target(c, "cancelled");
		inbound_finish_run(c, ADMIT_CANCELLED);
		return;
	}
	inbound_rollout_answered(c);
	inbound_trace_target(c, "whole");
	histogram_add(&d->target_us, data_now(d) - c->target_started);
	inbound_note_latency(c);
	data_note_answered(d, c->digest);
	o = c->answer_status == 500 || c->answer_status == 503 ? ADMIT_FAILED
							       : ADMIT_GOOD;
	if (c->once_entry)
		once_done(d->once, c->once_entry);
	c->once_entry = 0;
	admit_done(d->admit, data_now(d), &c->run, o);
	inbound_forward_answer(c, NULL, 0, 1, 0);
	inbound_process_queue(d);
}

static void
target_failed(void *ctx, const struct kq_error *e, int sent)
{
	struct in_call *c = ctx;
	struct data *d = c->data;

	c->target_call = NULL;
	if (c->cancelled) {
		inbound_rollout_cancelled(c);
		inbound_trace_target(c, "cancelled");
		inbound_finish_run(c,
		    e->code == HTTP_E_TIMEOUT ? ADMIT_RESET : ADMIT_CANCELLED);
		return;
	}
	if (!sent && e->code == HTTP_E_CONNECT)
		d->target_unusable = 1;
	log_request_event(EVENT_TARGET_NO_ANSWER, G_LOG_LEVEL_INFO, data_now(d),
	    inbound_request_id(c), sent ? "lost" : "not-sent",
	    "no complete answer from the target request=%s sent=%d error=\"%s\"",
	    inbound_request_id(c), sent, e->text);
	inbound_trace_target(c, sent ? "lost" : "not-sent");
	if (sent)
		inbound_rollout_lost(c);
	if (sent && e->code == HTTP_E_CLOSED)
		inbound_note_lost(c);
	if (c->once_entry && sent)
		once_answer_lost(d->once, c->once_entry);
	else if (c->once_entry)
		sent =
		    once_known_not_run(d->once, c->once_entry) == ONCE_UNKNOWN;
	c->once_entry = 0;
	c->was_sent = sent;
	inbound_finish_run(c, ADMIT_RESET);
}

static void
target_drained(void *ctx)
{
	inbound_flush_body(ctx);
}

static const struct http_call_ops target_ops = {
	.head = target_head,
	.body = target_body,
	.done = target_done,
	.failed = target_failed,
	.drained = target_drained,
	.is_extra = inbound_is_extra_answer,
};

void
inbound_finish_run(struct in_call *c, enum admit_outcome o)
{
	struct data *d = c->data;

	admit_done(d->admit, data_now(d), &c->run, o);
	if (c->once_entry)
		once_answer_lost(d->once, c->once_entry);
	c->once_entry = 0;
	if (o == ADMIT_CANCELLED || !c->conn)
		inbound_call_free(c);
	else if (o == ADMIT_SHED)
		inbound_reply_outcome(c, WIRE_NOT_RUN, WIRE_REASON_SHED);
	else if (c->state == IN_ANSWERING && !c->answer_held)
		inbound_forward_answer(c, NULL, 0, 1, 1);
	else
		inbound_reply_outcome(c,
		    c->was_sent ? WIRE_UNKNOWN : WIRE_NOT_RUN,
		    d->calls_ended ? WIRE_REASON_DRAINING : WIRE_REASON_LOST);
	inbound_process_queue(d);
}

/* Writes the header fields that this program sets for the target; returns how
 * many. */
static int
add_own_fields(struct in_call *c, struct http_field *f, char text[][32])
{
	const struct dialect *v = c->data->dialect;
	int n = 0;
	int64_t left = (c->deadline - data_now(c->data)) / 1000;

	snprintf(text[0], 32, "%lld", (long long)(left > 0 ? left : 0));
	f[n++] = (struct http_field){ v->target_deadline_field, text[0] };
	if (v->target_id_field && c->data->target.id[0])
		f[n++] = (struct http_field){ v->target_id_field,
			c->data->target.id };
	if (!v->passes_retry_budget)
		return n;
	snprintf(text[1], 32, "%u", c->depth);
	snprintf(text[2], 32, "%u", c->retries_left);
	f[n++] = (struct http_field){ v->deadline_field, text[0] };
	f[n++] = (struct http_field){ FIELD_DEPTH, text[1] };
	f[n++] = (struct http_field){ FIELD_RETRIES_LEFT, text[2] };
	if (c->id[0])
		f[n++] = (struct http_field){ FIELD_REQUEST_ID, c->id };
	return n;
}

/* Whether a field of the call is left out, since this program sets its own. */
static int
is_replaced(const struct in_call *c, const char *name)
{
	const struct dialect *v = c->data->dialect;
	const char *const names[] = { v->target_deadline_field,
		v->deadline_field, v->target_id_field, FIELD_DEPTH,
		FIELD_RETRIES_LEFT, FIELD_REQUEST_ID };
	size_t i;

	for (i = 0; i < sizeof names / sizeof *names; i++)
		if (names[i] && !g_ascii_strcasecmp(name, names[i]))
			return 1;
	return c->trace.sampled && !g_ascii_strcasecmp(name, "traceparent");
}

static void
start_target_call(struct in_call *c)
{
	struct http_field f[HTTP_FIELDS_MAX + ADDED_FIELDS_MAX];
	char text[3][32], trace[TRACEPARENT_LEN + 1];
	int i, n = 0;

	for (i = 0; i < c->head.nfield; i++)
		if (!is_replaced(c, c->head.field[i].name))
			f[n++] = c->head.field[i];
	n += add_own_fields(c, f + n, text);
	c->target_started = data_now(c->data);
	c->begun_pace = c->data->pace.value;
	c->begun_in_flight = admit_in_flight(c->data->admit);
	c->begun_cold = inbound_is_cold(c->data, c->target_started);
	if (c->trace.sampled) {
		trace_start_child(&c->target_trace, &c->trace);
		trace_format(&c->target_trace, trace);
		f[n++] = (struct http_field){ "traceparent", trace };
	}
	c->target_call =
	    http_call_start(c->data->pool, c->head.method, c->head.path, f, n,
		c->head.length, !c->idempotent, &target_ops, c, NULL);
}

/* Refuses an admitted call of which nothing was written, so that the request
 * certainly did not run; frees it. */
static void
reply_not_sent(struct in_call *c, int64_t now, uint32_t reason)
{
	struct data *d = c->data;

	if (c->once_entry)
		once_known_not_run(d->once, c->once_entry);
	c->once_entry = 0;
	admit_done(d->admit, now, &c->run, ADMIT_CANCELLED);
	inbound_reply_outcome(c, WIRE_NOT_RUN, reason);
}

void
inbound_run_call(struct in_call *c)
{
	struct data *d = c->data;
	int64_t now = io_clock();

	c->state = IN_RUNNING;
	if (c->once_entry ? !once_begin_send(d->once, c->once_entry, now)
			  : now >= c->deadline) {
		c->once_entry = 0;
		admit_done(d->admit, now, &c->run, ADMIT_CANCELLED);
		inbound_reply_outcome(c, WIRE_NOT_RUN, WIRE_REASON_DEADLINE);
		inbound_process_queue(d);
		return;
	}
	if (inbound_detect_pause(d)) {
		reply_not_sent(c, now, WIRE_REASON_PAUSED);
		return;
	}
	if (!inbound_fits(c)) {
		inbound_note_leave_refusal(c);
		reply_not_sent(c, now, WIRE_REASON_DRAINING);
		inbound_process_queue(d);
		return;
	}
	if (inbound_crashes_targets(c)) {
		reply_not_sent(c, now, WIRE_REASON_CRASHES);
		inbound_process_queue(d);
		return;
	}
	if (inbound_version_rolled_back(d)) {
		reply_not_sent(c, now, WIRE_REASON_VERSION);
		inbound_process_queue(d);
		return;
	}
	start_target_call(c);
	if (!c->target_call) {
		reply_not_sent(c, now, WIRE_REASON_FULL);
		return;
	}
	inbound_tag_call(c);
	inbound_rollout_started(d);
	log_request_id(EVENT_REQUESTS_SENT, now, inbound_request_id(c), NULL);
	if (c->work)
		work_note_admission(c->work, 1);
	inbound_start_overrun_timer(c);
	inbound_flush_body(c);
}

static void
refuse_popped(struct in_call *c, enum admit_reason reason)
{
	inbound_refuse_call(c, reason == ADMIT_DRAINING ? WIRE_REASON_DRAINING
			       : reason == ADMIT_OUT	? WIRE_REASON_OUT
							: WIRE_REASON_DEADLINE);
}

static void
queue_due(void *ctx, int64_t now)
{
	inbound_process_queue(ctx);
}

void
inbound_process_queue(struct data *d)
{
	struct admit_item item;
	enum admit_pop p;
	struct in_call *c;
	int64_t due;

	if (!d->admit)
		return;
	if (admit_queued(d->admit))
		inbound_judge_pace(d);
	while (
	    (p = admit_pop(d->admit, data_now(d), &item)) != ADMIT_POP_NONE) {
		c = g_hash_table_lookup(d->in_calls,
		    GUINT_TO_POINTER(item.tag));
		if (!c)
			continue;
		c->run = item.run;
		if (p == ADMIT_POP_RUN)
			inbound_run_call(c);
		else
			refuse_popped(c, item.reason);
	}
	if (d->idle_wanted)
		data_check_drained(d);
	due = admit_timer(d->admit, data_now(d));
	d->admit_timer.fire = queue_due;
	d->admit_timer.ctx = d;
	if (due == INT64_MAX)
		io_timer_clear(d->task.loop, &d->admit_timer);
	else
		io_timer_set(d->task.loop, &d->admit_timer, due);
}
