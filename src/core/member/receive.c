#include "core/member/impl.h"

static int
lists_us_not_alive(const struct member_message *msg)
{
	return msg->view_state != MEMBER_ALIVE &&
	       msg->view_seq != MEMBER_VIEW_NONE;
}

static void
answer(struct member_table *t, const struct member_message *msg,
    enum member_kind kind)
{
	struct member_message *out = member_begin_message(t, kind, msg->from);

	out->seq = msg->seq;
	if (lists_us_not_alive(msg))
		member_append_update(t, out, 0, 0, PIGGYBACK_BYTES);
	member_piggyback(t, out, PIGGYBACK_BYTES);
	member_send(t, &msg->source, out);
}

/* If the sender lists us as suspect or dead, refutes that and answers the
 * sender at once. LEFT can't be refuted: it sets declared_left and raises
 * MEMBER_EVENT_LEFT. */
static void
refute_view(struct member_table *t, const struct member_message *msg)
{
	const struct row *self = member_row(t, 0);

	if (t->leaving || !lists_us_not_alive(msg))
		return;
	if (msg->view_state == MEMBER_LEFT) {
		struct member_update u = { .state = MEMBER_LEFT,
			.info.id = self->m.info.id };

		member_merge(t, &u, 0);
		return;
	}
	if (msg->view_seq >= self->m.state_seq)
		member_refute(t, msg->view_seq);
	if (msg->kind != MEMBER_PING && msg->kind != MEMBER_JOIN)
		answer(t, msg, MEMBER_GOSSIP);
}

static void
note_config_version(struct member_table *t, const struct member_message *msg)
{
	int handle = member_find(t, msg->from);
	struct row *r = member_row(t, handle);

	if (!r)
		return;
	member_confirm(t, handle);
	r->m.config_version = MAX(r->m.config_version, msg->config_version);
	if (msg->config_version > t->config_version)
		t->ops->behind(t->ctx, handle, msg->config_version);
	else if (msg->config_version == t->config_version && t->ops->differs &&
		 t->config_digest && msg->config_digest &&
		 msg->config_digest != t->config_digest)
		t->ops->differs(t->ctx, handle, msg->config_digest);
}

/* Whether the sender's info is in the message. If the sender is unknown all the
 * same it can't be added, since it leaves or the table is full. */
static int
has_sender_info(const struct member_message *msg)
{
	int i;

	for (i = 0; i < msg->nupdate; i++)
		if (msg->update[i].info.id == msg->from &&
		    msg->update[i].has_info)
			return 1;
	return 0;
}

/* Tells a sender that we list it as dead, so that it can refute (if it sent a
 * PING, the ACK tells it). Asks an unknown sender for its info, but not one
 * that asks itself, or two that can't add each other would never end. */
static void
check_sender(struct member_table *t, const struct member_message *msg)
{
	const struct row *r = member_row(t, member_find(t, msg->from));
	struct member_message *out;

	if (msg->kind == MEMBER_JOIN || msg->kind == MEMBER_WELCOME)
		return;
	if (!r && !t->join.active && msg->kind != MEMBER_WANT &&
	    !has_sender_info(msg)) {
		out = member_begin_message(t, MEMBER_WANT, msg->from);
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
		member_receive_relay_answer(t, msg);
		member_receive_probe_answer(t, msg);
		member_receive_check_answer(t, msg);
		if (msg->kind == MEMBER_ACK)
			member_receive_resume_ack(t, msg);
		break;
	case MEMBER_JOIN:
		answer(t, msg, MEMBER_WELCOME);
		break;
	case MEMBER_WELCOME:
		member_receive_welcome(t, msg, now);
		break;
	case MEMBER_PULL:
		member_answer_pull(t, msg);
		break;
	case MEMBER_PAGE:
		member_receive_page(t, msg, now);
		break;
	case MEMBER_WANT:
		member_answer_want(t, msg);
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

	t->now = now;
	member_detect_pause(t, now);
	if (msg->from == self || msg->from == 0 ||
	    msg->to != (msg->kind == MEMBER_JOIN ? 0 : self)) {
		t->counts.ignored++;
		return;
	}
	/* A JOIN may be a replay, so its content is not used. */
	if (msg->kind != MEMBER_JOIN) {
		member_compare_updates(t, msg);
		for (i = 0; i < msg->nupdate; i++)
			member_merge(t, &msg->update[i], now);
		refute_view(t, msg);
		note_config_version(t, msg);
		member_note_reading(t, msg, now);
		member_receive_notes(t, msg, now);
		check_sender(t, msg);
	}
	dispatch(t, msg, now);
}
