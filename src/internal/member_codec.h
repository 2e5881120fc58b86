#ifndef KQ_MEMBER_CODEC_H
#define KQ_MEMBER_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "member.h"
#include "settings.h"

/**
 * DOC: Datagrams of the failure detector: XDR (RFC 4506), authenticated.
 *
 *     offset 0   format version (1 byte), id of the first key (1 byte), id of
 *                the second key or 0 (1 byte), number of tags less one (1 byte)
 *     offset 4   counter (8 bytes, big endian), incremented for each datagram
 *     offset 12  message in XDR, starting with the ids of its sender and its
 *                receiver
 *     last 32    tag: HMAC-SHA-512-256 (libsodium's crypto_auth) of all bytes
 *                before the tags; with two keys 64 bytes, a tag for each key
 *
 * The tags cover the receiver's id, so that a datagram can't be replayed to a
 * later incarnation. Only a JOIN has no receiver id; as it may be a replay, the
 * failure detector uses no statement in it. Within an incarnation, replays are
 * rejected by a window of counters for each sender; when there are too many
 * senders, the window used least recently is dropped. A key id is the first
 * byte of a hash of the key. A sender tags each datagram with all of its keys
 * and the receiver needs one valid tag, so that keys can be rotated one daemon
 * at a time.
 */

#define DATAGRAM_MAX 1400 /* bytes */
#define DATAGRAM_HEAD_BYTES 12
#define DATAGRAM_TAG_BYTES 32
#define DATAGRAM_SENDERS_MAX 8192 /* senders whose counters are tracked */

enum datagram_reason {
	DATAGRAM_OK,
	DATAGRAM_SHORT, /* shorter than its head and one tag */
	DATAGRAM_UNKNOWN_VERSION, /* unknown format version */
	DATAGRAM_UNKNOWN_KEY, /* none of its key ids is known */
	DATAGRAM_FORGED, /* no valid tag, or wrong number of tags */
	DATAGRAM_MALFORMED, /* valid tag, but the message can't be decoded */
	DATAGRAM_NOT_FOR_US, /* to another incarnation, or sent by ourselves */
	DATAGRAM_REPLAYED /* counter already seen or too old */
};
#define DATAGRAM_REASONS 8

/** datagram_reason_name() - text of a reason for log lines */
const char *datagram_reason_name(enum datagram_reason);

struct datagram_codec;

/**
 * datagram_codec_new() - create the codec of one daemon
 * @self: our incarnation
 * @key: fleet keys; all of them sign what is sent, and each is accepted
 * @nkey: 1 or 2
 *
 * Return: the codec, or NULL if libsodium can't be initialised.
 */
struct datagram_codec *datagram_codec_new(uint64_t self,
    const unsigned char (*key)[FLEET_KEY_BYTES], int nkey);
void datagram_codec_free(struct datagram_codec *);
/** datagram_codec_set_keys() - replace the keys; counters are kept */
void datagram_codec_set_keys(struct datagram_codec *,
    const unsigned char (*key)[FLEET_KEY_BYTES], int nkey);

/** datagram_encode() - encode and sign a message; returns the size of the
 * datagram, or 0 if it does not fit into @size or DATAGRAM_MAX bytes */
size_t datagram_encode(struct datagram_codec *, const struct member_message *,
    unsigned char *buf, size_t size);
/** datagram_decode() - verify and decode a datagram; @message is valid only
 * with DATAGRAM_OK, and the caller sets its source */
enum datagram_reason datagram_decode(struct datagram_codec *,
    const unsigned char *buf, size_t n, struct member_message *message);
/** datagram_count() - number of datagrams decoded so far with this result */
uint64_t datagram_count(const struct datagram_codec *, enum datagram_reason);
/** datagram_forget_sender() - drop the counter window of a sender that won't
 * return */
void datagram_forget_sender(struct datagram_codec *, uint64_t sender);

/** member_message_encode(), member_message_decode() - the XDR alone, without
 * head and tags; return the bytes written or read, or 0 on error */
size_t member_message_encode(const struct member_message *, unsigned char *buf,
    size_t size);
size_t member_message_decode(struct member_message *, const unsigned char *buf,
    size_t n);

#endif
