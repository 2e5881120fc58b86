#include "quantile.h"

#include <string.h>

#define LINEAR 8 /* buckets of 1 us below the logarithmic ones */

static int
bucket_of(int64_t us)
{
	int top;
	int b;

	if (us < 0)
		us = 0;
	if (us < LINEAR)
		return (int)us;
	top = 63 - __builtin_clzll((uint64_t)us);
	b = (top - 2) * 8 + (int)((us >> (top - 3)) & 7);
	return b < QUANTILE_BUCKETS ? b : QUANTILE_BUCKETS - 1;
}

static int64_t
upper_edge(int b)
{
	if (b < LINEAR)
		return b;
	return ((int64_t)(8 + b % 8 + 1) << (b / 8 - 1)) - 1;
}

static void
halve(struct quantile *q)
{
	int i;

	q->total = 0;
	for (i = 0; i < QUANTILE_BUCKETS; i++) {
		q->count[i] /= 2;
		q->total += q->count[i];
	}
}

void
quantile_init(struct quantile *q)
{
	memset(q, 0, sizeof *q);
}

void
quantile_add(struct quantile *q, int64_t us)
{
	q->count[bucket_of(us)]++;
	if (++q->total >= QUANTILE_WINDOW)
		halve(q);
}

int64_t
quantile_get(const struct quantile *q, double share)
{
	double rank = share * q->total;
	uint32_t sum = 0;
	int last = 0;
	int i;

	if (!q->total)
		return 0;
	for (i = 0; i < QUANTILE_BUCKETS; i++) {
		if (!q->count[i])
			continue;
		last = i;
		sum += q->count[i];
		if (sum >= rank)
			break;
	}
	return upper_edge(last);
}
