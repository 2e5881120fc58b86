#include "routing.h"

#define GOLDEN_RATIO 0.61803398874989485

int
route_turn(const struct route *r, struct route_turns *t)
{
	double sum = 0, at;
	int i, chosen = 0;

	if (r->npart == 1)
		return 0;
	for (i = 0; i < r->npart; i++)
		sum += r->part[i].weight;
	t->at += GOLDEN_RATIO;
	if (t->at >= 1)
		t->at -= 1;
	at = t->at * sum;
	for (i = 0; i < r->npart; i++) {
		if (!r->part[i].weight)
			continue;
		chosen = i;
		at -= r->part[i].weight;
		if (at < 0)
			break;
	}
	return chosen;
}
