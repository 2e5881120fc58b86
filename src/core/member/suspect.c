#include "core/member/impl.h"

void
member_suspect(struct member_table *t, int handle, int64_t now)
{
	const struct row *r = member_row(t, handle);

	if (r->m.state != MEMBER_ALIVE)
		return;
	member_set_state(t, handle, MEMBER_SUSPECT, r->m.state_seq, now);
	member_enqueue(t, handle, 0);
	/* Tell the suspect itself, so that it can refute (Lifeguard). */
	member_send_gossip(t, handle);
}

/* Pings a suspect again when due, as its refutation may have been lost on its
 * way to us. The ping carries our view of the suspect, which refutes it in its
 * answer. */
static void
ping_suspect(struct member_table *t, int handle, int64_t now)
{
	struct row *r = member_row(t, handle);

	if (now < r->check_at)
		return;
	r->check_at = now + (r->dead_at - r->m.state_since) / SUSPICION_PARTS;
	member_send_ping(t, handle, ++t->seq);
}

int64_t
member_suspects_expire(struct member_table *t, int64_t now)
{
	int64_t next = INT64_MAX;
	guint i = 0;

	if (t->paused)
		return next;
	while (i < t->suspects->len) {
		int h = g_array_index(t->suspects, int, i);
		const struct row *r = member_row(t, h);

		if (now < r->dead_at) {
			ping_suspect(t, h, now);
			next = MIN(next, MIN(r->dead_at, r->check_at));
			i++;
			continue;
		}
		member_set_state(t, h, MEMBER_DEAD, r->m.state_seq, now);
		member_enqueue(t, h, 0);
	}
	return next;
}
