#include "core/member/impl.h"

/* What a message sets going is looked at within a gossip period, so that the
 * caller need not move its timer at each of them. */
static int64_t
next_due(const struct member_table *t, int64_t due, int64_t now)
{
	due = MIN(due, now + t->limits.gossip_period);
	due = MIN(due, t->probe.next);
	due = MIN(due, t->sync_at);
	if (t->join.active)
		due = MIN(due, t->join.next);
	if (t->paused)
		due = MIN(due, t->confirm_at);
	return due;
}

int64_t
member_tick(struct member_table *t, int64_t now)
{
	int64_t due;

	member_note_time(t, now);
	member_confirm_step(t, now);
	member_probe_step(t, now);
	member_gossip_step(t, now);
	member_sync_step(t, now);
	member_join_step(t, now);
	due = member_relay_expire(t, now);
	due = MIN(due, member_suspects_expire(t, now));
	t->due = next_due(t, due, now);
	return t->due;
}
