#include "byte_limit.h"

void
byte_limit_take(struct byte_limit *b, size_t n)
{
	if (!b)
		return;
	b->used += (int64_t)n;
	if (b->used > b->peak)
		b->peak = b->used;
}

void
byte_limit_give(struct byte_limit *b, size_t n)
{
	if (b)
		b->used -= (int64_t)n;
}

int
byte_limit_reached(const struct byte_limit *b)
{
	return b->used >= b->limit;
}

int
byte_limit_is_half(const struct byte_limit *b)
{
	return b->used >= b->limit / 2;
}

int
byte_limit_is_short(const struct byte_limit *b)
{
	return b->limit - b->used < b->limit / BYTE_LIMIT_SHORT;
}

size_t
byte_limit_share(const struct byte_limit *b, size_t least, size_t most)
{
	int64_t share = (b->limit - b->used) / BYTE_LIMIT_SHARES;

	if (share < (int64_t)least)
		return least;
	return share < (int64_t)most ? (size_t)share : most;
}
