#ifndef KQ_STATED_H
#define KQ_STATED_H

#include <stdint.h>

/**
 * DOC: Rate limit that an overloaded target states on its answers: the requests
 * a second that it takes from all daemons together.
 *
 * The limit holds until an answer no longer states it. Answers can overtake
 * each other, so only the answer to a request that was sent after the limit was
 * last stated withdraws it.
 */

/* A limit below this counts as this, requests a second: a target that gets no
 * request at all could not withdraw its limit. */
#define STATED_LEAST_PER_S 0.5

/** struct stated_limit - limit of one run of a target; zero it before first use
 * @per_s: requests a second, 0 for no limit
 * @stated_at: when an answer last stated it
 * @by_health: nonzero if the answers to health checks state it, too, so that
 *one without it withdraws it */
struct stated_limit {
	double per_s;
	int64_t stated_at;
	int by_health;
};

/** stated_limit_parse() - parse a decimal number of requests a second
 * Return: 0, or -1 if @text is no such number */
int stated_limit_parse(const char *text, double *per_s);
/** stated_limit_set() - note an answer that states a limit. Return: nonzero if
 * the limit changed */
int stated_limit_set(struct stated_limit *, double per_s, int64_t now);
/** stated_limit_withdraw() - note an answer without a limit
 * @sent: when the request was sent to the target
 * Return: nonzero if this ended the limit */
int stated_limit_withdraw(struct stated_limit *, int64_t sent);

#endif
