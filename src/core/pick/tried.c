#include "tried.h"

/* Once a slow target has refused, the second round remains to be tried, even if
 * this round has no target left. */
int
tried_may_refuse(const struct tried *t, const struct pick *p)
{
	return !t->second_round && t->slow_refusals < TRIED_SLOW_MAX &&
	       t->total < TRIED_FREE_MAX &&
	       (t->slow_refusals || (uint32_t)t->n < pick_count(p));
}

static uint32_t
choose_untried(struct tried *t, struct pick *p, int64_t now)
{
	if (t->n == TRIED_MAX)
		return PICK_NONE;
	return pick_choose(p, now, t->handle, (uint32_t)t->n);
}

uint32_t
tried_next(struct tried *t, struct pick *p, int64_t now)
{
	uint32_t h = choose_untried(t, p, now);

	if (h == PICK_NONE && t->slow_refusals && !t->second_round) {
		t->second_round = 1;
		t->n = 0;
		h = choose_untried(t, p, now);
	}
	if (h == PICK_NONE)
		return h;
	t->handle[t->n++] = h;
	t->total++;
	return h;
}
