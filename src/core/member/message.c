#include "core/member/impl.h"

#include <string.h>

static uint32_t
reading_age(const struct member_table *t)
{
	int64_t age = t->reading ? t->now - t->reading_at : 0;

	return (uint32_t)CLAMP(age, 0, UINT32_MAX);
}

struct member_message *
member_begin_message(struct member_table *t, enum member_kind kind, uint64_t to)
{
	struct member_message *msg = &t->out;
	const struct row *r = member_row(t, member_find(t, to));

	memset(msg, 0, offsetof(struct member_message, update));
	msg->kind = kind;
	msg->from = member_row(t, 0)->m.info.id;
	msg->to = to;
	msg->config_version = t->config_version;
	msg->config_digest = t->config_digest;
	msg->reading = t->reading;
	msg->reading_age = reading_age(t);
	msg->view_state = r ? r->m.state : MEMBER_ALIVE;
	msg->view_seq = r ? r->m.state_seq : MEMBER_VIEW_NONE;
	return msg;
}

void
member_send(struct member_table *t, const struct member_address *to,
    const struct member_message *msg)
{
	t->ops->send(t->ctx, to, msg);
}

void
member_send_piggybacked(struct member_table *t, int handle,
    struct member_message *msg, size_t bytes)
{
	member_piggyback(t, msg, bytes);
	member_send(t, &member_row(t, handle)->m.info.address, msg);
}

void
member_send_ping(struct member_table *t, int handle, uint32_t seq)
{
	struct member_message *msg = member_begin_message(t, MEMBER_PING,
	    member_row(t, handle)->m.info.id);

	msg->seq = seq;
	member_send_piggybacked(t, handle, msg, PIGGYBACK_BYTES);
}

void
member_send_ping_req(struct member_table *t, int helper, int probed,
    uint32_t seq)
{
	const struct member_info *info = &member_row(t, probed)->m.info;
	struct member_message *msg = member_begin_message(t, MEMBER_PING_REQ,
	    member_row(t, helper)->m.info.id);

	msg->seq = seq;
	msg->probed = info->id;
	msg->probed_address = info->address;
	member_send_piggybacked(t, helper, msg, PIGGYBACK_BYTES);
}

void
member_send_gossip(struct member_table *t, int handle)
{
	struct member_message *msg = member_begin_message(t, MEMBER_GOSSIP,
	    member_row(t, handle)->m.info.id);
	size_t bytes = (size_t)t->limits.datagram_bytes;

	member_piggyback(t, msg, bytes);
	member_append_notes(t, msg, bytes);
	member_send(t, &member_row(t, handle)->m.info.address, msg);
}
