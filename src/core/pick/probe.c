#include "impl.h"

#define US_PER_S 1e6
#define OTHER_ONE_IN 8 /* one probe in so many goes to other data centres */
/* The same where crossings have a price: without reports no call leaves. */
#define OTHER_ONE_IN_PRICED 2
#define COMPARED 3 /* candidates whose reports are compared for one probe */

/* Of a few random candidates, the one whose last report is the oldest. */
static uint32_t
oldest_report(struct pick *p, const struct list *l)
{
	uint32_t best = l->index[rng_below(&p->rng, l->n)];
	int i;

	for (i = 1; i < COMPARED; i++) {
		uint32_t other = l->index[rng_below(&p->rng, l->n)];

		if (p->candidate[other].report_at <
		    p->candidate[best].report_at)
			best = other;
	}
	return best;
}

uint32_t
pick_next_probe(struct pick *p, int64_t now)
{
	const struct list *l = &p->list[GROUP_LOCAL];
	uint32_t index, one_in;

	if (p->config.probe_per_s <= 0 || p->probe_credit < 1 ||
	    now < p->next_probe || !pick_count(p))
		return PICK_NONE;
	one_in = p->config.crossing_us > 0 ? OTHER_ONE_IN_PRICED : OTHER_ONE_IN;
	if (!l->n ||
	    (p->list[GROUP_OTHER].n && rng_below(&p->rng, one_in) == 0))
		l = &p->list[GROUP_OTHER];
	index = p->config.policy == PICK_PROBE_POOL
		    ? l->index[rng_below(&p->rng, l->n)]
		    : oldest_report(p, l);
	p->probe_credit--;
	p->next_probe = now + (int64_t)(US_PER_S / p->config.probe_per_s);
	return pick_handle(p, index);
}

void
pick_note_probe_reply(struct pick *p, uint32_t handle, int64_t now,
    const struct load_report *l)
{
	uint32_t index = pick_find(p, handle);

	if (index == INDEX_NONE)
		return;
	pick_note_report(p, &p->candidate[index], now, l, 0);
	if (p->config.policy == PICK_PROBE_POOL)
		pool_add(p, handle, now, l);
}
