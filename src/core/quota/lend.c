#include <string.h>

#include "core/quota/impl.h"

/* A poll that did not reach all is repeated while connections are opened. */
#define POLL_AGAIN_US 100000
#define POLL_AGAIN_FOR_US 1000000
#define HAND_OVER_MIN 0.005 /* tokens; less stays */

static int64_t
period(const struct quota *q)
{
	return POLL_PERIOD_US + (int64_t)POLL_MEMBER_US * quota_members(q);
}

/* Return: number of members that could not be sent to. */
static int
poll_all(struct quota *q, int64_t now)
{
	struct quota_message m = { .kind = QUOTA_POLL,
		.number = (uint64_t)now };
	const struct member *to;
	int unsent = 0;
	guint i;

	m.ms = (uint32_t)((double)period(q) * TERM_PERIODS / 1000);
	quota_answer_poll(q, q->self, &m, now);
	for (i = 0; i < q->members->len; i++) {
		to = &g_array_index(q->members, struct member, i);
		if (!to->lost_at && to->incarnation != q->self)
			unsent += quota_send(q, to->incarnation, &m) != 0;
	}
	return unsent;
}

void
quota_poll(struct quota *q, int64_t now)
{
	if (!q->poll_at || now < q->poll_at)
		return;
	if (now - q->asked_at > POLL_AFTER_ASK_US) {
		q->poll_at = 0;
		return;
	}
	q->poll_at = now + period(q);
	q->term_us = (int64_t)((double)period(q) * TERM_PERIODS);
	/* The connections to the others are being opened. */
	if (poll_all(q, now) && now - q->poll_began < POLL_AGAIN_FOR_US)
		q->poll_at = now + POLL_AGAIN_US;
}

static int
is_grantor(const struct quota *q, uint64_t incarnation)
{
	int i;

	for (i = 0; i < q->grantors.n; i++)
		if (q->grantors.id[i] == incarnation)
			return 1;
	return 0;
}

static void
send_loan(struct quota *q, uint64_t to, struct quota_message *m, int64_t now)
{
	if (to == q->self)
		quota_take_loan(q, to, m, now);
	else
		quota_send(q, to, m);
	m->n = 0;
}

/* Sends tokens before the loan that belongs to them; it has no members, so that
 * it is none by itself. */
static void
send_part(struct quota *q, uint64_t to, struct quota_message *m, int64_t now)
{
	uint32_t members = m->members;

	m->members = 0;
	send_loan(q, to, m, now);
	m->members = members;
}

/* Moves the tokens of an organisation that are not kept into a loan. */
static void
hand_over(struct quota *q, struct org *o, struct quota_message *m, int64_t now)
{
	double share = quota_share(q, now), spare;
	int32_t tokens;

	quota_accrue(q, o, now);
	spare = o->own - quota_kept_depth(o, share);
	if (spare < HAND_OVER_MIN)
		return;
	tokens = (int32_t)MIN(spare * 1000, INT32_MAX);
	o->own -= tokens / 1000.0;
	m->entry[m->n++] =
	    (struct quota_entry){ .id = o->id, .tokens = tokens };
}

/* Hands over the tokens of all organisations of a grantor. They are brought up
 * to date before the share is lent. Return: end of the loans of these to former
 * grantors. */
static int64_t
hand_over_all(struct quota *q, uint64_t to, struct quota_message *m,
    int64_t now)
{
	int64_t blocked = now;
	GHashTableIter it;
	struct org *o;
	gpointer v;

	g_hash_table_iter_init(&it, q->orgs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		o = v;
		if (o->grantor != to)
			continue;
		blocked = MAX(blocked, o->blocked_until);
		hand_over(q, o, m, now);
		if (m->n == QUOTA_ENTRIES_MAX)
			send_part(q, to, m, now);
	}
	return blocked;
}

