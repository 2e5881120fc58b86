#include <string.h>

#include "daemon/inbound/inbound.h"
#include "log.h"

/* Longest wait for the first answer before requests are sent to a target. */
#define FIRST_ANSWER_WAIT_US 300000

void
inbound_await_first_answer(struct data *d)
{
	d->target_answered = 0;
	d->first_answer_by = data_now(d) + FIRST_ANSWER_WAIT_US;
	admit_await_answer(d->admit, d->first_answer_by);
}

int
inbound_awaits_first_answer(const struct data *d)
{
	return !d->target_answered && d->health_path[0] &&
	       data_now(d) < d->first_answer_by;
}

static void
note_first_answer(struct data *d)
{
	d->target_answered = 1;
	if (d->admit)
		admit_note_answered(d->admit);
}

/* The limit that a head states, as text; NULL without one. */
static const char *
limit_text(const struct data *d, const struct http_head *h)
{
	const char *field = d->dialect->limit_field;

	return field ? http_head_find(h, field) : NULL;
}

/* Puts the limit that was stated, or withdrawn, into force. */
static void
apply_limit(struct data *d)
{
	if (d->admit)
		admit_set_stated_rate(d->admit, data_now(d), d->stated.per_s);
	log_event(EVENT_TARGET_LIMIT, G_LOG_LEVEL_INFO, data_now(d),
	    "target states a limit id=%s per_s=%.2f in_flight=%d queued=%d",
	    d->target.id, d->stated.per_s,
	    d->admit ? admit_in_flight(d->admit) : 0,
	    d->admit ? admit_queued(d->admit) : 0);
}

void
inbound_forget_stated(struct data *d)
{
	memset(&d->stated, 0, sizeof d->stated);
	if (d->admit)
		admit_set_stated_rate(d->admit, data_now(d), 0);
}

static void
note_limit(struct data *d, const char *text)
{
	double per_s;

	if (stated_limit_parse(text, &per_s)) {
		log_event(EVENT_TARGET_LIMIT, G_LOG_LEVEL_WARNING, data_now(d),
		    "target states a limit that can't be read id=%s text=%.32s",
		    d->target.id, text);
		return;
	}
	if (stated_limit_set(&d->stated, per_s, data_now(d)))
		apply_limit(d);
}

static void
note_leaving(struct data *d, const struct http_head *h)
{
	const char *field = d->dialect->leaving_field;

	if (!field || !http_head_find(h, field) || d->target_draining)
		return;
	log_event(EVENT_TARGET_SAYS_LEAVING, G_LOG_LEVEL_INFO, data_now(d),
	    "target says that it leaves id=%s", d->target.id);
	inbound_drain_target(d);
	d->events->target_leaves(d->events_ctx, d->target.id);
}

/* Whether another target answered, which got this one's address. */
static int
is_other_target(const struct data *d, const struct http_head *h)
{
	const char *field = d->dialect->run_id_field;
	const char *id = field ? http_head_find(h, field) : NULL;

	if (d->dialect->misdirected_status &&
	    h->status == d->dialect->misdirected_status)
		return 1;
	return id && d->target.id[0] && strcmp(id, d->target.id);
}

void
inbound_note_health(struct data *d, const struct http_head *h)
{
	const char *text = limit_text(d, h);

	if (is_other_target(d, h))
		return;
	note_first_answer(d);
	if (text) {
		note_limit(d, text);
		d->stated.by_health = 1;
	} else if (d->stated.by_health &&
		   stated_limit_withdraw(&d->stated, d->measure_sent)) {
		apply_limit(d);
	}
	note_leaving(d, h);
}

/* An answer that can't be told to be this target's own withdraws nothing. */
void
inbound_note_answer(struct in_call *c, const struct http_head *h)
{
	struct data *d = c->data;
	const char *text = limit_text(d, h);
	const char *attempt = d->dialect->attempt_field;

	if (is_other_target(d, h))
		return;
	note_first_answer(d);
	if (text)
		note_limit(d, text);
	else if ((!attempt || http_head_find(h, attempt)) &&
		 stated_limit_withdraw(&d->stated, c->target_started))
		apply_limit(d);
	note_leaving(d, h);
}
