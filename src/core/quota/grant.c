#include <math.h>

#include "core/quota/impl.h"

#define STEP_MAX_US 200000 /* of a refill; a longer gap counts as so much */
#define COLLECT_US 60000 /* from the first poll until loans have come */
#define DENIED_TAU_US 2000000 /* over which requests denied are averaged */
#define RETRY_MAX_MS 10000

/* Sum of the shares that an organisation's tokens are made from: of lenders
 * that know this daemon as its grantor. */
static double
lent(const struct quota *q, const struct org *o)
{
	const struct lender_set *s;
	double sum = 0;
	int i;

	for (i = 0; i < GRANTOR_SETS; i++) {
		s = &q->set[i];
		if (s->lent > 0 &&
		    (s->grantors.digest == q->grantors.digest ||
			quota_grantor_of(&s->grantors, o->id) == q->self))
			sum += s->lent;
	}
	return sum;
}

/* Most tokens of an organisation that this daemon can have granted or in
 * stock. */
static double
stock_cap(const struct quota *q, const struct org *o, double lenders)
{
	double part = 1.0 / quota_members(q);

	return (quota_depth(o) * part - quota_kept_depth(o, part)) * lenders;
}

void
quota_refill(struct quota *q, struct org *o, int64_t now)
{
	double part = 1.0 / quota_members(q);
	double lenders = lent(q, o) / part;
	double rate = RATE_PART * o->rate * part - quota_kept_rate(o, part);
	double cap = stock_cap(q, o, lenders);
	int64_t step = CLAMP(now - o->stock_at, 0, STEP_MAX_US);

	if (o->grantor != q->self)
		return;
	o->stock_at = now;
	o->stock += MAX(0,
	    MIN(rate * lenders * (double)step / 1e6, cap - o->out - o->stock));
	o->stock = MIN(o->stock, cap);
}

void
quota_refill_all(struct quota *q, int64_t now)
{
	guint i;

	for (i = 0; q->poll_at && i < q->granted->len; i++)
		quota_refill(q, q->granted->pdata[i], now);
}

/* Sets what a daemon holds. What it owes is no place for others. */
static void
set_out(struct org *o, struct row *r, double out)
{
	o->out += MAX(out, 0) - MAX(r->out, 0);
	r->out = out;
}

static struct row *
row_of(struct quota *q, struct org *o, uint64_t from,
    const struct quota_entry *e)
{
	struct row *r = o->rows ? g_hash_table_lookup(o->rows, &from) : NULL;

	if (r || q->nrow >= ROWS_MAX)
		return r;
	if (!o->rows)
		o->rows = g_hash_table_new_full(g_int64_hash, g_int64_equal,
		    g_free, g_free);
	r = g_new0(struct row, 1);
	r->used = e->used;
	set_out(o, r, e->tokens / 1000.0);
	g_hash_table_insert(o->rows, g_memdup2(&from, sizeof from), r);
	q->nrow++;
	return r;
}

static double
denied(const struct org *o, int64_t now)
{
	return o->denied * exp((double)(o->denied_at - now) / DENIED_TAU_US);
}

/* Time until those who were refused could all have come, in ms. */
static uint32_t
retry_ms(struct org *o, double more, int64_t now)
{
	o->denied = denied(o, now) + more;
	o->denied_at = now;
	return (uint32_t)MIN(RETRY_MAX_MS, o->denied * 1000 / o->rate);
}

/* Whether loans may still be on the way. */
static int
collects(const struct quota *q, int64_t now)
{
	return now - q->poll_began < COLLECT_US;
}

/* Number of tokens granted ahead of requests. One that is only to be ready is
 * granted while there is plenty, so that small limits are not spread over
 * daemons that have no use for them. */
static double
grant_ahead(const struct quota *q, const struct org *o,
    const struct quota_entry *e, double stock)
{
	double cap = stock_cap(q, o, quota_members(q));

	if (e->ahead <= 1 && stock - e->ahead < cap / 2)
		return 0;
	return MIN(e->ahead, floor(stock / 2));
}

/* Answers for one organisation; 0 if the answer has to wait. */
static int
grant_entry(struct quota *q, struct org *o, uint64_t from,
    const struct quota_entry *e, struct quota_entry *answer, int64_t now)
{
	struct row *r = row_of(q, o, from, e);
	double held = e->tokens / 1000.0, n, more;

	if (!r)
		return 0;
	/* What was neither used nor is held comes back. */
	o->stock +=
	    MAX(0, r->out - held - (double)(int32_t)(e->used - r->used));
	r->used = e->used;
	set_out(o, r, held);
	if (o->stock < e->want && collects(q, now))
		return 0;
	n = MIN(e->want, floor(o->stock));
	more = grant_ahead(q, o, e, o->stock - n);
	o->stock -= n + more;
	/* Those that requests wait for count as used. */
	r->used += (uint32_t)n;
	set_out(o, r, held + more);
	r->until = now + GRANT_US + GRANT_MARGIN_US;
	*answer = (struct quota_entry){ .id = o->id,
		.tokens = (int32_t)((n + more) * 1000),
		.ahead = retry_ms(o, e->want - n + e->refused, now) };
	return 1;
}

void
quota_answer_ask(struct quota *q, uint64_t from, const struct quota_message *m,
    int64_t now)
{
	struct quota_message answer = { .kind = QUOTA_GRANT,
		.number = m->number };
	struct org *o;
	uint32_t i;

	q->asked_at = now;
	if (!q->poll_at) {
		q->poll_at = q->poll_began = now;
		quota_poll(q, now);
	}
	for (i = 0; i < m->n; i++) {
		o = g_hash_table_lookup(q->orgs, &m->entry[i].id);
		if (o && o->grantor == q->self)
			answer.n += grant_entry(q, o, from, &m->entry[i],
			    &answer.entry[answer.n], now);
	}
	if (!answer.n)
		return;
	if (from == q->self)
		quota_take_grant(q, from, &answer, now);
	else
		quota_send(q, from, &answer);
}

void
quota_expire_rows(struct quota *q, struct org *o, int64_t now)
{
	GHashTableIter it;
	struct row *r;
	gpointer v;

	if (!o->rows)
		return;
	g_hash_table_iter_init(&it, o->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		r = v;
		if (now < r->until)
			continue;
		/* Tokens not known to be unused count as used. */
		set_out(o, r, 0);
		g_hash_table_iter_remove(&it);
		q->nrow--;
	}
	if (!g_hash_table_size(o->rows))
		quota_drop_rows(q, o);
}

void
quota_drop_rows(struct quota *q, struct org *o)
{
	if (!o->rows)
		return;
	q->nrow -= g_hash_table_size(o->rows);
	g_hash_table_destroy(o->rows);
	o->rows = NULL;
	o->out = 0;
}
