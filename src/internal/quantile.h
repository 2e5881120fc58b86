#ifndef KQ_QUANTILE_H
#define KQ_QUANTILE_H

#include <stdint.h>

/**
 * DOC: Online quantiles of latencies.
 *
 * Counts in buckets of logarithmic width, eight an octave, so a quantile is
 * at most an eighth too high. All counts are halved whenever their sum reaches
 * QUANTILE_WINDOW, so old samples fade out with the number of new ones.
 */

#define QUANTILE_BUCKETS 256
#define QUANTILE_WINDOW 2048 /* samples */

struct quantile {
	uint32_t total;
	uint16_t count[QUANTILE_BUCKETS];
};

void quantile_init(struct quantile *);
void quantile_add(struct quantile *, int64_t us);
/** quantile_get() - upper edge in microseconds of the bucket that holds
 * quantile @share (0..1); 0 without samples */
int64_t quantile_get(const struct quantile *, double share);

#endif
