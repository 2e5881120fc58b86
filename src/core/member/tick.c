#include "core/member/impl.h"

/* Time of the next tick. At most a gossip period from now: work that a received
 * message starts is then done in time without a new timer for each message. */
static int64_t
next_due(const struct member_table *t, int64_t due, int64_t now)
{
	due = MIN(due, now + t->limits.gossip_period);
	due = MIN(due, t->probe.next_at);
	due = MIN(due, t->sync_at);
	if (t->join.active)
		due = MIN(due, t->join.next_at);
	if (t->paused)
		due = MIN(due, t->resume_ping_at);
	return due;
}

int64_t
member_tick(struct member_table *t, int64_t now)
{
	int64_t due;

	t->now = now;
	member_detect_pause(t, now);
	member_resume_step(t, now);
	member_probe_step(t, now);
	member_gossip_step(t, now);
	member_sync_step(t, now);
	member_join_step(t, now);
	due = member_relay_expire(t, now);
	due = MIN(due, member_checks_expire(t, now));
	due = MIN(due, member_suspects_expire(t, now));
	t->tick_due = next_due(t, due, now);
	return t->tick_due;
}
