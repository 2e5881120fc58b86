#ifndef KQ_QUOTA_CODEC_H
#define KQ_QUOTA_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "quota.h"

/**
 * DOC: Notices about limits of organisations, in XDR (RFC 4506).
 */

#define QUOTA_ENTRIES_MAX 136 /* of one notice */
/* kind, counts and numbers, then 8 bytes for each grantor and 28 for each entry
 */
#define QUOTA_MESSAGE_BYTES (40 + 8 * QUOTA_GRANTORS + 28 * QUOTA_ENTRIES_MAX)

/**
 * enum quota_kind - notices
 * @QUOTA_POLL: a grantor asks for shares
 * @QUOTA_LEND: a daemon lends its shares until the end of the term, counted
 *	from the poll that it answers
 * @QUOTA_ASK: a daemon asks for tokens
 * @QUOTA_GRANT: the grantor's answer
 */
enum quota_kind { QUOTA_POLL = 1, QUOTA_LEND, QUOTA_ASK, QUOTA_GRANT };

/**
 * struct quota_entry - an organisation in a notice; tokens are in thousandths
 * @id: hash of its name
 * @tokens: lend: handed over; ask: held by the daemon that asks; grant: granted
 * @used: ask: tokens used since the start of the daemon
 * @want: ask: tokens that requests wait for
 * @ahead: ask: tokens wanted beside these; grant: time after which refused
 *	requests may come again, in milliseconds
 * @refused: ask: requests refused since the last ask
 */
struct quota_entry {
	uint64_t id;
	int32_t tokens;
	uint32_t used;
	uint32_t want;
	uint32_t ahead;
	uint32_t refused;
};

/**
 * struct quota_message - a notice
 * @number: poll: time of the sender, returned by the lend; ask: number of the
 *	ask, returned by the grant
 * @members: lend: number of members among whom the sender divides
 * @ms: poll: term of the loans that are asked for; lend: time for which some of
 *	the shares are still lent to a former grantor; in milliseconds
 * @ngrantor: lend: number of @grantor
 * @grantor: daemons that may be grantors, as the sender knows them
 */
struct quota_message {
	enum quota_kind kind;
	uint64_t number;
	uint32_t members;
	uint32_t ms;
	uint32_t ngrantor;
	uint64_t grantor[QUOTA_GRANTORS];
	uint32_t n;
	struct quota_entry entry[QUOTA_ENTRIES_MAX];
};

/** quota_encode() - Return: bytes written, 0 if they do not fit */
size_t
quota_encode(const struct quota_message *, unsigned char *buf, size_t size);
/** quota_decode() - Return: 0, or -1 if the bytes are no such notice */
int quota_decode(struct quota_message *, const unsigned char *buf, size_t size);

#endif
