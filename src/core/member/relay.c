#include "core/member/impl.h"

#include <string.h>

#define RELAY_TIMEOUTS 2 /* probe timeouts until a relay answers with NACK */

void
member_relay_start(struct member_table *t, const struct member_message *msg,
    int64_t now)
{
	struct member_message *ping;
	struct relay *r = NULL;
	int i;

	for (i = 0; i < RELAYS_MAX && !r; i++) {
		if (t->relay[i].requester == 0)
			r = &t->relay[i];
	}
	if (!r || msg->probed == 0)
		return;
	r->requester = msg->from;
	r->probed = msg->probed;
	r->requester_seq = msg->seq;
	r->seq = ++t->seq;
	r->requester_address = msg->source;
	r->expires_at = now + RELAY_TIMEOUTS * t->limits.probe_timeout;
	ping = member_begin_message(t, MEMBER_PING, msg->probed);
	ping->seq = r->seq;
	member_piggyback(t, ping, PIGGYBACK_BYTES);
	member_send(t, &msg->probed_address, ping);
}

static void
answer(struct member_table *t, struct relay *r, enum member_kind kind)
{
	struct member_message *msg =
	    member_begin_message(t, kind, r->requester);

	msg->seq = r->requester_seq;
	msg->probed = r->probed;
	member_piggyback(t, msg, PIGGYBACK_BYTES);
	member_send(t, &r->requester_address, msg);
	r->requester = 0;
}

void
member_receive_relay_answer(struct member_table *t,
    const struct member_message *msg)
{
	int i;

	for (i = 0; i < RELAYS_MAX; i++) {
		struct relay *r = &t->relay[i];

		if (r->requester != 0 && r->seq == msg->seq &&
		    r->probed == msg->from)
			answer(t, r, MEMBER_ACK);
	}
}

int64_t
member_relay_expire(struct member_table *t, int64_t now)
{
	int64_t next = INT64_MAX;
	int i;

	for (i = 0; i < RELAYS_MAX; i++) {
		struct relay *r = &t->relay[i];

		if (r->requester == 0)
			continue;
		if (now >= r->expires_at)
			answer(t, r, MEMBER_NACK);
		else
			next = MIN(next, r->expires_at);
	}
	return next;
}
