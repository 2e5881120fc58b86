#ifndef KQ_QUOTA_H
#define KQ_QUOTA_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Limits on the requests of organisations at all daemons together.
 *
 * A limit is a token bucket. Of its rate and its depth each daemon owns an
 * equal share, one part in the number of members. For terms of a few seconds it
 * lends its share to the grantor, which is one daemon for each organisation,
 * chosen by hash; the grantor gives the tokens out to the daemons that ask. A
 * share that is lent is not used by its owner, whether the owner reaches the
 * others or not, so that shares always add up to one limit. A daemon that is
 * cut off uses its own share again when the term is over.
 *
 * A request that finds no token waits for the answer of the grantor, usually
 * the time of one exchange. A daemon that serves an organisation often asks
 * ahead.
 *
 * All numbers of tokens are fractions, so that shares of small limits are not
 * lost by rounding; whole tokens are granted.
 */

#define QUOTA_WINDOW_US 5000000 /* period over which the bound holds */
#define QUOTA_TICK_US 20000 /* period of quota_tick() */
#define QUOTA_GRANTORS 16 /* daemons that may be grantors, at most */
/* A request waits so long for tokens; three attempts at an exchange. */
#define QUOTA_WAIT_US 150000
#define QUOTA_NAME_MAX 64 /* bytes of an organisation's name, with the NUL */

/** enum quota_verdict - what quota_admit() decides
 * @QUOTA_WAITS: the callback @decided follows unless quota_cancel() is called
 */
enum quota_verdict { QUOTA_REFUSED, QUOTA_ADMITTED, QUOTA_WAITS };

/**
 * enum quota_state - what is known of a daemon
 * @QUOTA_LOST: it may have ended or be cut off, and keeps its share for a while
 * @QUOTA_LEFT: it ended; its share is given up at once
 */
enum quota_state { QUOTA_LOST, QUOTA_ALIVE, QUOTA_LEFT };

struct quota_member {
	uint64_t incarnation;
	enum quota_state state;
};

/** struct quota_figures - an organisation as this daemon sees it
 * @limited: nonzero from the first refusal until there was none for a window
 * @limited_since: time of the first of these refusals
 * @unanswered: nonzero if the last of them was for want of an answer from the
 *	grantor, zero if the limit was used up
 * @held: tokens that this daemon can use
 * @stock: tokens to be granted, if this daemon is the grantor */
struct quota_figures {
	const char *name;
	double rate_per_s;
	double burst;
	int limited;
	int64_t limited_since;
	int unanswered;
	uint64_t admitted;
	uint64_t refused;
	uint64_t extra;
	uint64_t waited;
	double held;
	double stock;
	uint64_t grantor;
};

/** struct quota_totals - counts since the start */
struct quota_totals {
	uint64_t sent[5]; /* notices by kind, see quota_codec.h */
	uint64_t received;
	uint64_t invalid;
	uint64_t waits_over; /* waits that ended without an answer */
	uint64_t rows; /* daemons known at organisations granted here */
};

/**
 * struct quota_events - callbacks
 * @send: send a notice to a daemon. Return: 0, or -1 if it was not sent
 * @decided: a request that waited is admitted or refused
 * @limited: an organisation begins to be refused requests here, or has not been
 *	for a window
 */
struct quota_events {
	int (*send)(void *ctx, uint64_t to, const void *bytes, size_t n);
	void (*decided)(void *ctx, void *request, int admitted,
	    int64_t retry_after_us);
	void (*limited)(void *ctx, const struct quota_figures *, int begins);
};

struct quota;

struct quota *quota_new(uint64_t seed, const struct quota_events *, void *ctx);
void quota_free(struct quota *);
/** quota_set_members() - set the daemons known, this one (@self) among them.
 * Those that are no longer in the list count as lost */
void quota_set_members(struct quota *, const struct quota_member *, int n,
    uint64_t self, int64_t now);
/** quota_set_limits() - set the limit of an organisation; a rate of 0 removes
 * it */
void quota_set_limits(struct quota *, const char *name, double rate_per_s,
    double burst, int64_t now);
/** quota_begin_limits() - begin to set all limits anew; quota_end_limits()
 * removes those that were not set since */
void quota_begin_limits(struct quota *);
void quota_end_limits(struct quota *, int64_t now);
/**
 * quota_admit() - decide on a request of an organisation
 * @request: passed to @decided if it waits; not NULL then
 * @retry_after_us: filled in if it is refused
 */
enum quota_verdict quota_admit(struct quota *, const char *name, void *request,
    int64_t now, int64_t *retry_after_us);
/** quota_cancel() - forget a request that waits */
void quota_cancel(struct quota *, const char *name, const void *request);
/** quota_count_extra() - count an attempt after the first of a request; it is
 * paid from tokens that come later if there are none */
void quota_count_extra(struct quota *, const char *name, int64_t now);
/** quota_tick() - to be called every QUOTA_TICK_US while quota_any(). After a
 * gap of a second, as this daemon was suspended, grants are dropped */
void quota_tick(struct quota *, int64_t now);
void quota_receive(struct quota *, uint64_t from, const void *bytes, size_t n,
    int64_t now);
/** quota_any() - whether there are organisations with limits */
int quota_any(const struct quota *);
void quota_totals(const struct quota *, struct quota_totals *);
typedef void quota_each_fn(void *ctx, const struct quota_figures *);
/** quota_each() - call a function for each organisation with a limit */
void quota_each(struct quota *, quota_each_fn *, void *ctx, int64_t now);

#endif
