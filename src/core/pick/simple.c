#include "impl.h"

uint32_t
pick_random(struct pick *p, const struct query *q)
{
	return pick_sample(p, q, INDEX_NONE);
}

uint32_t
pick_round_robin(struct pick *p, const struct query *q)
{
	const struct list *l = &p->list[q->group];
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		uint32_t index = l->index[p->turn++ % l->n];

		if (pick_usable(p, q, index))
			return index;
	}
	return INDEX_NONE;
}

uint32_t
pick_least_of_two(struct pick *p, const struct query *q)
{
	uint32_t a = pick_sample(p, q, INDEX_NONE);
	uint32_t b;

	if (a == INDEX_NONE)
		return a;
	b = pick_sample(p, q, a);
	if (b == INDEX_NONE)
		return a;
	return p->candidate[b].in_flight < p->candidate[a].in_flight ? b : a;
}

/* Latency times the own requests in flight, the new one included. */
static double
cost(const struct candidate *c)
{
	return c->latency_us * (c->in_flight + 1);
}

uint32_t
pick_latency_of_two(struct pick *p, const struct query *q)
{
	uint32_t a = pick_sample(p, q, INDEX_NONE);
	uint32_t b;

	if (a == INDEX_NONE)
		return a;
	b = pick_sample(p, q, a);
	if (b == INDEX_NONE)
		return a;
	return cost(&p->candidate[b]) < cost(&p->candidate[a]) ? b : a;
}
