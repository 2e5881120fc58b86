#include <math.h>
#include <string.h>

#include "core/quota/impl.h"

#define US_PER_S 1e6
#define LIMITED_END_US QUOTA_WINDOW_US /* without a refusal */

double
quota_depth(const struct org *o)
{
	return DEPTH_BURST_PART * o->burst + DEPTH_RATE_PART * o->rate +
	       DEPTH_TOKENS;
}

double
quota_kept_depth(const struct org *o, double share)
{
	double depth = quota_depth(o) * share;

	return depth < KEPT_FROM ? 0 : MAX(KEPT_TOKENS, KEPT_PART * depth);
}

double
quota_kept_rate(const struct org *o, double share)
{
	return quota_depth(o) * share < KEPT_FROM
		   ? 0
		   : KEPT_PART * RATE_PART * o->rate * share;
}

static double
add_upto(double tokens, double more, double cap)
{
	return tokens >= cap ? tokens : MIN(cap, tokens + more);
}

void
quota_accrue(struct quota *q, struct org *o, int64_t now)
{
	const struct link *l = g_hash_table_lookup(q->links, &o->grantor);
	double share = quota_share(q, now), depth = quota_depth(o) * share;
	int64_t from = MAX(o->own_at, q->first_members + SETTLE_US);
	int64_t lent = MAX(l ? l->lent_until : 0, o->blocked_until);

	o->own_at = now;
	if (from < now) {
		lent = CLAMP(lent, from, now);
		o->own = add_upto(o->own,
		    quota_kept_rate(o, share) * (double)(lent - from) /
			US_PER_S,
		    quota_kept_depth(o, share));
		o->own = add_upto(o->own,
		    RATE_PART * o->rate * share * (double)(now - lent) /
			US_PER_S,
		    depth);
	}
	o->own = MIN(o->own, depth);
	/* What extra attempts owe is paid first. */
	while (o->held < 0 && o->own >= 1) {
		o->own--;
		o->held++;
	}
	if (o->held > 0 && now >= o->held_until)
		o->held = 0;
}

void
quota_accrue_all(struct quota *q, int64_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->orgs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		quota_accrue(q, v, now);
}

double
quota_demand(const struct org *o, int64_t now)
{
	return o->demand * exp((double)(o->demand_at - now) / DEMAND_TAU_US);
}

static void
note_request(struct quota *q, struct org *o, int64_t now)
{
	o->demand = quota_demand(o, now) + 1;
	o->request_before = o->request_at;
	o->demand_at = o->request_at = now;
	if (o->active)
		return;
	o->active = 1;
	g_ptr_array_add(q->active, o);
}

/* Takes a token; 0 if there is none. */
static int
take(struct org *o)
{
	if (o->held >= 1) {
		o->held--;
		o->used++;
	} else if (o->own + o->held >= 1) {
		o->own--;
	} else {
		return 0;
	}
	o->admitted++;
	return 1;
}

/* Counts a refusal. Return: time after which the request may come again. */
static int64_t
refuse(struct quota *q, struct org *o, int64_t now)
{
	struct quota_figures f;
	int64_t least = (int64_t)(US_PER_S / o->rate);

	o->refused++;
	o->refused_untold++;
	o->refused_at = now;
	if (!o->limited) {
		o->limited = 1;
		o->limited_since = now;
		quota_figures(q, o, &f, now);
		q->events->limited(q->ctx, &f, 1);
	}
	return least +
	       (int64_t)((double)MAX(o->retry_us, least) * rng_unit(&q->rng));
}

static void
wait_for_tokens(struct org *o, void *request, int64_t now)
{
	struct waiter *w = g_new(struct waiter, 1);

	w->request = request;
	w->since = now;
	g_queue_push_tail(&o->waiting, w);
	o->waited++;
}

enum quota_verdict
quota_admit(struct quota *q, const char *name, void *request, int64_t now,
    int64_t *retry_after_us)
{
	struct org *o = quota_find(q, name);

	if (!o)
		return QUOTA_ADMITTED;
	quota_check_gap(q, now);
	quota_accrue(q, o, now);
	note_request(q, o, now);
	if (!o->waiting.length && take(o)) {
		if (quota_needs(q, o, now))
			quota_ask(q, o->grantor, now);
		return QUOTA_ADMITTED;
	}
	if (now >= o->ask_after && o->waiting.length < WAITING_MAX) {
		/* The answer comes at once if this daemon is the grantor. */
		o->arriving = 1;
		quota_ask(q, o->grantor, now);
		o->arriving = 0;
		if (!o->waiting.length && take(o))
			return QUOTA_ADMITTED;
	}
	if (now < o->ask_after || o->waiting.length >= WAITING_MAX) {
		*retry_after_us = refuse(q, o, now);
		return QUOTA_REFUSED;
	}
	wait_for_tokens(o, request, now);
	return QUOTA_WAITS;
}

