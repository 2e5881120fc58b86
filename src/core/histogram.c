#include "histogram.h"

#include <math.h>

static int
bucket_of(uint64_t v)
{
	int shift;

	if (v < HISTOGRAM_SUB)
		return (int)v;
	if (v >> HISTOGRAM_MAX_BITS)
		return HISTOGRAM_BUCKETS - 1;
	shift = 63 - __builtin_clzll(v) - HISTOGRAM_SUB_BITS;
	return shift * HISTOGRAM_SUB + (int)(v >> shift);
}

/* Largest value of a bucket. */
static uint64_t
bucket_top(int b)
{
	int shift;

	if (b < HISTOGRAM_SUB)
		return (uint64_t)b;
	shift = b / HISTOGRAM_SUB - 1;
	return ((uint64_t)(b - shift * HISTOGRAM_SUB + 1) << shift) - 1;
}

void
histogram_add(struct histogram *h, int64_t value)
{
	uint64_t v = value < 0 ? 0 : (uint64_t)value;

	h->count++;
	h->sum += v;
	if (v > h->max)
		h->max = v;
	h->bucket[bucket_of(v)]++;
}

uint64_t
histogram_quantile(const struct histogram *h, double q)
{
	uint64_t seen = 0, rank, top;
	int b;

	if (h->count == 0)
		return 0;
	rank = (uint64_t)ceil(q * (double)h->count);
	if (rank < 1)
		rank = 1;
	for (b = 0; b < HISTOGRAM_BUCKETS - 1; b++) {
		seen += h->bucket[b];
		if (seen >= rank)
			break;
	}
	top = bucket_top(b);
	return b == HISTOGRAM_BUCKETS - 1 || top > h->max ? h->max : top;
}

uint64_t
histogram_count_upto(const struct histogram *h, uint64_t v)
{
	int b, last = bucket_of(v);
	uint64_t n = 0;

	for (b = 0; b <= last; b++)
		n += h->bucket[b];
	return n;
}

void
histogram_merge(struct histogram *h, const struct histogram *from)
{
	int b;

	h->count += from->count;
	h->sum += from->sum;
	if (from->max > h->max)
		h->max = from->max;
	for (b = 0; b < HISTOGRAM_BUCKETS; b++)
		h->bucket[b] += from->bucket[b];
}
