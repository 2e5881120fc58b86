#ifndef KQ_BUDGET_H
#define KQ_BUDGET_H

#include <stdint.h>

/**
 * DOC: Rate limit of the measurements (health, load and probe requests) of one
 * target.
 *
 * A token bucket with a burst of one: any two measurements are at least one
 * period apart, whoever asks for them. The bucket starts empty, so that a
 * restarted daemon can't measure twice within a period. A clock that goes
 * backwards adds no token.
 */

#define BUDGET_NEVER INT64_MAX /* as period or time: no measurement */

/**
 * struct budget - token bucket with a burst of one; times in microseconds
 * @period_us: least time between two measurements; BUDGET_NEVER at rate 0
 * @last_us: time of the last measurement, or of budget_init()
 * @taken: total of measurements allowed
 * @denied: total of measurements denied
 */
struct budget {
	int64_t period_us;
	int64_t last_us;
	uint64_t taken;
	uint64_t denied;
};

/** budget_init() - make the bucket empty, to earn @per_s measurements a second;
 * none if @per_s is at most 0 or not a number */
void budget_init(struct budget *, double per_s, int64_t now);
/** budget_set_rate() - change the rate; the time of the last measurement stays
 */
void budget_set_rate(struct budget *, double per_s);
/** budget_take() - whether a measurement may be sent now; if so, nonzero, and
 * the token is spent */
int budget_take(struct budget *, int64_t now);
/** budget_next_time() - get the earliest time of the next measurement, or
 * BUDGET_NEVER */
int64_t budget_next_time(const struct budget *);

#endif
