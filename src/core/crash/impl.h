#ifndef KQ_CRASH_IMPL_H
#define KQ_CRASH_IMPL_H

#include <glib.h>

#include "crash.h"

/**
 * struct crash_request - a request that ran at a target that ended
 * @at: time of the last end
 * @refused_until: end of the refusal, 0 if it was never refused
 * @nstart: starts of targets that ended under it
 */
struct crash_request {
	uint64_t request;
	int64_t at;
	int64_t refused_until;
	int nstart;
	uint64_t start[CRASH_STARTS_KEPT];
};

/** struct crash_answer - a request that was answered; @at is 0 if unused */
struct crash_answer {
	uint64_t request;
	int64_t at;
};

/**
 * struct crash_table - see crash.h
 * @requests: digest to struct crash_request
 * @answered: the last answered request of each remainder of the digest
 */
struct crash_table {
	GHashTable *requests;
	struct crash_answer answered[CRASH_ANSWERED_SLOTS];
};

struct crash_request *crash_find(const struct crash_table *, uint64_t request);
/** crash_add() - find a request, or add it and forget another one if the table
 * is full */
struct crash_request *
crash_add(struct crash_table *, uint64_t request, int64_t now);
void crash_forget(struct crash_table *, uint64_t request);
void crash_remember_answer(struct crash_table *, uint64_t request, int64_t at);
/** crash_was_answered() - whether a request was answered a short time ago, as
 * far as is remembered */
int
crash_was_answered(const struct crash_table *, uint64_t request, int64_t now);

#endif