void
quota_answer_poll(struct quota *q, uint64_t from, const struct quota_message *m,
    int64_t now)
{
	struct quota_message loan = { .kind = QUOTA_LEND,
		.number = m->number,
		.members = (uint32_t)quota_members(q),
		.ngrantor = (uint32_t)q->grantors.n };
	int64_t blocked, term = MIN((int64_t)m->ms * 1000, TERM_MAX_US);
	struct link *l;

	if (!is_grantor(q, from) || quota_share(q, now) <= 0)
		return;
	memcpy(loan.grantor, q->grantors.id, sizeof loan.grantor);
	blocked = hand_over_all(q, from, &loan, now);
	loan.ms = (uint32_t)((blocked - now + 999) / 1000);
	l = quota_link(q, from);
	l->lent_until = MAX(l->lent_until, now + term);
	send_loan(q, from, &loan, now);
}

/* The set of lenders that know certain grantors, in place of the one that was
 * not used for longest if there is none. */
static struct lender_set *
set_of(struct quota *q, const struct quota_message *m, int64_t now)
{
	struct grantors g = { .n = (int)m->ngrantor };
	struct lender_set *s = &q->set[0];
	int i;

	memcpy(g.id, m->grantor, sizeof g.id);
	g.digest = quota_grantors_digest(&g);
	for (i = 0; i < GRANTOR_SETS; i++) {
		if (q->set[i].grantors.digest == g.digest) {
			q->set[i].used_at = now;
			return &q->set[i];
		}
		if (q->set[i].used_at < s->used_at)
			s = &q->set[i];
	}
	*s = (struct lender_set){ .grantors = g, .used_at = now };
	return s;
}

static struct lender_set *
known_set(struct quota *q, uint64_t digest)
{
	int i;

	for (i = 0; i < GRANTOR_SETS; i++)
		if (q->set[i].grantors.digest == digest)
			return &q->set[i];
	return NULL;
}

static struct lender *
lender_of(struct quota *q, uint64_t from)
{
	struct lender *l = g_hash_table_lookup(q->lenders, &from);

	if (l)
		return l;
	l = g_new0(struct lender, 1);
	g_hash_table_insert(q->lenders, g_memdup2(&from, sizeof from), l);
	return l;
}

/* Adds a share to its set, or takes it out if @sign is -1. */
static void
sum_loan(struct quota *q, const struct lender *l, int sign)
{
	struct lender_set *s = known_set(q, l->digest);

	if (s && l->counted)
		s->lent += sign * l->share;
}

static void
take_tokens(struct quota *q, const struct quota_message *m, int64_t now)
{
	struct org *o;
	uint32_t i;

	for (i = 0; i < m->n; i++) {
		o = g_hash_table_lookup(q->orgs, &m->entry[i].id);
		if (!o || o->grantor != q->self || m->entry[i].tokens < 0)
			continue;
		o->stock += m->entry[i].tokens / 1000.0;
		quota_refill(q, o, now);
	}
}

void
quota_take_loan(struct quota *q, uint64_t from, const struct quota_message *m,
    int64_t now)
{
	int64_t polled = (int64_t)m->number;
	struct lender *l;

	/* The term is counted from the poll, which was sent before the lender
	 * began to count it. */
	if (polled > now || polled + q->term_us <= now)
		return;
	if (m->members) {
		l = lender_of(q, from);
		sum_loan(q, l, -1);
		l->from = now + (int64_t)m->ms * 1000;
		l->until = polled + q->term_us;
		l->share = 1.0 / m->members;
		l->digest = set_of(q, m, now)->grantors.digest;
		l->counted = l->from <= now;
		sum_loan(q, l, 1);
	}
	take_tokens(q, m, now);
}

void
quota_sum_loans(struct quota *q, int64_t now)
{
	GHashTableIter it;
	struct lender *l;
	gpointer v;
	int i;

	for (i = 0; i < GRANTOR_SETS; i++)
		q->set[i].lent = 0;
	g_hash_table_iter_init(&it, q->lenders);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		l = v;
		if (l->until <= now) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		l->counted = l->from <= now;
		sum_loan(q, l, 1);
	}
}
