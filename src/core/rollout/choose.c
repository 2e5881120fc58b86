#include "core/rollout/impl.h"

#include <math.h>

#define FNV_BASIS 0xcbf29ce484222325u
#define FNV_PRIME 0x100000001b3u
#define ROUNDING 1e-9 /* of a product of a share and a count */

/* The finalizer of MurmurHash3. */
uint64_t
rollout_mix(uint64_t v)
{
	v = (v ^ (v >> 33)) * 0xff51afd7ed558ccdu;
	v = (v ^ (v >> 33)) * 0xc4ceb9fe1a85ec53u;
	return v ^ (v >> 33);
}

uint64_t
rollout_digest(const char *name)
{
	uint64_t h = FNV_BASIS;

	for (; *name; name++)
		h = (h ^ (unsigned char)*name) * FNV_PRIME;
	h = rollout_mix(h);
	return h ? h : 1;
}

int
rollout_wanted(double share, int nold)
{
	int n = (int)ceil(share * MAX(nold, 1) - ROUNDING);

	/* One target can't be told from its machine. */
	return MAX(n, ROLLOUT_TARGETS_MIN);
}

static uint64_t
weight(uint64_t member, uint64_t key)
{
	return rollout_mix(member ^ rollout_mix(key));
}

int
rollout_chosen(const uint64_t *target, int n, int k, uint64_t order,
    int *chosen)
{
	int i, j, m = 0;
	uint64_t w;

	for (i = 0; i < n; i++) {
		w = weight(target[i], order);
		for (j = m; j > 0 && weight(target[chosen[j - 1]], order) < w;
		     j--)
			if (j < k)
				chosen[j] = chosen[j - 1];
		if (j < k)
			chosen[j] = i;
		m = MIN(m + 1, k);
	}
	return MAX(m, 0);
}

int
rollout_decider(const uint64_t *member, int n, uint64_t service)
{
	int first;

	return rollout_chosen(member, n, 1, service, &first) ? first : -1;
}
