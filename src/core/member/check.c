#include "core/member/impl.h"

/* Checks of members that callers found silent. They run beside the periodic
 * probe, which visits one member a period in random order: with half of a fleet
 * silent its turn comes late, and each of its failures prolongs the period.
 * Helpers are asked at once, since the member already left calls unanswered. */

#define CHECK_TIMEOUTS 3 /* probe timeouts until a round of a check ends */
#define CHECK_ROUNDS 3 /* until a check without a word of others ends */
#define SUSPECT_PART 8 /* one in so many suspect means that many failed */

static void
ask_helpers(struct member_table *t, const struct check *c, int h)
{
	int handle[MEMBER_CHOSEN_MAX];
	int i, n = MIN(t->limits.indirect_probes, MEMBER_CHOSEN_MAX);

	n = member_sample(t, h, n, handle);
	for (i = 0; i < n; i++)
		member_send_ping_req(t, handle[i], h, c->seq);
}

static void
begin_round(struct member_table *t, struct check *c, int h, int64_t now)
{
	c->rounds++;
	c->ends_at = now + CHECK_TIMEOUTS * t->limits.probe_timeout;
	member_send_ping(t, h, c->seq);
	ask_helpers(t, c, h);
}

/* Returns the entry of a check that begins now, or NULL if there can't be one.
 */
static struct check *
take_check(struct member_table *t, int h)
{
	struct row *r = member_row(t, h);
	struct check *c;
	int i;

	if (!r || h == 0 || r->m.state != MEMBER_ALIVE || t->leaving ||
	    t->paused || r->checked)
		return NULL;
	for (i = 0; i < CHECKS_MAX && t->check[i].probed; i++)
		;
	if (i == CHECKS_MAX)
		return NULL;
	c = &t->check[i];
	r->checked = 1;
	c->probed = r->m.info.id;
	c->seq = ++t->seq;
	c->acked = c->nacked = c->rounds = 0;
	t->counts.checks++;
	return c;
}

void
member_check(struct member_table *t, uint64_t id, int64_t now)
{
	int h = member_find(t, id);
	struct check *c;

	t->now = now;
	c = take_check(t, h);
	if (!c)
		return;
	t->tick_due = MIN(t->tick_due, now);
	begin_round(t, c, h, now);
}

/* When many members fail together, not all are met by calls, and the periodic
 * probe is slow: once a part of them is suspect, each check that failed leads
 * to those of a few others, which first get a ping alone. */
static void
check_others(struct member_table *t, int64_t now)
{
	int handle[MEMBER_CHOSEN_MAX];
	int i, n = MIN(t->limits.indirect_probes, MEMBER_CHOSEN_MAX);
	struct check *c;

	if (t->suspects->len * SUSPECT_PART < t->live->len)
		return;
	n = member_sample(t, 0, n, handle);
	for (i = 0; i < n; i++) {
		c = take_check(t, handle[i]);
		if (!c)
			continue;
		c->ends_at = now + t->limits.probe_timeout;
		member_send_ping(t, handle[i], c->seq);
	}
}

void
member_receive_check_answer(struct member_table *t,
    const struct member_message *msg)
{
	struct check *c;
	int i;

	for (i = 0; i < CHECKS_MAX; i++) {
		c = &t->check[i];
		if (!c->probed || c->seq != msg->seq)
			continue;
		if (msg->kind == MEMBER_NACK)
			c->nacked |= msg->probed == c->probed;
		else if (msg->from == c->probed || msg->probed == c->probed)
			c->acked = 1;
	}
}

static void
drop_check(struct member_table *t, struct check *c, int h)
{
	member_row(t, h)->checked = 0;
	c->probed = 0;
}

static void
end_check(struct member_table *t, struct check *c, int h, int64_t now)
{
	drop_check(t, c, h);
	if (c->acked) {
		t->ops->event(t->ctx, h, MEMBER_EVENT_CHECK_ANSWERED);
	} else if (c->nacked) {
		t->ops->event(t->ctx, h, MEMBER_EVENT_CHECK_FAILED);
		member_suspect(t, h, now);
		check_others(t, now);
	} else {
		t->counts.checks_unconfirmed++;
		t->ops->event(t->ctx, h, MEMBER_EVENT_CHECK_UNCONFIRMED);
	}
}

/* Without a NACK nobody confirmed that the member is silent: the fault may be
 * ours, or that of the helpers, so that others are asked. */
static int
is_over(const struct check *c)
{
	return c->acked || c->nacked || c->rounds == CHECK_ROUNDS;
}

static void
end_round(struct member_table *t, struct check *c, int64_t now)
{
	int h = member_find(t, c->probed);

	if (h == MEMBER_NONE)
		c->probed = 0;
	else if (t->paused || member_row(t, h)->m.state != MEMBER_ALIVE)
		drop_check(t, c, h);
	else if (is_over(c))
		end_check(t, c, h, now);
	else
		begin_round(t, c, h, now);
}

int64_t
member_checks_expire(struct member_table *t, int64_t now)
{
	int64_t next = INT64_MAX;
	int i;

	for (i = 0; i < CHECKS_MAX; i++) {
		struct check *c = &t->check[i];

		if (!c->probed)
			continue;
		if (now >= c->ends_at || (c->rounds > 1 && c->nacked))
			end_round(t, c, now);
		if (c->probed)
			next = MIN(next, c->ends_at);
	}
	return next;
}
