#include "core/rollout/impl.h"

#define ONE 1000000 /* credit of one attempt */

void
rollout_share_init(struct rollout_share *s, const struct rollout_order *o,
    const struct rollout_limits *l, uint64_t daemon)
{
	*s = (struct rollout_share){ 0 };
	if (l->slack > 0)
		s->credit =
		    (uint32_t)(rollout_mix(daemon ^ rollout_mix(o->id)) % ONE);
}

/* At most one attempt beyond the one at hand stays due, so that no burst
 * follows attempts that were given back. */
static void
add_credit(struct rollout_share *s, uint32_t credit)
{
	s->credit = MIN(s->credit + credit, 2 * ONE - 1);
}

int
rollout_take(struct rollout_share *s, double share)
{
	s->total++;
	if (share <= 0)
		return 0;
	if (share >= 1) {
		s->to_new++;
		return 1;
	}
	add_credit(s, (uint32_t)(share * ONE));
	if (s->credit < ONE)
		return 0;
	s->credit -= ONE;
	s->to_new++;
	return 1;
}

void
rollout_give_back(struct rollout_share *s)
{
	if (!s->to_new)
		return;
	s->to_new--;
	add_credit(s, ONE);
}
