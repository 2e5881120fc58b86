#include "core/member/impl.h"

/* Next live member in the shuffled order, or MEMBER_NONE. Begins a new round
 * when all have been probed. */
static int
next_to_probe(struct member_table *t)
{
	int pass;

	for (pass = 0; pass < 2; pass++) {
		while (t->order_next < t->order->len) {
			int h = g_array_index(t->order, int, t->order_next++);
			const struct row *r = member_row(t, h);

			if (r && r->live_index >= 0)
				return h;
		}
		g_array_set_size(t->order, 0);
		g_array_append_vals(t->order, t->live->data, t->live->len);
		member_shuffle(t, t->order);
		t->order_next = 0;
	}
	return MEMBER_NONE;
}

static int64_t
scale_by_health(const struct member_table *t, int64_t time)
{
	return time * (1 + t->health);
}

/* The others send nothing to a member that has left: the configuration version
 * is in their answers. Other updates are left to the gossip, which counts how
 * often they are sent. */
static void
ask_for_version(struct member_table *t, int64_t now)
{
	struct member_message *msg;
	const struct member *m;
	int h;

	t->probe.phase = PROBE_IDLE;
	t->probe.next_at = now + t->limits.gossip_period;
	if (member_sample(t, 0, 1, &h) == 0)
		return;
	m = &member_row(t, h)->m;
	msg = member_begin_message(t, MEMBER_PING, m->info.id);
	msg->seq = ++t->seq;
	member_append_update(t, msg, 0, 0, PIGGYBACK_BYTES);
	member_send(t, &m->info.address, msg);
}

static void
begin_probe(struct member_table *t, int64_t now)
{
	struct probe *p = &t->probe;
	int h;

	if (t->leaving) {
		ask_for_version(t, now);
		return;
	}
	h = next_to_probe(t);
	p->begun = now;
	if (h == MEMBER_NONE) {
		p->phase = PROBE_IDLE;
		p->next_at = now + scale_by_health(t, t->limits.probe_period);
		return;
	}
	p->phase = PROBE_DIRECT;
	p->acked = p->nasked = p->nnack = 0;
	p->seq = ++t->seq;
	p->probed = member_row(t, h)->m.info.id;
	p->next_at = now + scale_by_health(t, t->limits.probe_timeout);
	t->counts.probes++;
	member_send_ping(t, h, p->seq);
}

static void
ask_helpers(struct member_table *t, int h)
{
	struct probe *p = &t->probe;
	int handle[MEMBER_CHOSEN_MAX];
	int i, n = MIN(t->limits.indirect_probes, MEMBER_CHOSEN_MAX);

	n = member_sample(t, h, n, handle);
	for (i = 0; i < n; i++)
		member_send_ping_req(t, handle[i], h, p->seq);
	p->nasked = n;
}

/* Updates the local health score (Lifeguard): helpers that sent not even a NACK
 * show that the fault may be ours. */
static void
end_probe(struct member_table *t, int64_t now)
{
	struct probe *p = &t->probe;
	int h = member_find(t, p->probed);

	if (p->acked) {
		t->health = MAX(t->health - 1, 0);
		return;
	}
	if (h == MEMBER_NONE || t->paused)
		return;
	t->counts.probes_failed++;
	t->health = MIN(t->health + MAX(p->nasked - p->nnack, 0), HEALTH_MAX);
	member_suspect(t, h, now);
}

void
member_probe_step(struct member_table *t, int64_t now)
{
	struct probe *p = &t->probe;
	int h;

	if (now < p->next_at)
		return;
	if (p->phase == PROBE_DIRECT) {
		p->phase = PROBE_INDIRECT;
		p->next_at = MAX(now + 1,
		    p->begun + scale_by_health(t, t->limits.probe_period));
		h = member_find(t, p->probed);
		if (p->acked || h == MEMBER_NONE)
			return;
		member_send_ping(t, h, p->seq);
		ask_helpers(t, h);
		return;
	}
	if (p->phase == PROBE_INDIRECT)
		end_probe(t, now);
	begin_probe(t, now);
}

void
member_receive_probe_answer(struct member_table *t,
    const struct member_message *msg)
{
	struct probe *p = &t->probe;

	if (p->phase == PROBE_IDLE || msg->seq != p->seq)
		return;
	if (msg->kind == MEMBER_NACK)
		p->nnack += msg->probed == p->probed;
	else if (msg->from == p->probed || msg->probed == p->probed)
		p->acked = 1;
}
