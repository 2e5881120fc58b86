#include "member_codec.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "adapter/rpc/replay.h"

#define FORMAT_VERSION 3
#define KEY_ID_OFFSET 1 /* one byte for each tag */
#define EXTRA_TAGS_OFFSET 3 /* number of tags less one */
#define COUNTER_OFFSET 4

struct datagram_codec {
	uint64_t self; /* our incarnation */
	uint64_t counter; /* of the last datagram sent */
	struct replay *replay;
	int nkey;
	unsigned char key_id[SETTINGS_KEYS_MAX];
	unsigned char key[SETTINGS_KEYS_MAX][FLEET_KEY_BYTES];
	uint64_t count[DATAGRAM_REASONS];
};

G_STATIC_ASSERT(FLEET_KEY_BYTES == crypto_auth_KEYBYTES);
G_STATIC_ASSERT(DATAGRAM_TAG_BYTES == crypto_auth_BYTES);

const char *
datagram_reason_name(enum datagram_reason reason)
{
	static const char *const names[DATAGRAM_REASONS] = { "ok", "short",
		"version", "key", "forged", "malformed", "other", "replayed" };

	return names[reason];
}

static unsigned char
key_id(const unsigned char key[FLEET_KEY_BYTES])
{
	unsigned char hash[crypto_generichash_BYTES_MIN];

	crypto_generichash(hash, sizeof hash, key, FLEET_KEY_BYTES, NULL, 0);
	return hash[0];
}

void
datagram_codec_set_keys(struct datagram_codec *c,
    const unsigned char (*key)[FLEET_KEY_BYTES], int nkey)
{
	int i;

	c->nkey = CLAMP(nkey, 0, SETTINGS_KEYS_MAX);
	for (i = 0; i < c->nkey; i++) {
		memcpy(c->key[i], key[i], FLEET_KEY_BYTES);
		c->key_id[i] = key_id(key[i]);
	}
}

struct datagram_codec *
datagram_codec_new(uint64_t self, const unsigned char (*key)[FLEET_KEY_BYTES],
    int nkey)
{
	struct datagram_codec *c;

	if (sodium_init() == -1)
		return NULL;
	c = g_new0(struct datagram_codec, 1);
	c->self = self;
	c->replay = replay_new(DATAGRAM_SENDERS_MAX);
	datagram_codec_set_keys(c, key, nkey);
	return c;
}

void
datagram_codec_free(struct datagram_codec *c)
{
	if (!c)
		return;
	replay_free(c->replay);
	sodium_memzero(c->key, sizeof c->key);
	g_free(c);
}

size_t
datagram_encode(struct datagram_codec *c, const struct member_message *m,
    unsigned char *buf, size_t size)
{
	uint64_t counter = GUINT64_TO_BE(c->counter + 1);
	size_t tags = (size_t)c->nkey * DATAGRAM_TAG_BYTES;
	size_t n, room = MIN(size, DATAGRAM_MAX);
	int i;

	if (room < DATAGRAM_HEAD_BYTES + tags || c->nkey == 0)
		return 0;
	room -= DATAGRAM_HEAD_BYTES + tags;
	n = member_message_encode(m, buf + DATAGRAM_HEAD_BYTES, room);
	if (n == 0)
		return 0;
	memset(buf, 0, DATAGRAM_HEAD_BYTES);
	buf[0] = FORMAT_VERSION;
	buf[EXTRA_TAGS_OFFSET] = (unsigned char)(c->nkey - 1);
	for (i = 0; i < c->nkey; i++)
		buf[KEY_ID_OFFSET + i] = c->key_id[i];
	memcpy(buf + COUNTER_OFFSET, &counter, sizeof counter);
	n += DATAGRAM_HEAD_BYTES;
	for (i = 0; i < c->nkey; i++)
		if (crypto_auth(buf + n + i * DATAGRAM_TAG_BYTES, buf, n,
			c->key[i]) != 0)
			return 0;
	c->counter++;
	return n + tags;
}

/* Checks one tag with each key whose id is @id; two keys may share an id, as an
 * id has only one byte. */
static enum datagram_reason
verify_tag(const struct datagram_codec *c, const unsigned char *tag,
    unsigned char id, const unsigned char *buf, size_t n)
{
	enum datagram_reason reason = DATAGRAM_UNKNOWN_KEY;
	int i;

	for (i = 0; i < c->nkey; i++) {
		if (c->key_id[i] != id)
			continue;
		if (crypto_auth_verify(tag, buf, n, c->key[i]) == 0)
			return DATAGRAM_OK;
		reason = DATAGRAM_FORGED;
	}
	return reason;
}

/* One valid tag is enough: during a key rotation the receiver may have only one
 * of the sender's keys. */
static enum datagram_reason
verify_tags(const struct datagram_codec *c, const unsigned char *buf, size_t n,
    int ntag)
{
	enum datagram_reason r, reason = DATAGRAM_UNKNOWN_KEY;
	int i;

	for (i = 0; i < ntag; i++) {
		r = verify_tag(c, buf + n + i * DATAGRAM_TAG_BYTES,
		    buf[KEY_ID_OFFSET + i], buf, n);
		if (r == DATAGRAM_OK)
			return r;
		if (r == DATAGRAM_FORGED)
			reason = r;
	}
	return reason;
}

static int
for_us(const struct datagram_codec *c, const struct member_message *m)
{
	if (m->from == c->self)
		return 0;
	return m->to == (m->kind == MEMBER_JOIN ? 0 : c->self);
}

static enum datagram_reason
decode(struct datagram_codec *c, const unsigned char *buf, size_t n,
    struct member_message *m)
{
	enum datagram_reason reason;
	uint64_t counter;
	size_t body;
	int ntag;

	if (n < DATAGRAM_HEAD_BYTES + DATAGRAM_TAG_BYTES)
		return DATAGRAM_SHORT;
	if (buf[0] != FORMAT_VERSION)
		return DATAGRAM_UNKNOWN_VERSION;
	ntag = buf[EXTRA_TAGS_OFFSET] + 1;
	if (ntag > SETTINGS_KEYS_MAX ||
	    n < DATAGRAM_HEAD_BYTES + (size_t)ntag * DATAGRAM_TAG_BYTES)
		return DATAGRAM_FORGED;
	n -= (size_t)ntag * DATAGRAM_TAG_BYTES;
	reason = verify_tags(c, buf, n, ntag);
	if (reason != DATAGRAM_OK)
		return reason;
	body = n - DATAGRAM_HEAD_BYTES;
	if ((ntag == 1 && buf[KEY_ID_OFFSET + 1]) ||
	    member_message_decode(m, buf + DATAGRAM_HEAD_BYTES, body) != body)
		return DATAGRAM_MALFORMED;
	if (!for_us(c, m))
		return DATAGRAM_NOT_FOR_US;
	memcpy(&counter, buf + COUNTER_OFFSET, sizeof counter);
	if (!replay_accept(c->replay, m->from, GUINT64_FROM_BE(counter)))
		return DATAGRAM_REPLAYED;
	return DATAGRAM_OK;
}

enum datagram_reason
datagram_decode(struct datagram_codec *c, const unsigned char *buf, size_t n,
    struct member_message *m)
{
	enum datagram_reason reason = decode(c, buf, n, m);

	c->count[reason]++;
	return reason;
}

uint64_t
datagram_count(const struct datagram_codec *c, enum datagram_reason reason)
{
	return c->count[reason];
}

void
datagram_forget_sender(struct datagram_codec *c, uint64_t sender)
{
	replay_forget_sender(c->replay, sender);
}
