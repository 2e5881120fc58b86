#include "core/member/impl.h"

static void
resume(struct member_table *t, int64_t late, int64_t now)
{
	guint i;

	t->counts.pauses++;
	t->paused = 1;
	t->confirm_seq = t->seq + 1;
	t->confirm_gap = t->limits.gossip_period;
	t->confirm_at = now;
	t->probe.phase = PROBE_IDLE;
	t->probe.next = now + t->limits.period;
	for (i = 0; i < t->suspects->len; i++) {
		int h = g_array_index(t->suspects, int, i);

		member_row(t, h)->dead_at += late;
	}
	/* Others may have declared us dead: be ahead of them. */
	member_row(t, 0)->m.number++;
	member_enqueue(t, 0, 0);
}

void
member_note_time(struct member_table *t, int64_t now)
{
	int64_t late = now - t->due;

	if (late < t->limits.late)
		return;
	t->due = now;
	if (g_hash_table_size(t->by_id) > 1 && !t->leaving)
		resume(t, late, now);
}

void
member_confirm_step(struct member_table *t, int64_t now)
{
	int handle[MEMBER_WATCHERS_MAX];
	int i, n = MIN(t->limits.fanout, MEMBER_WATCHERS_MAX);

	if (!t->paused || now < t->confirm_at)
		return;
	if (g_hash_table_size(t->by_id) == 1) {
		t->paused = 0;
		return;
	}
	t->confirm_at = now + t->confirm_gap;
	t->confirm_gap = MIN(2 * t->confirm_gap, CONFIRM_MAX_US);
	n = member_pick(t, 0, n, handle);
	for (i = 0; i < n; i++)
		member_ping(t, handle[i], ++t->seq);
}

void
member_confirm_answer(struct member_table *t, const struct member_message *msg)
{
	if (!t->paused || msg->view_state != MEMBER_ALIVE ||
	    msg->view_number != member_row(t, 0)->m.number)
		return;
	if ((int32_t)(msg->seq - t->confirm_seq) >= 0)
		t->paused = 0;
}

int
member_may_act(const struct member_table *t)
{
	return !t->paused && !t->leaving && !t->evicted;
}
