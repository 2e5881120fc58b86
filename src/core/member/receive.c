#include "core/member/impl.h"

static int
holds_us_gone(const struct member_message *msg)
{
	return msg->view_state != MEMBER_ALIVE &&
	       msg->view_number != MEMBER_VIEW_NONE;
}

static void
answer(struct member_table *t, const struct member_message *msg,
    enum member_kind kind)
{
	struct member_message *out = member_begin(t, kind, msg->from);

	out->seq = msg->seq;
	if (holds_us_gone(msg))
		member_append(t, out, 0, 0, PIGGYBACK_BYTES);
	member_piggyback(t, out, PIGGYBACK_BYTES);
	member_send(t, &msg->source, out);
}

/* What the sender holds us to be; if it is wrong, refute towards it at once. */
static void
take_view(struct member_table *t, const struct member_message *msg)
{
	const struct row *self = member_row(t, 0);

	if (t->leaving || !holds_us_gone(msg))
		return;
	if (msg->view_state == MEMBER_LEFT) {
		struct member_update u = { .state = MEMBER_LEFT,
			.info.id = self->m.info.id };

		member_merge(t, &u, 0);
		return;
	}
	if (msg->view_number >= self->m.number)
		member_refute(t, msg->view_number);
	if (msg->kind != MEMBER_PING && msg->kind != MEMBER_JOIN)
		answer(t, msg, MEMBER_GOSSIP);
}

static void
take_digest(struct member_table *t, const struct member_message *msg)
{
	int handle = member_find(t, msg->from);
	struct row *r = member_row(t, handle);

	if (!r)
		return;
	member_confirm(t, handle);
	r->m.digest = MAX(r->m.digest, msg->digest);
	if (msg->digest > t->digest)
		t->ops->behind(t->ctx, handle, msg->digest);
}

/* A sender that we hold dead must hear of it; one that we don't know is asked
 * who it is. Probes are answered anyway. */
static void
meet_stranger(struct member_table *t, const struct member_message *msg)
{
	const struct row *r = member_row(t, member_find(t, msg->from));
	struct member_message *out;

	if (msg->kind == MEMBER_JOIN || msg->kind == MEMBER_WELCOME)
		return;
	if (!r && !t->join.active) {
		out = member_begin(t, MEMBER_WANT, msg->from);
		out->want[0] = msg->from;
		out->nwant = 1;
		member_send(t, &msg->source, out);
	} else if (r && r->m.state == MEMBER_DEAD && msg->kind != MEMBER_PING) {
		answer(t, msg, MEMBER_GOSSIP);
	}
}

static void
dispatch(struct member_table *t, const struct member_message *msg, int64_t now)
{
	switch (msg->kind) {
	case MEMBER_PING:
		answer(t, msg, MEMBER_ACK);
		break;
	case MEMBER_PING_REQ:
		member_relay_start(t, msg, now);
		break;
	case MEMBER_ACK:
	case MEMBER_NACK:
		member_relay_answer(t, msg);
		member_probe_answer(t, msg);
		if (msg->kind == MEMBER_ACK)
			member_confirm_answer(t, msg);
		break;
	case MEMBER_JOIN:
		answer(t, msg, MEMBER_WELCOME);
		break;
	case MEMBER_WELCOME:
		member_join_welcome(t, msg, now);
		break;
	case MEMBER_PULL:
		member_pull_answer(t, msg);
		break;
	case MEMBER_PAGE:
		member_join_page(t, msg, now);
		break;
	case MEMBER_WANT:
		member_want_answer(t, msg);
		break;
	case MEMBER_GOSSIP:
		break;
	}
}

void
member_receive(struct member_table *t, const struct member_message *msg,
    int64_t now)
{
	uint64_t self = member_row(t, 0)->m.info.id;
	int i;

	member_note_time(t, now);
	if (msg->from == self || msg->from == 0 ||
	    msg->to != (msg->kind == MEMBER_JOIN ? 0 : self)) {
		t->counts.ignored++;
		return;
	}
	/* A JOIN may be a replay, so nothing in it is believed. */
	if (msg->kind != MEMBER_JOIN) {
		member_sync_answer(t, msg);
		for (i = 0; i < msg->nupdate; i++)
			member_merge(t, &msg->update[i], now);
		take_view(t, msg);
		take_digest(t, msg);
		meet_stranger(t, msg);
	}
	dispatch(t, msg, now);
}
