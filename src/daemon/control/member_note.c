#include "crash_codec.h"
#include "daemon/control/impl.h"
#include "rollout_codec.h"

/* News for all members, as notes of the membership (member.h): of requests that
 * crash targets, and of roll-outs. */

void
control_note_received(void *ctx, const struct member_note *note, int64_t at)
{
	struct control *c = ctx;
	struct rollout_news r;
	struct crash_news n;

	if (!rollout_news_decode(&r, note->data, note->len))
		control_rollout_news(c, &r);
	else if (crash_news_decode(&n, note->data, note->len))
		log_event(EVENT_DATAGRAM_REFUSED, G_LOG_LEVEL_INFO,
		    control_now(c), "note of a member refused bytes=%u",
		    note->len);
	else
		data_crash_news(c->data, &n, at);
}

void
control_tell_crash_news(void *ctx, void *message)
{
	struct member_note note = { 0 };
	struct crash_news *n = message;
	struct control *c = ctx;

	G_STATIC_ASSERT(CRASH_NEWS_BYTES <= MEMBER_NOTE_BYTES);
	note.id = crash_news_id(n);
	note.keep_ms = n->kind == CRASH_REFUSED ? CRASH_REFUSE_US / 1000 : 0;
	note.len = crash_news_encode(n, note.data, sizeof note.data);
	g_free(n);
	member_tell(c->members, &note, control_now(c));
	control_schedule_member_tick(c);
}
