#ifndef KQ_QUANTILE_H
#define KQ_QUANTILE_H

#include <stdint.h>

/**
 * DOC: Online quantiles of latencies.
 *
 * Samples are counted in buckets of logarithmic width, eight per power of two,
 * so a quantile is at most an eighth too high. All counts are halved whenever
 * their sum reaches QUANTILE_WINDOW, so the weight of old samples falls as new
 * ones are added.
 */

#define QUANTILE_BUCKETS 256
#define QUANTILE_WINDOW 2048 /* samples */

/** struct quantile - counts of samples
 * @total: sum of @count */
struct quantile {
	uint32_t total;
	uint16_t count[QUANTILE_BUCKETS];
};

void quantile_init(struct quantile *);
void quantile_add(struct quantile *, int64_t us);
/** quantile_get() - quantile @share (0..1) in microseconds, as the upper edge
 * of its bucket; 0 without samples */
int64_t quantile_get(const struct quantile *, double share);

#endif
