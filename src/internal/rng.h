#ifndef KQ_RNG_H
#define KQ_RNG_H

#include <stdint.h>

/**
 * DOC: Seeded random numbers.
 *
 * SplitMix64 (Steele, Lea, Flood, "Fast splittable pseudorandom number
 * generators", OOPSLA 2014). Not for secrets: the output is predictable.
 */

struct rng {
	uint64_t state;
};

void rng_seed(struct rng *, uint64_t seed);
uint64_t rng_next(struct rng *);
/** rng_below() - random integer, uniform in 0..n-1; 0 when n is 0 */
uint32_t rng_below(struct rng *, uint32_t n);
/** rng_unit() - random number, uniform in [0, 1) */
double rng_unit(struct rng *);

#endif
