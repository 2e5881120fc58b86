#ifndef KQ_HISTOGRAM_H
#define KQ_HISTOGRAM_H

#include <stdint.h>

/**
 * DOC: Histogram of times with a bounded relative error.
 *
 * Values below HISTOGRAM_SUB are counted exactly. Above, the range from each
 * power of two to the next is divided into HISTOGRAM_SUB equal buckets, so that
 * the width of a bucket is at most 1/128 (0.8 per cent) of its values. Memory
 * is fixed; adding a value takes a few instructions.
 */

#define HISTOGRAM_SUB_BITS 7
#define HISTOGRAM_SUB (1 << HISTOGRAM_SUB_BITS)
#define HISTOGRAM_MAX_BITS 36 /* values from 2^36 on share the last bucket */
#define HISTOGRAM_BUCKETS \
	((HISTOGRAM_MAX_BITS - HISTOGRAM_SUB_BITS + 1) * HISTOGRAM_SUB + 1)

/** struct histogram - zero it before first use
 * @count: values added
 * @sum: sum of the values
 * @max: largest value, exact
 * @bucket: number of values in each bucket */
struct histogram {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t bucket[HISTOGRAM_BUCKETS];
};

/** histogram_add() - add a value; a negative one counts as 0 */
void histogram_add(struct histogram *, int64_t value);
/** histogram_quantile() - value that a share @q (0..1) of all values does not
 * exceed, at most 1 per cent too high; 0 when empty */
uint64_t histogram_quantile(const struct histogram *, double q);
/** histogram_count_upto() - number of values up to @v, including larger ones in
 * the bucket of @v */
uint64_t histogram_count_upto(const struct histogram *, uint64_t v);
/** histogram_merge() - add all values of @from to a histogram */
void histogram_merge(struct histogram *, const struct histogram *from);

#endif
