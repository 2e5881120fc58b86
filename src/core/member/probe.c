#include "core/member/impl.h"

/* Next live member in this round of the shuffled order, or MEMBER_NONE. */
static int
next_target(struct member_table *t)
{
	int pass;

	for (pass = 0; pass < 2; pass++) {
		while (t->turn < t->order->len) {
			int h = g_array_index(t->order, int, t->turn++);
			const struct row *r = member_row(t, h);

			if (r && r->live >= 0)
				return h;
		}
		g_array_set_size(t->order, 0);
		g_array_append_vals(t->order, t->live->data, t->live->len);
		member_shuffle(t, t->order);
		t->turn = 0;
	}
	return MEMBER_NONE;
}

static int64_t
scaled(const struct member_table *t, int64_t time)
{
	return time * (1 + t->health);
}

static void
begin_probe(struct member_table *t, int64_t now)
{
	struct probe *p = &t->probe;
	int target = t->leaving ? MEMBER_NONE : next_target(t);

	p->begun = now;
	if (target == MEMBER_NONE) {
		p->phase = PROBE_IDLE;
		p->next = now + scaled(t, t->limits.period);
		return;
	}
	p->phase = PROBE_DIRECT;
	p->acked = p->asked = p->nacks = 0;
	p->seq = ++t->seq;
	p->id = member_row(t, target)->m.info.id;
	p->next = now + scaled(t, t->limits.probe_timeout);
	t->counts.probes++;
	member_ping(t, target, p->seq);
}

static void
ask_others(struct member_table *t, int target)
{
	struct probe *p = &t->probe;
	int handle[MEMBER_WATCHERS_MAX];
	int i, n = MIN(t->limits.indirect, MEMBER_WATCHERS_MAX);

	n = member_pick(t, target, n, handle);
	for (i = 0; i < n; i++) {
		struct member_message *msg = member_begin(t, MEMBER_PING_REQ,
		    member_row(t, handle[i])->m.info.id);

		msg->seq = p->seq;
		msg->target = p->id;
		msg->target_address = member_row(t, target)->m.info.address;
		member_send_to(t, handle[i], msg, PIGGYBACK_BYTES);
	}
	p->asked = n;
}

/* Local health of Lifeguard: those who were asked and did not even refuse show
 * that the fault may be ours. */
static void
end_probe(struct member_table *t, int64_t now)
{
	struct probe *p = &t->probe;
	int target = member_find(t, p->id);

	if (p->acked) {
		t->health = MAX(t->health - 1, 0);
		return;
	}
	if (target == MEMBER_NONE || t->paused)
		return;
	t->counts.probes_failed++;
	t->health = MIN(t->health + MAX(p->asked - p->nacks, 0), HEALTH_MAX);
	member_suspect(t, target, now);
}

void
member_probe_step(struct member_table *t, int64_t now)
{
	struct probe *p = &t->probe;
	int target;

	if (now < p->next)
		return;
	if (p->phase == PROBE_DIRECT) {
		p->phase = PROBE_INDIRECT;
		p->next = MAX(now + 1, p->begun + scaled(t, t->limits.period));
		target = member_find(t, p->id);
		if (p->acked || target == MEMBER_NONE)
			return;
		member_ping(t, target, p->seq);
		ask_others(t, target);
		return;
	}
	if (p->phase == PROBE_INDIRECT)
		end_probe(t, now);
	begin_probe(t, now);
}

void
member_probe_answer(struct member_table *t, const struct member_message *msg)
{
	struct probe *p = &t->probe;

	if (p->phase == PROBE_IDLE || msg->seq != p->seq)
		return;
	if (msg->kind == MEMBER_NACK)
		p->nacks += msg->target == p->id;
	else if (msg->from == p->id || msg->target == p->id)
		p->acked = 1;
}
