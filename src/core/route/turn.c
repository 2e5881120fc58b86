#include "routing.h"

#define GOLDEN_RATIO 0.61803398874989485

int
route_next_part(const struct route *r, struct route_sequence *t)
{
	double sum = 0, at;
	int i, chosen = 0;

	if (r->npart == 1)
		return 0;
	for (i = 0; i < r->npart; i++)
		sum += r->part[i].weight;
	t->point += GOLDEN_RATIO;
	if (t->point >= 1)
		t->point -= 1;
	at = t->point * sum;
	for (i = 0; i < r->npart; i++) {
		if (r->part[i].weight <= 0)
			continue;
		chosen = i;
		at -= r->part[i].weight;
		if (at < 0)
			break;
	}
	return chosen;
}
