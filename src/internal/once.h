#ifndef KQ_ONCE_H
#define KQ_ONCE_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: At most one run of a non-idempotent request.
 *
 * A request id names the one incarnation that may run it, the time of that
 * incarnation's clock at which it was minted (its birth) and a random part.
 * The incarnation's table holds the fate of each id it has seen:
 *
 *   PENDING -> SENT -> DONE (answer kept) -> DONE (answer dropped)
 *      |         |---> UNKNOWN  (lost towards the target)
 *      `---------`---> NOT_RUN  (refused before the send, or by the target)
 *
 * Every fate on the right is final. An id answered "not run" therefore never
 * runs, whatever late, doubled or overtaken message with it still arrives;
 * the next try needs a new id.
 *
 * The table evicts final ids in order of birth and keeps the highest birth
 * evicted, the horizon. An unseen id born after the horizon was never seen;
 * any other unseen id may have been and is answered "unknown" for good. This
 * is exact whatever the clocks of the other daemons say: a wrong birth costs
 * a refusal, never a second run.
 *
 * Duties of the outbound side:
 *  - a call without an id gets a new one for each target tried; the next one
 *    is minted only after ONCE_NOT_RUN for the last;
 *  - an id brought by a caller goes to its own incarnation or nowhere; for an
 *    incarnation that has left the caller is told "unknown";
 *  - each answer to the caller names the id sent last.
 *
 * Duties of the inbound side: once_arrive() comes before admission;
 * once_may_send() directly before the first byte to the target; then exactly
 * one of once_done(), once_lost(), once_not_run(), once_shed().
 */

#define ONCE_ID_LEN 49 /* characters, without the final NUL */
#define ONCE_RANDOM_LEN 10 /* bytes of the random part */

/** struct once_id - a request id: 16 hex digits of the incarnation, "-", 32
 * of the nonce, that is 12 of the birth and 20 of the random part
 * @birth: milliseconds of the named incarnation's clock, 48 bits */
struct once_id {
	uint64_t incarnation;
	uint64_t birth;
	uint8_t random[ONCE_RANDOM_LEN];
};

/** once_id_parse() - read an id; -1 if @text is not one (only lower-case hex
 * is one) */
int once_id_parse(struct once_id *, const char *text);
/** once_id_format() - write an id with its final NUL */
void once_id_format(const struct once_id *, char out[ONCE_ID_LEN + 1]);

/**
 * struct once_clock - another incarnation's clock as the outbound side knows it
 *
 * The other side puts its present time on each reply and on the first message
 * of a connection. The estimate is never ahead of the true time, but for the
 * drift of the two clocks since the stamp. Zero it before first use.
 */
struct once_clock {
	int64_t stamp; /* us of the other clock */
	int64_t at; /* us of the own clock when the stamp came; 0 is never */
};

/** once_clock_stamp() - a stamp came; the latest to come counts */
void once_clock_stamp(struct once_clock *, int64_t stamp, int64_t now);
/** once_clock_time() - a time of the own clock (present, deadline) in us of
 * the other clock */
int64_t once_clock_time(const struct once_clock *, int64_t own);
/** once_id_mint() - a new id for the incarnation; -1 if no stamp came yet */
int
once_id_mint(struct once_id *, uint64_t incarnation, const struct once_clock *,
    int64_t now, const uint8_t random[ONCE_RANDOM_LEN]);

/** struct once_limits - bounds of one table */
struct once_limits {
	uint32_t entries; /* ids remembered, those in progress among them */
	size_t bytes; /* of all answers kept */
	size_t answer_bytes; /* of one answer kept, fields included */
	uint32_t waiters; /* repeats that wait for an answer, in all */
	uint32_t waiters_each; /* for one id */
	int64_t ahead_us; /* a birth further ahead of the present is refused */
};
#define ONCE_LIMITS_DEFAULT                                   \
	{                                                     \
		65536, 16 << 20, 256 << 10, 1024, 16, 2000000 \
	}

