#ifndef KQ_CRASH_H
#define KQ_CRASH_H

#include <stdint.h>

/**
 * DOC: Requests that crash the targets which begin to run them.
 *
 * When a target ends, the daemon beside it tells all daemons which requests it
 * was running. A request is told from others by a digest of its content, since
 * it comes again under other ids and at other daemons. Each daemon counts, for
 * each request, the starts of targets that ended under it, and refuses one that
 * was there each time.
 *
 * Other requests that run beside it are counted too. They are told apart by
 * three rules: a request that any target answers is forgotten, and not counted
 * again for a while; only a request with more counted starts than all others
 * that were there is refused; a tie is broken by the next crash, and only after
 * CRASH_STARTS_TIED of them are all of a tie refused.
 *
 * All daemons draw the same conclusion from the same news, which may come in
 * any order and twice. Memory is bounded: requests with the fewest counted
 * starts are forgotten first. A refusal ends after a while, as the fault may
 * have been mended; after that one more crash brings it back.
 */

#define CRASH_STARTS 3 /* counted starts from which on a request is refused */
#define CRASH_STARTS_TIED 6 /* the same, if another one has as many */
#define CRASH_STARTS_KEPT 8 /* starts kept for a request */
#define CRASH_REQUESTS_MAX 1024 /* requests in a table */
#define CRASH_ANSWERED_SLOTS 2048 /* answered requests remembered, at most */
#define CRASH_REFUSE_US 600000000 /* duration of a refusal */
#define CRASH_KEEP_US 3600000000 /* a count is kept for this long */
#define CRASH_ANSWERED_US                                   \
	10000000 /* not counted for so long after an answer \
		  */

enum crash_kind {
	CRASH_ENDED = 1, /* a target ended while it ran the requests */
	CRASH_ANSWERED, /* a target answered the requests */
	CRASH_REFUSED /* the requests are refused */
};
#define CRASH_GROUP_MAX 24 /* requests of one message */

/**
 * struct crash_news - what daemons tell each other
 * @start: digest of the start of the target that ended; of CRASH_ANSWERED and
 *	CRASH_REFUSED that of the last one that ended under the request
 * @request: digests of requests, the one that began last first
 */
struct crash_news {
	enum crash_kind kind;
	uint64_t start;
	int n;
	uint64_t request[CRASH_GROUP_MAX];
};

struct crash_table;

struct crash_table *crash_new(void);
void crash_free(struct crash_table *);
/**
 * crash_apply() - take news, one's own or those of another daemon
 * @at: time of what they tell
 * @refused: filled in with the requests that are refused from now on
 * Return: number of these
 */
int crash_apply(struct crash_table *, const struct crash_news *, int64_t at,
    int64_t now, struct crash_news *refused);
/** crash_answered() - note that a target answered a request. Return: 1 if that
 * is news, which is filled in then, else 0 */
int crash_answered(struct crash_table *, uint64_t request, int64_t now,
    struct crash_news *);
/** crash_refused_until() - end of the refusal of a request, 0 if it is not
 * refused at @now */
int64_t
crash_refused_until(const struct crash_table *, uint64_t request, int64_t now);
/** crash_any() - whether the table holds any request */
int crash_any(const struct crash_table *);
/** crash_count() - number of requests in the table, of refused ones if
 * @refused */
int crash_count(const struct crash_table *, int refused, int64_t now);
/** crash_starts() - number of counted starts of a request */
int crash_starts(const struct crash_table *, uint64_t request);
/** crash_news_id() - id of news; the same for news of the same content, whoever
 * tells them */
uint64_t crash_news_id(const struct crash_news *);

#endif
