#ifndef KQ_BUDGET_H
#define KQ_BUDGET_H

#include <stdint.h>

/**
 * DOC: Measuring budget of one target.
 *
 * A token bucket with a burst of one: two measurements are at least one
 * period apart, whoever asks. The bucket starts empty, so a restarted daemon
 * can't measure twice within a period. Time that runs backwards earns
 * nothing.
 */

#define BUDGET_NEVER INT64_MAX

/**
 * struct budget - token bucket with a burst of one
 * @period_us: least time between two measurements; BUDGET_NEVER at rate 0
 * @last: time of the last measurement, or of the start
 */
struct budget {
	int64_t period_us;
	int64_t last;
	uint64_t taken;
	uint64_t refused;
};

/** budget_init() - empty bucket; @per_s at most 0 (or not a number) is never */
void budget_init(struct budget *, double per_s, int64_t now);
/** budget_set_rate() - new service file; what was spent stays spent */
void budget_set_rate(struct budget *, double per_s);
/** budget_take() - nonzero if one measurement may be sent now; it is paid */
int budget_take(struct budget *, int64_t now);
/** budget_next() - earliest time of the next measurement, or BUDGET_NEVER */
int64_t budget_next(const struct budget *);

#endif
