#include "core/member/impl.h"

static int
send_gossip_round(struct member_table *t)
{
	int handle[MEMBER_CHOSEN_MAX];
	int i, n = MIN(t->limits.fanout, MEMBER_CHOSEN_MAX);

	n = member_sample(t, 0, n, handle);
	for (i = 0; i < n; i++)
		member_send_gossip(t, handle[i]);
	return n;
}

void
member_gossip_step(struct member_table *t, int64_t now)
{
	if (now < t->gossip_at)
		return;
	t->gossip_at = now + t->limits.gossip_period;
	if (t->queue->len == 0 && t->notify_rounds == 0)
		return;
	if (send_gossip_round(t) > 0 && t->notify_rounds > 0)
		t->notify_rounds--;
}

void
member_set_config_version(struct member_table *t, uint64_t config_version,
    int64_t now)
{
	if (config_version <= t->config_version)
		return;
	t->config_version = config_version;
	t->notify_rounds = NOTIFY_ROUNDS;
	t->gossip_at = MIN(t->gossip_at, now);
	member_gossip_step(t, now);
	t->tick_due = MIN(t->tick_due, t->gossip_at);
}

void
member_leave(struct member_table *t, int64_t now)
{
	struct row *self = member_row(t, 0);

	if (t->leaving)
		return;
	t->leaving = 1;
	self->m.state = MEMBER_LEFT;
	self->m.state_since = now;
	member_enqueue(t, 0, 0);
	t->gossip_at = now;
	member_gossip_step(t, now);
}
