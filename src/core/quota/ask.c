#include <math.h>

#include "core/quota/impl.h"

/* Number of tokens to hold beside those that requests wait for. */
static double
ahead(struct quota *q, const struct org *o, int64_t now)
{
	double demand = quota_demand(o, now);
	double n = floor(demand * 1e6 / DEMAND_TAU_US * AHEAD_S);

	if (n < 1 && now - o->request_at < RECENT_US &&
	    o->request_at - o->request_before < RECENT_US)
		return 1;
	return n;
}

int64_t
quota_ask_period(const struct quota *q)
{
	return ASK_PERIOD_US + (int64_t)ASK_MEMBER_US * quota_members(q);
}

static double
waiting(const struct org *o)
{
	return o->waiting.length + o->arriving;
}

/* Whether tokens are to be returned: nobody asks for them any more. */
static int
returns(struct quota *q, const struct org *o, int64_t now)
{
	double spare =
	    now - o->request_at > RECENT_US ? 0 : 2 * ahead(q, o, now) + 2;

	return o->held > spare;
}

int
quota_needs(struct quota *q, struct org *o, int64_t now)
{
	double left = o->own + o->held - waiting(o), target;

	if (!o->grantor || now < o->ask_after)
		return 0;
	if (waiting(o) > 0 || returns(q, o, now))
		return 1;
	if (o->held > 0 && o->held_until - now < GRANT_RENEW_US)
		return 1;
	if (now < o->ahead_after)
		return 0;
	target = ahead(q, o, now);
	return left < 0 || (target >= 1 && left < MAX(1, target / 2));
}

static void
fill_entry(struct quota *q, struct org *o, struct quota_entry *e, int64_t now)
{
	double target = ahead(q, o, now), left;

	if (returns(q, o, now))
		o->held = MIN(o->held, target);
	left = floor(o->own + o->held) - waiting(o);
	o->asked_want = (uint32_t)MIN(MAX(0, -left), waiting(o));
	o->asked_ahead =
	    now < o->ahead_after ? 0 : (uint32_t)MAX(0, target - MAX(left, 0));
	/* Extra attempts that are not paid for are among those ahead. */
	if (left + o->asked_want < 0)
		o->asked_ahead += (uint32_t) - (left + o->asked_want);
	*e = (struct quota_entry){ .id = o->id,
		.tokens = (int32_t)(o->held * 1000),
		.used = o->used,
		.want = o->asked_want,
		.ahead = o->asked_ahead,
		.refused = o->refused_untold };
	o->refused_untold = 0;
}

void
quota_ask(struct quota *q, uint64_t grantor, int64_t now)
{
	struct quota_message m = { .kind = QUOTA_ASK };
	struct link *l;
	struct org *o;
	guint i;

	if (!grantor)
		return;
	l = quota_link(q, grantor);
	if (l->open_until > now)
		return;
	for (i = 0; i < q->active->len && m.n < QUOTA_ENTRIES_MAX; i++) {
		o = q->active->pdata[i];
		if (o->grantor != grantor)
			continue;
		quota_accrue(q, o, now);
		if (quota_needs(q, o, now))
			fill_entry(q, o, &m.entry[m.n++], now);
	}
	if (!m.n)
		return;
	m.number = ++l->number;
	l->asked_at = now;
	l->open_until = now + ASK_TIMEOUT_US;
	if (grantor == q->self)
		quota_answer_ask(q, q->self, &m, now);
	else if (quota_send(q, grantor, &m))
		l->open_until = now + QUOTA_TICK_US;
}

static void
take_entry(struct quota *q, struct org *o, const struct quota_entry *e,
    int64_t asked_at, int64_t now)
{
	double tokens = e->tokens / 1000.0;

	quota_accrue(q, o, now);
	o->held += tokens;
	o->held_until = asked_at + GRANT_US;
	if (tokens < o->asked_want + (double)o->asked_ahead)
		o->ahead_after = now + (o->asked_ahead > 1 ? quota_ask_period(q)
							   : SPARE_PERIOD_US);
	quota_settle(q, o, now);
	if (tokens >= o->asked_want)
		return;
	o->ask_after = now + quota_ask_period(q);
	o->unanswered = 0;
	o->retry_us = (int64_t)e->ahead * 1000;
	quota_refuse_waiting(q, o, now, now);
}

void
quota_take_grant(struct quota *q, uint64_t from, const struct quota_message *m,
    int64_t now)
{
	struct link *l = quota_link(q, from);
	struct org *o;
	uint32_t i;

	if (m->number != l->number || !l->open_until)
		return;
	l->open_until = 0;
	for (i = 0; i < m->n; i++) {
		o = g_hash_table_lookup(q->orgs, &m->entry[i].id);
		if (o && o->grantor == from)
			take_entry(q, o, &m->entry[i], l->asked_at, now);
	}
	/* Asks for what came meanwhile; here at the next tick. */
	if (from != q->self)
		quota_ask(q, from, now);
}