void
quota_cancel(struct quota *q, const char *name, const void *request)
{
	struct org *o = quota_find(q, name);
	GList *i;

	for (i = o ? o->waiting.head : NULL; i; i = i->next) {
		if (((struct waiter *)i->data)->request != request)
			continue;
		g_free(i->data);
		g_queue_delete_link(&o->waiting, i);
		return;
	}
}

static void
decide(struct quota *q, struct org *o, int admitted, int64_t now)
{
	struct waiter *w = g_queue_pop_head(&o->waiting);
	void *request = w->request;

	g_free(w);
	q->events->decided(q->ctx, request, admitted,
	    admitted ? 0 : refuse(q, o, now));
}

void
quota_settle(struct quota *q, struct org *o, int64_t now)
{
	while (o->waiting.length && take(o))
		decide(q, o, 1, now);
}

void
quota_refuse_waiting(struct quota *q, struct org *o, int64_t before,
    int64_t now)
{
	const struct waiter *w;

	while ((w = g_queue_peek_head(&o->waiting)) && w->since <= before)
		decide(q, o, 0, now);
}

void
quota_count_extra(struct quota *q, const char *name, int64_t now)
{
	struct org *o = quota_find(q, name);

	if (!o)
		return;
	quota_accrue(q, o, now);
	note_request(q, o, now);
	o->extra++;
	if (o->held < 1 && o->own >= 1) {
		o->own--;
		return;
	}
	o->held--;
	o->used++;
}

void
quota_figures(struct quota *q, struct org *o, struct quota_figures *f,
    int64_t now)
{
	quota_accrue(q, o, now);
	*f = (struct quota_figures){ .name = o->name,
		.rate_per_s = o->rate,
		.burst = o->burst,
		.limited = o->limited,
		.limited_since = o->limited_since,
		.unanswered = o->unanswered,
		.admitted = o->admitted,
		.refused = o->refused,
		.extra = o->extra,
		.waited = o->waited,
		.held = o->own + o->held,
		.stock = o->grantor == q->self ? o->stock : 0,
		.grantor = o->grantor };
}

/* Ends the time as a limited organisation, and forgets an idle one. Return: 1
 * if it stays active. */
static int
stays_active(struct quota *q, struct org *o, int64_t now)
{
	struct quota_figures f;

	if (o->limited && now - o->refused_at > LIMITED_END_US) {
		o->limited = 0;
		quota_figures(q, o, &f, now);
		q->events->limited(q->ctx, &f, 0);
	}
	return o->limited || o->waiting.length || o->held != 0 ||
	       now - o->request_at < RECENT_US;
}

static void
tick_org(struct quota *q, struct org *o, int64_t now)
{
	guint waiting;

	quota_accrue(q, o, now);
	quota_settle(q, o, now);
	waiting = o->waiting.length;
	quota_refuse_waiting(q, o, now - QUOTA_WAIT_US, now);
	if (o->waiting.length < waiting) {
		q->totals.waits_over += waiting - o->waiting.length;
		o->ask_after = now + quota_ask_period(q);
		o->unanswered = 1;
	}
	if (quota_needs(q, o, now))
		quota_ask(q, o->grantor, now);
}

static void
tick_active(struct quota *q, int64_t now)
{
	struct org *o;
	guint i;

	for (i = q->active->len; i > 0; i--) {
		o = q->active->pdata[i - 1];
		tick_org(q, o, now);
		if (stays_active(q, o, now))
			continue;
		o->active = 0;
		g_ptr_array_remove_index_fast(q->active, i - 1);
	}
}

/* This daemon was suspended; what it holds may be counted as over elsewhere. */
static void
drop_grants(struct quota *q, int64_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->orgs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct org *)v)->held = MIN(((struct org *)v)->held, 0);
}

void
quota_check_gap(struct quota *q, int64_t now)
{
	if (now - q->last_tick > GAP_US)
		drop_grants(q, now);
	q->last_tick = now;
}

static void
check_rows(struct quota *q, int64_t now)
{
	GHashTableIter it;
	gpointer v;

	q->rows_checked = now;
	quota_forget_lost(q, now);
	g_hash_table_iter_init(&it, q->orgs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		quota_expire_rows(q, v, now);
}

void
quota_tick(struct quota *q, int64_t now)
{
	quota_check_gap(q, now);
	quota_sum_loans(q, now);
	quota_refill_all(q, now);
	quota_poll(q, now);
	tick_active(q, now);
	if (now - q->rows_checked >= US_PER_S)
		check_rows(q, now);
}
