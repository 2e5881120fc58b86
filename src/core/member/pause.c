#include "core/member/impl.h"

static void
start_resume(struct member_table *t, int64_t late, int64_t now)
{
	guint i;

	t->counts.pauses++;
	t->paused = 1;
	t->resume_seq = t->seq + 1;
	t->resume_ping_gap = t->limits.gossip_period;
	t->resume_ping_at = now;
	t->probe.phase = PROBE_IDLE;
	t->probe.next_at = now + t->limits.probe_period;
	/* The pause does not count as time that a suspect had to refute. */
	for (i = 0; i < t->suspects->len; i++) {
		int h = g_array_index(t->suspects, int, i);

		member_row(t, h)->dead_at += late;
	}
	/* Others may have declared us dead: refute that in advance. */
	member_row(t, 0)->m.state_seq++;
	member_enqueue(t, 0, 0);
}

void
member_detect_pause(struct member_table *t, int64_t now)
{
	int64_t late = now - t->tick_due;

	if (late < t->limits.pause_after)
		return;
	t->tick_due = now;
	if (g_hash_table_size(t->by_id) > 1 && !t->leaving)
		start_resume(t, late, now);
}

void
member_resume_step(struct member_table *t, int64_t now)
{
	int handle[MEMBER_CHOSEN_MAX];
	int i, n = MIN(t->limits.fanout, MEMBER_CHOSEN_MAX);

	if (!t->paused || now < t->resume_ping_at)
		return;
	if (g_hash_table_size(t->by_id) == 1) {
		t->paused = 0;
		return;
	}
	t->resume_ping_at = now + t->resume_ping_gap;
	t->resume_ping_gap = MIN(2 * t->resume_ping_gap, RESUME_GAP_MAX_US);
	n = member_sample(t, 0, n, handle);
	for (i = 0; i < n; i++)
		member_send_ping(t, handle[i], ++t->seq);
}

void
member_receive_resume_ack(struct member_table *t,
    const struct member_message *msg)
{
	if (!t->paused || msg->view_state != MEMBER_ALIVE ||
	    msg->view_seq != member_row(t, 0)->m.state_seq)
		return;
	if ((int32_t)(msg->seq - t->resume_seq) >= 0)
		t->paused = 0;
}

int
member_may_act(const struct member_table *t)
{
	return !t->paused && !t->leaving && !t->declared_left;
}
