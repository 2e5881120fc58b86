#include "impl.h"

#define RANDOM_TRIES 4 /* random draws before all candidates are scanned */

int
pick_in_classes(const struct candidate *c, uint32_t classes)
{
	return classes == PICK_ANY || c->classes & classes;
}

int
pick_allowed(const struct pick *p, const struct query *q, uint32_t index)
{
	const struct candidate *c = &p->candidate[index];
	uint32_t i;

	if (c->share <= 0 || !pick_in_classes(c, q->classes) ||
	    (q->room > 0 && !pick_has_room(c, q->room)))
		return 0;
	for (i = 0; i < q->nexclude; i++)
		if (q->exclude[i] == pick_handle(p, index))
			return 0;
	if (!q->strict)
		return !c->leaving_at || c->leaving_at >= q->leaving_from;
	return !c->draining && !c->leaving_at && c->avoid_until <= q->now;
}

int
pick_stays(const struct pick *p, int64_t now, uint32_t index)
{
	const struct candidate *c = &p->candidate[index];

	return !c->draining && !c->leaving_at && c->failing_until <= now;
}

int
pick_usable(struct pick *p, const struct query *q, uint32_t index)
{
	double share = p->candidate[index].share;

	if (!pick_allowed(p, q, index))
		return 0;
	return !q->strict || share >= 1 || rng_unit(&p->rng) < share;
}

uint32_t
pick_sample(struct pick *p, const struct query *q, uint32_t except)
{
	const struct list *l = &p->list[q->group];
	uint32_t start;
	uint32_t i;

	for (i = 0; i < RANDOM_TRIES; i++) {
		uint32_t index = l->index[rng_below(&p->rng, l->n)];

		if (index != except && pick_usable(p, q, index))
			return index;
	}
	start = rng_below(&p->rng, l->n);
	for (i = 0; i < l->n; i++) {
		uint32_t index = l->index[(start + i) % l->n];

		if (index != except && pick_usable(p, q, index))
			return index;
	}
	return INDEX_NONE;
}
