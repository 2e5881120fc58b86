#include "core/member/impl.h"

/* Checks of members that callers found silent. They run beside the periodic
 * probe, which visits one member a period in random order: with half of a fleet
 * silent its turn comes late, and each of its failures prolongs the period.
 * Helpers are asked at once, since the member already left calls unanswered. */

#define CHECK_TIMEOUTS 3 /* probe timeouts until a check ends */

static int
is_checked(const struct member_table *t, uint64_t id)
{
	int i;

	for (i = 0; i < CHECKS_MAX; i++)
		if (t->check[i].probed == id)
			return 1;
	return 0;
}

static void
begin_check(struct member_table *t, struct check *c, int h, int64_t now)
{
	int handle[MEMBER_CHOSEN_MAX];
	int i, n = MIN(t->limits.indirect_probes, MEMBER_CHOSEN_MAX);

	c->probed = member_row(t, h)->m.info.id;
	c->seq = ++t->seq;
	c->acked = c->nacked = 0;
	c->ends_at = now + CHECK_TIMEOUTS * t->limits.probe_timeout;
	t->tick_due = MIN(t->tick_due, now);
	t->counts.checks++;
	member_send_ping(t, h, c->seq);
	n = member_sample(t, h, n, handle);
	for (i = 0; i < n; i++)
		member_send_ping_req(t, handle[i], h, c->seq);
}

void
member_check(struct member_table *t, uint64_t id, int64_t now)
{
	int i, h = member_find(t, id);
	const struct row *r = member_row(t, h);

	t->now = now;
	if (!r || h == 0 || r->m.state != MEMBER_ALIVE || t->leaving ||
	    t->paused || is_checked(t, id))
		return;
	for (i = 0; i < CHECKS_MAX; i++) {
		if (t->check[i].probed)
			continue;
		begin_check(t, &t->check[i], h, now);
		return;
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

/* Without a NACK nobody confirmed that the member is silent: the fault may be
 * ours. */
static void
end_check(struct member_table *t, struct check *c, int64_t now)
{
	int h = member_find(t, c->probed);

	c->probed = 0;
	if (h == MEMBER_NONE || t->paused)
		return;
	if (c->acked) {
		t->ops->event(t->ctx, h, MEMBER_EVENT_CHECK_ANSWERED);
	} else if (c->nacked) {
		t->ops->event(t->ctx, h, MEMBER_EVENT_CHECK_FAILED);
		member_suspect(t, h, now);
	} else {
		t->counts.checks_unconfirmed++;
		t->ops->event(t->ctx, h, MEMBER_EVENT_CHECK_UNCONFIRMED);
	}
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
		if (now >= c->ends_at)
			end_check(t, c, now);
		else
			next = MIN(next, c->ends_at);
	}
	return next;
}
