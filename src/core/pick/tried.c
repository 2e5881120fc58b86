#include "tried.h"

/* Once a target has refused that may take the request in the second round, the
 * second round remains to be tried, even if this round has no target left. */
int
tried_may_refuse(const struct tried *t, const struct pick *p)
{
	return !t->second_round && t->soft_refusals < TRIED_SOFT_MAX &&
	       t->total < TRIED_FREE_MAX &&
	       (t->soft_refusals ||
		   (uint32_t)t->n < pick_count_of(p, t->others));
}

void
tried_note_full(struct tried *t, int allowed)
{
	t->allowed_full = allowed ? t->allowed_full + 1 : 0;
}

void
tried_note_ended(struct tried *t, uint32_t handle, enum tried_end e)
{
	if (e == TRIED_FULL && t->nfull < TRIED_MAX)
		t->full[t->nfull++] = handle;
	if (e != TRIED_UNABLE && !t->second_round)
		return;
	if (t->nunable < TRIED_UNABLE_MAX)
		t->unable[t->nunable++] = handle;
}

int
tried_any_stays(const struct tried *t, const struct pick *p, int64_t now,
    uint32_t handle)
{
	uint32_t exclude[TRIED_UNABLE_MAX + TRIED_MAX + 1];
	int i, n;

	for (n = 0; n < t->nunable; n++)
		exclude[n] = t->unable[n];
	for (i = 0; i < t->nfull; i++)
		exclude[n++] = t->full[i];
	exclude[n] = handle;
	return pick_any_stays_of(p, t->others, now, exclude, (uint32_t)n + 1);
}

/* Those that can't take the call come last. */
static uint32_t
choose_untried(struct tried *t, struct pick *p, int64_t now)
{
	uint32_t exclude[TRIED_MAX + TRIED_UNABLE_MAX];
	uint32_t h;
	int i, n = t->n;

	if (t->n == TRIED_MAX)
		return PICK_NONE;
	for (i = 0; i < t->n; i++)
		exclude[i] = t->handle[i];
	for (i = 0; i < t->nunable; i++)
		exclude[n++] = t->unable[i];
	h = pick_choose_of(p, t->classes, now, exclude, (uint32_t)n);
	if (h == PICK_NONE && t->second_round)
		h = pick_choose_of(p, t->classes, now, t->handle,
		    (uint32_t)t->n);
	return h;
}

static uint32_t
add_tried(struct tried *t, uint32_t handle)
{
	if (handle == PICK_NONE)
		return handle;
	t->handle[t->n++] = handle;
	t->total++;
	return handle;
}

uint32_t
tried_next_now(struct tried *t, struct pick *p, int64_t now)
{
	return add_tried(t, choose_untried(t, p, now));
}

uint32_t
tried_next(struct tried *t, struct pick *p, int64_t now)
{
	uint32_t h = choose_untried(t, p, now);

	if (h == PICK_NONE && !t->second_round &&
	    (t->soft_refusals || t->allowed_full)) {
		t->second_round = 1;
		t->n = 0;
		h = choose_untried(t, p, now);
	}
	return add_tried(t, h);
}
