#include <string.h>

#include "daemon/outbound/outbound.h"
#include "log.h"

#define RETRY_AFTER_PART 0.25 /* of the time that is left */
#define RETRY_AFTER_SPREAD 0.5
#define RETRY_AFTER_MIN_S 0.02
#define RETRY_AFTER_MAX_S 1.0

static int
other_open(const struct out_call *c)
{
	int i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state != ATTEMPT_UNUSED)
			return 1;
	return 0;
}

/* When a refused caller finds room: what is left of its time, in a part that
 * leaves it time to be served, spread so that those refused together do not
 * return together. */
void
outbound_retry_after(const struct out_call *c, char *text)
{
	int64_t left = c->deadline - data_now(c->data);
	double s = left / 1e6 * RETRY_AFTER_PART *
		   (1 - RETRY_AFTER_SPREAD * rng_unit(&c->data->rng));

	s = CLAMP(s, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
	if (c->data->dialect->levels)
		g_snprintf(text, RETRY_AFTER_TEXT_MAX, "%d", 1);
	else
		g_snprintf(text, RETRY_AFTER_TEXT_MAX, "%.3f", s);
}

/* Ends the call with an answer of our own; frees it. */
void
outbound_refuse(struct out_call *c, int status, const char *outcome,
    const char *reason, const char *text)
{
	struct http_field f[OWN_FIELDS_MAX] = { { FIELD_OUTCOME, outcome },
		{ FIELD_REASON, reason }, { "Content-Type", "text/plain" } };
	char after[RETRY_AFTER_TEXT_MAX];
	struct http_exchange *x = c->exchange;
	struct counters *n = &c->data->counters;
	int nf = 3, i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		outbound_attempt_cancel(&c->attempt[i]);
	if (status == 503)
		n->refused++;
	else if (status == 504)
		n->unknown++;
	else if (status == 502)
		n->failed++;
	else
		n->bad++;
	if (c->id[0] && c->data->dialect->levels)
		f[nf++] = (struct http_field){ FIELD_REQUEST_ID, c->id };
	if (status == 503) {
		outbound_retry_after(c, after);
		f[nf++] = (struct http_field){ "Retry-After", after };
	}
	http_exchange_head(x, status, f, nf, strlen(text));
	http_exchange_write(x, text, strlen(text));
	c->exchange = NULL;
	c->outcome = outcome;
	c->status = status;
	http_exchange_end(x);
	outbound_call_free(c);
}

/* No attempt is left to wait for. */
void
outbound_give_up(struct out_call *c)
{
	const char *reason = wire_reason_name(c->reason);

	if (c->state == OUT_ANSWERING) {
		struct http_exchange *x = c->exchange;

		c->data->counters.failed++;
		c->exchange = NULL;
		c->outcome = "broken";
		outbound_attempt_cancel(c->winner);
		http_exchange_abort(x);
		outbound_call_free(c);
		return;
	}
	if (!c->may_have_run && !other_open(c)) {
		outbound_refuse(c, 503, "not-run", reason,
		    "refused; the request was not run\n");
		return;
	}
	if (c->idempotent && c->reason != WIRE_REASON_DEADLINE) {
		outbound_refuse(c, 502, "failed", reason,
		    "the request failed on each target tried\n");
		return;
	}
	if (!c->idempotent)
		log_event(EVENT_OUTCOME_UNKNOWN, G_LOG_LEVEL_WARNING,
		    data_now(c->data),
		    "outcome unknown service=%s request_id=%s reason=%s",
		    c->service->conf.name, c->id, reason);
	outbound_refuse(c, 504, "unknown", reason,
	    "no whole answer came; the request may have run\n");
}

static void
another(struct out_call *c, enum retry_cause cause, int free_of_charge)
{
	int64_t now = data_now(c->data);
	int go = free_of_charge && now < c->deadline && !c->repeat;

	if (!go && !c->repeat)
		go = retry_ask(&c->service->retry, &c->retry, cause, now) ==
		     RETRY_GO;
	if (go && !outbound_attempt(c)) {
		c->data->counters.retries++;
		return;
	}
	if (!other_open(c))
		outbound_give_up(c);
}

/* Refusals that cost no target any work are not paid for. One that is full is
 * left for the next only where all targets order what waits by its objective.
 */
static int
costs_nothing(const struct out_call *c, uint32_t reason)
{
	if (reason == WIRE_REASON_FULL)
		return c->data->view->routing &&
		       c->tried.total < TRIED_FREE_MAX;
	return reason == WIRE_REASON_DRAINING || reason == WIRE_REASON_OUT ||
	       reason == WIRE_REASON_BEHIND ||
	       reason == WIRE_REASON_NO_TARGET || reason == WIRE_REASON_LOST ||
	       reason == WIRE_REASON_SLOW;
}

/* The attempt was truly not run. */
void
outbound_refused(struct out_attempt *a, uint32_t reason,
    const struct load_report *load)
{
	struct out_call *c = a->call;

	c->reason = reason;
	c->reached += reason == WIRE_REASON_SHED;
	c->tried.slow += reason == WIRE_REASON_SLOW;
	outbound_trace_attempt(a, wire_reason_name(reason), 0);
	outbound_log_attempt(a, "not-run", 0, load);
	pick_refused(c->service->pick, a->handle, data_now(c->data), reason,
	    load);
	outbound_attempt_clear(a);
	if (c->state != OUT_ANSWERING)
		another(c, RETRY_NOT_RUN, costs_nothing(c, reason));
}

/* The attempt may have run and brought no whole answer. */
void
outbound_failed(struct out_attempt *a, enum retry_cause cause)
{
	struct out_call *c = a->call;
	int64_t now = data_now(c->data);

	outbound_trace_attempt(a, "lost", 0);
	outbound_log_attempt(a, "lost", 0, NULL);
	c->reached++;
	pick_done(c->service->pick, a->handle, now, now - a->started,
	    cause == RETRY_LOST ? PICK_LOST : PICK_FAILED, NULL);
	c->may_have_run = 1;
	if (!c->reason)
		c->reason = WIRE_REASON_LOST;
	if (c->winner == a) {
		outbound_give_up(c);
		return;
	}
	outbound_attempt_clear(a);
	if (c->winner)
		return;
	another(c, cause, 0);
}
