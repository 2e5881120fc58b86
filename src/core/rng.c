#include "rng.h"

void
rng_seed(struct rng *r, uint64_t seed)
{
	r->state = seed;
}

uint64_t
rng_next(struct rng *r)
{
	uint64_t z = r->state += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

uint32_t
rng_below(struct rng *r, uint32_t n)
{
	return (uint32_t)(((rng_next(r) >> 32) * n) >> 32);
}

double
rng_unit(struct rng *r)
{
	return (double)(rng_next(r) >> 11) * 0x1p-53;
}
