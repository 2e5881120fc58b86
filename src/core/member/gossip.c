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
	if (t->queue->len == 0 && t->notify_rounds == 0 && !member_has_notes(t))
		return;
	if (send_gossip_round(t) > 0 && t->notify_rounds > 0)
		t->notify_rounds--;
}

void
member_set_config_version(struct member_table *t, uint64_t config_version,
    uint64_t digest, int64_t now)
{
	t->now = now;
	if (config_version < t->config_version)
		return;
	t->config_digest = digest;
	if (config_version == t->config_version)
		return;
	t->config_version = config_version;
	t->notify_rounds = NOTIFY_ROUNDS;
	t->gossip_at = MIN(t->gossip_at, now);
	member_gossip_step(t, now);
	t->tick_due = MIN(t->tick_due, t->gossip_at);
}

/* Tells a few members in the next tick. */
static void
set_reading(struct member_table *t, uint32_t number, int64_t at, int64_t now)
{
	t->reading = number;
	t->reading_at = at;
	t->notify_rounds = MAX(t->notify_rounds, READING_ROUNDS);
	t->gossip_at = MIN(t->gossip_at, now);
	t->tick_due = MIN(t->tick_due, now);
}

void
member_set_reading(struct member_table *t, int64_t at, int64_t now)
{
	set_reading(t, t->reading + 1, at, now);
}

int64_t
member_reading_at(const struct member_table *t)
{
	return t->reading_at;
}

/* Numbers are compared, not times, since a time grows by each delay on its way:
 * a slow member would seem to bring a newer one. */
void
member_note_reading(struct member_table *t, const struct member_message *msg,
    int64_t now)
{
	if (msg->reading && (int32_t)(msg->reading - t->reading) > 0)
		set_reading(t, msg->reading, now - msg->reading_age, now);
}

void
member_leave(struct member_table *t, int64_t now)
{
	struct row *self = member_row(t, 0);

	if (t->leaving)
		return;
	t->now = now;
	t->leaving = 1;
	self->m.state = MEMBER_LEFT;
	self->m.state_since = now;
	member_enqueue(t, 0, 0);
	t->gossip_at = now;
	member_gossip_step(t, now);
}
