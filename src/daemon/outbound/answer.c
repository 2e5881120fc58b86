#include <string.h>

#include "daemon/outbound/outbound.h"
#include "log.h"

#define RETRY_AFTER_FRACTION 0.25 /* of the time left until the deadline */
#define RETRY_AFTER_JITTER 0.5 /* largest part taken off at random */
#define RETRY_AFTER_MIN_S 0.02
#define RETRY_AFTER_MAX_S 1.0

static int
any_open(const struct out_call *c)
{
	int i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state != ATTEMPT_UNUSED)
			return 1;
	return 0;
}

/* Only a fraction of the time left, so that the caller's next request can still
 * be served in time; with jitter, so that callers refused at the same time do
 * not retry at the same time. Always 1 second in a dialect that passes on the
 * retry budget. */
void
outbound_retry_after(const struct out_call *c, char *text)
{
	int64_t now = data_now(c->data), left = c->deadline - now, until;
	double s = left / 1e6 * RETRY_AFTER_FRACTION *
		   (1 - RETRY_AFTER_JITTER * rng_unit(&c->data->rng));

	s = CLAMP(s, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
	if (c->retry_after_us) {
		g_snprintf(text, RETRY_AFTER_TEXT_MAX, "%.3f",
		    c->retry_after_us / 1e6);
		return;
	}
	until = c->reason == WIRE_REASON_CRASHES
		    ? crash_refused_until(c->data->crashes, c->digest, now)
		    : 0;
	if (until) {
		g_snprintf(text, RETRY_AFTER_TEXT_MAX, "%" G_GINT64_FORMAT,
		    (until - now) / G_USEC_PER_SEC + 1);
		return;
	}
	if (c->data->dialect->passes_retry_budget)
		g_snprintf(text, RETRY_AFTER_TEXT_MAX, "%d", 1);
	else
		g_snprintf(text, RETRY_AFTER_TEXT_MAX, "%.3f", s);
}

void
outbound_answer_error(struct out_call *c, int status, const char *outcome,
    const char *reason, const char *text)
{
	struct http_field f[ADDED_FIELDS_MAX] = { { FIELD_OUTCOME, outcome },
		{ FIELD_REASON, reason }, { "Content-Type", "text/plain" } };
	char after[RETRY_AFTER_TEXT_MAX];
	struct http_exchange *x = c->exchange;
	struct counters *n = &c->data->counters;
	int nf = 3, i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		outbound_attempt_cancel(&c->attempt[i], "given-up");
	if (status == 503) {
		n->refused++;
		outbound_count_refusal(c->data, c->organisation, reason);
	} else if (status == 504) {
		n->unknown++;
	} else if (status == 502) {
		n->failed++;
	} else if (status != 429) {
		n->bad_requests++;
	}
	if (c->id[0] && c->data->dialect->passes_retry_budget)
		f[nf++] = (struct http_field){ FIELD_REQUEST_ID, c->id };
	if (status == 503 || status == 429) {
		outbound_retry_after(c, after);
		f[nf++] = (struct http_field){ "Retry-After", after };
	}
	http_exchange_write_head(x, status, f, nf, strlen(text));
	http_exchange_write(x, text, strlen(text));
	c->exchange = NULL;
	c->outcome = outcome;
	c->status = status;
	http_exchange_end(x);
	outbound_call_free(c);
}

/* Takes an answer that broke off back, if nothing of it has reached the caller:
 * the call is as if it had not come. Return: 0, or -1. */
static int
take_answer_back(struct out_call *c)
{
	if (!http_exchange_take_back(c->exchange))
		return -1;
	outbound_hold_end(c);
	c->state = OUT_TRYING;
	c->winner = NULL;
	c->answered_by = 0;
	c->status = 0;
	c->may_have_run = 1;
	return 0;
}

static void
log_unknown(const struct out_call *c, const char *reason)
{
	const char *id = data_request_id(c->data, &c->head, c->id);

	log_request_event(EVENT_OUTCOME_UNKNOWN, G_LOG_LEVEL_WARNING,
	    data_now(c->data), id, reason,
	    "outcome unknown service=%s request=%s request_id=%s reason=%s",
	    c->service->conf.name, id, c->id[0] ? c->id : "none", reason);
}

void
outbound_answer_unknown(struct out_call *c)
{
	const char *reason = wire_reason_name(c->reason);

	if (!c->idempotent)
		log_unknown(c, reason);
	outbound_answer_error(c, 504, "unknown", reason,
	    "no whole answer was received; the request may have run\n");
}

void
outbound_give_up_call(struct out_call *c)
{
	const char *reason = wire_reason_name(c->reason);

	c->data->counters.crash_refused += c->reason == WIRE_REASON_CRASHES;

	if (c->state == OUT_ANSWERING && take_answer_back(c)) {
		struct http_exchange *x = c->exchange;

		c->data->counters.failed++;
		c->exchange = NULL;
		c->outcome = "broken";
		outbound_attempt_cancel(c->winner, "broken");
		http_exchange_abort(x);
		outbound_call_free(c);
		return;
	}
	if (!c->may_have_run && !outbound_has_attempt(c, ATTEMPT_SENT)) {
		outbound_answer_error(c, 503, "not-run", reason,
		    "refused; the request was not run\n");
		return;
	}
	if (c->idempotent && c->reason != WIRE_REASON_DEADLINE) {
		outbound_answer_error(c, 502, "failed", reason,
		    "the request failed on each target tried\n");
		return;
	}
	outbound_answer_unknown(c);
}

/* Starts another attempt, at no cost in retry budget if @is_free; ends the call
 * when none can be started and no other attempt is open. */
static void
try_again(struct out_call *c, enum retry_cause cause, int is_free)
{
	int64_t now = data_now(c->data);
	int started = 0;

	if (is_free && now < c->deadline && !c->repeat)
		started = !outbound_start_attempt(c);
	else if (!c->repeat && retry_allow_resend(&c->service->retry, &c->retry,
				   cause, now) == RETRY_GO)
		started = !outbound_start_paid(c);
	if (started) {
		c->data->counters.retries++;
		return;
	}
	if (!any_open(c))
		outbound_give_up_call(c);
}

/* Whether the attempt after a refusal takes nothing from the retry budget: the
 * refusal caused no work at a target. A refusal by a full target counts as such
 * only where there are routes, since then every target queues requests by their
 * objective, and while fewer than TRIED_FREE_MAX attempts were made. */
static int
is_free_retry(const struct out_call *c, uint32_t reason)
{
	if (reason == WIRE_REASON_FULL)
		return c->data->view->routing &&
		       c->tried.total < TRIED_FREE_MAX;
	return reason == WIRE_REASON_DRAINING || reason == WIRE_REASON_OUT ||
	       reason == WIRE_REASON_BEHIND ||
	       reason == WIRE_REASON_NO_TARGET || reason == WIRE_REASON_LOST ||
	       reason == WIRE_REASON_SLOW || reason == WIRE_REASON_VERSION;
}

void
outbound_attempt_reached(struct out_attempt *a)
{
	a->call->reached += !a->counted;
	a->counted = 1;
}

static enum tried_end
end_of(uint32_t reason)
{
	if (reason == WIRE_REASON_FULL || reason == WIRE_REASON_COLD)
		return TRIED_FULL;
	return reason == WIRE_REASON_SLOW || reason == WIRE_REASON_DRAINING
		   ? TRIED_AGAIN
		   : TRIED_UNABLE;
}

void
outbound_attempt_refused(struct out_attempt *a, uint32_t reason,
    const struct load_report *load)
{
	struct out_call *c = a->call;
	int soft = reason == WIRE_REASON_SLOW || reason == WIRE_REASON_DRAINING;

	c->reason = reason;
	if (reason == WIRE_REASON_SHED)
		outbound_attempt_reached(a);
	c->tried.soft_refusals += soft;
	if (reason == WIRE_REASON_FULL)
		tried_note_full(&c->tried, a->refusable);
	tried_note_ended(&c->tried, a->handle, end_of(reason));
	outbound_trace_attempt(a, wire_reason_name(reason), 0);
	outbound_log_attempt(a, "not-run", 0, load);
	pick_refused(c->service->pick, a->handle, data_now(c->data), reason,
	    load);
	outbound_attempt_clear(a);
	if (c->state == OUT_ANSWERING)
		return;
	if (reason == WIRE_REASON_CRASHES && !any_open(c))
		outbound_give_up_call(c);
	else if (reason != WIRE_REASON_CRASHES)
		try_again(c, RETRY_NOT_RUN, is_free_retry(c, reason));
}

void
outbound_attempt_failed(struct out_attempt *a, enum retry_cause cause)
{
	struct out_call *c = a->call;
	int64_t now = data_now(c->data);

	outbound_trace_attempt(a, "lost", 0);
	outbound_log_attempt(a, "lost", 0, NULL);
	outbound_attempt_reached(a);
	tried_note_ended(&c->tried, a->handle, TRIED_UNABLE);
	pick_done(c->service->pick, a->handle, now, now - a->started,
	    cause == RETRY_LOST ? PICK_LOST : PICK_FAILED, NULL);
	c->may_have_run = 1;
	if (!c->reason)
		c->reason = WIRE_REASON_LOST;
	outbound_attempt_clear(a);
	if (c->winner == a && take_answer_back(c)) {
		outbound_give_up_call(c);
		return;
	}
	if (c->winner)
		return;
	try_again(c, cause, 0);
}