enum once_outcome {
	ONCE_RUN, /* run it; the handle is the entry's */
	ONCE_WAIT, /* the reply comes later; the handle is the waiter's */
	ONCE_ANSWER, /* ran; the kept answer is given */
	ONCE_RAN, /* ran; the answer is not kept */
	ONCE_NOT_RUN, /* not run, and never will be under this id */
	ONCE_UNKNOWN, /* not known whether it ran, for good */
	ONCE_BUSY, /* in progress and can't wait; repeat later */
	ONCE_ELSEWHERE, /* the id names another incarnation */
	ONCE_BAD_ID /* not an id, or born ahead of the present */
};

/** once_outcome_name() - "run", "wait", "answer", "ran", "not-run", ... */
const char *once_outcome_name(enum once_outcome);

struct once_field {
	const char *name;
	const char *value;
};

/** struct once_answer - a kept answer; valid until the next call that changes
 * the table */
struct once_answer {
	int status;
	int nfield;
	const struct once_field *field;
	const void *body;
	size_t body_len;
};

/** once_reply_fn - reply to a waiting repeat; the waiter's handle is invalid
 * from now on. It must not call into the table.
 * @ctx: the table's
 * @arg: the waiter's, from struct once_request
 * @answer: with ONCE_ANSWER, else NULL */
typedef void once_reply_fn(void *ctx, void *arg, enum once_outcome,
    const struct once_answer *answer);

/**
 * struct once_request - an arrival
 * @id: as received
 * @deadline: us of this incarnation's clock
 * @arg: handed to once_reply_fn if the arrival has to wait
 */
struct once_request {
	const char *id;
	int64_t deadline;
	void *arg;
};

struct once;

/**
 * once_new() - empty table
 * @incarnation: the own one, never used before by any daemon
 */
struct once *once_new(uint64_t incarnation, const struct once_limits *,
    once_reply_fn *, void *ctx);
/** once_free() - waiters get no reply */
void once_free(struct once *);

/**
 * once_arrive() - decide about an arrival
 * @now: us of this incarnation's clock
 * @handle: set with ONCE_RUN (entry) and ONCE_WAIT (waiter), else 0
 * @answer: set with ONCE_ANSWER, else NULL
 *
 * An arrival past its deadline whose id is unseen is ONCE_NOT_RUN; one whose
 * id was seen gets what is known.
 */
enum once_outcome once_arrive(struct once *, const struct once_request *,
    int64_t now, uint64_t *handle, const struct once_answer **answer);

/** once_may_send() - ask directly before the first byte to the target. Returns
 * 0 past the deadline of the arrival that runs: the fate is then "not run",
 * waiters are told, and the handle is invalid. */
int once_may_send(struct once *, uint64_t entry, int64_t now);

/** once_keep_head() - status and fields of the answer, copied; once_keep_body()
 * - the next bytes of it. The answer is not kept if it grows too large, or if
 * once_keep_head() was not called. */
void once_keep_head(struct once *, uint64_t entry, int status,
    const struct once_field *, int nfield);
void once_keep_body(struct once *, uint64_t entry, const void *, size_t);

/** once_done() - the target's answer is whole; the handle is invalid after */
void once_done(struct once *, uint64_t entry);
/** once_lost() - sent, and no whole answer will come. Before the send it is the
 * same as once_not_run(). The handle is invalid after. */
enum once_outcome once_lost(struct once *, uint64_t entry);
/** once_not_run() - refused with no byte given to the target. After
 * once_may_send() it is the same as once_lost(). Returns what may be said of
 * the request, ONCE_NOT_RUN or ONCE_UNKNOWN. The handle is invalid after. */
enum once_outcome once_not_run(struct once *, uint64_t entry);
/** once_shed() - the target itself said that it did not start the request; the
 * handle is invalid after */
enum once_outcome once_shed(struct once *, uint64_t entry);

/** once_forget() - the waiting repeat's caller went away; no reply follows */
void once_forget(struct once *, uint64_t waiter);
/** once_expire() - reply ONCE_BUSY to waiters whose deadline has passed */
void once_expire(struct once *, int64_t now);
/** once_next_due() - deadline of the waiter due first, INT64_MAX if none */
int64_t once_next_due(const struct once *);

/** struct once_stats - counts now and since the start */
struct once_stats {
	uint32_t entries, in_progress, waiters;
	size_t bytes;
	uint64_t runs, answers_evicted, ids_evicted;
	uint64_t horizon; /* highest birth evicted, ms; 0 if none */
};
void once_stats(const struct once *, struct once_stats *);

#endif
