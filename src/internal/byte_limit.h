#ifndef KQ_BYTE_LIMIT_H
#define KQ_BYTE_LIMIT_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Limit on the bytes that a daemon holds for all calls together.
 *
 * Whatever holds bytes of a call takes them here and gives them back. So does
 * one that has allowed a peer to send bytes, before they come. A holder that
 * can wait asks for its share, which becomes smaller while the limit is being
 * used up, and never smaller than what it needs to go on. So the limit can be
 * exceeded by those least shares alone; what would hold more is refused while
 * the limit is reached.
 */

/* a holder's share is this part of the bytes that are free */
#define BYTE_LIMIT_SHARES 512
/* bytes are short once less than this part of the limit is free */
#define BYTE_LIMIT_SHORT 4

/**
 * struct byte_limit - bytes in use and their limit
 * @used: bytes that are held or may come
 * @peak: the most of these since the user set it to another value
 */
struct byte_limit {
	int64_t limit;
	int64_t used;
	int64_t peak;
};

/** byte_limit_take() - count bytes that are held or may come; without a limit,
 * when it is NULL, this does nothing */
void byte_limit_take(struct byte_limit *, size_t n);
/** byte_limit_give() - count bytes that are no longer held; NULL as above */
void byte_limit_give(struct byte_limit *, size_t n);
/** byte_limit_reached() - whether nothing new is to be held */
int byte_limit_reached(const struct byte_limit *);
/** byte_limit_is_half() - whether half of the bytes or more are in use */
int byte_limit_is_half(const struct byte_limit *);
/** byte_limit_is_short() - whether so much is in use that holders that make no
 * use of theirs should give it back */
int byte_limit_is_short(const struct byte_limit *);
/** byte_limit_share() - get the bytes, from @least to @most, that one holder
 * may hold now */
size_t byte_limit_share(const struct byte_limit *, size_t least, size_t most);

#endif
