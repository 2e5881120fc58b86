#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "crash_codec.h"
#include "member_codec.h"

/*
 * Decodes the input as an XDR message of the failure detector. A valid message
 * must have the same encoding after a second decoding, and is then given to a
 * membership table. The input is also decoded as a whole datagram.
 */

#define SELF_ID 1

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

/* A message that the table sends must encode to the size that
 * member_message_size() gives, unless that is more than a datagram holds. */
static void
on_send(void *ctx, const struct member_address *to,
    const struct member_message *msg)
{
	unsigned char buf[DATAGRAM_MAX];

	(void)to;
	if (member_message_size(msg) <= DATAGRAM_MAX &&
	    datagram_encode(ctx, msg, buf, sizeof buf) !=
		member_message_size(msg))
		abort();
}

static void
on_event(void *ctx, int handle, enum member_event event)
{
	(void)ctx;
	(void)handle;
	(void)event;
}

static void
on_behind(void *ctx, int handle, uint64_t digest)
{
	(void)ctx;
	(void)handle;
	(void)digest;
}

/* News that are valid have the same encoding after a second decoding. */
static void
on_note(void *ctx, const struct member_note *note, int64_t at)
{
	unsigned char buf[MEMBER_NOTE_BYTES];
	struct crash_news n;

	(void)ctx;
	(void)at;
	if (!crash_news_decode(&n, note->data, note->len) &&
	    (crash_news_encode(&n, buf, sizeof buf) != note->len ||
		memcmp(buf, note->data, note->len) != 0))
		abort();
}

/* Gives the message to a new table once a second, five times, with the table's
 * own member as receiver (0 in a join). */
static void
feed_table(struct datagram_codec *codec, struct member_message *m)
{
	static const struct member_limits limits = MEMBER_LIMITS_DEFAULT;
	static const struct member_ops ops = { on_send, on_event, on_behind,
		NULL, on_note };
	static const struct member_info self = { .id = SELF_ID,
		.datacentre = "luzon-a" };
	struct member_table *t = member_new(&self, &limits, 1, &ops, codec, 0);
	int64_t now;

	m->to = m->kind == MEMBER_JOIN ? 0 : SELF_ID;
	for (now = 0; now < 5; now++) {
		member_receive(t, m, now * 1000000);
		member_tick(t, now * 1000000 + 500000);
	}
	member_free(t);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
	static const unsigned char key[1][FLEET_KEY_BYTES] = { { 1 } };
	static struct member_message m, decoded;
	struct datagram_codec *c = datagram_codec_new(SELF_ID, key, 1);
	unsigned char buf[DATAGRAM_MAX], buf2[DATAGRAM_MAX];
	size_t used = member_message_decode(&m, data, n);

	if (used > 0 && used <= sizeof buf) {
		/* Padding may differ, so the two encodings are compared. */
		if (member_message_encode(&m, buf, sizeof buf) != used ||
		    member_message_decode(&decoded, buf, used) != used ||
		    member_message_encode(&decoded, buf2, sizeof buf2) !=
			used ||
		    memcmp(buf, buf2, used) != 0)
			abort();
		feed_table(c, &m);
	}
	datagram_decode(c, data, n, &m);
	datagram_codec_free(c);
	return 0;
}
