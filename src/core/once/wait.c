#include "core/once/table.h"

uint64_t
once_add_waiter(struct once *o, struct entry *e, int64_t deadline, void *arg)
{
	struct waiter *w;
	uint32_t i;

	if (e->nwaiter >= o->limits.waiters_per_id ||
	    o->stats.waiters >= o->limits.waiters)
		return 0;
	for (i = 0; o->waiter[i].used; i++)
		;
	w = &o->waiter[i];
	w->used = 1;
	w->generation++;
	w->deadline = deadline;
	w->arg = arg;
	w->entry = (uint32_t)(e - o->entry);
	w->next = e->first_waiter;
	e->first_waiter = i + 1;
	e->nwaiter++;
	o->stats.waiters++;
	return once_handle(w->generation, i);
}

static void
remove_waiter(struct once *o, uint32_t slot)
{
	struct waiter *w = &o->waiter[slot];
	struct entry *e = &o->entry[w->entry];
	uint32_t *link = &e->first_waiter;

	while (*link != slot + 1)
		link = &o->waiter[*link - 1].next;
	*link = w->next;
	w->used = 0;
	e->nwaiter--;
	o->stats.waiters--;
}

void
once_reply_waiters(struct once *o, struct entry *e)
{
	const struct once_answer *answer = NULL;
	enum once_outcome outcome = once_final_outcome(e, &answer);
	uint32_t slot;

	while (e->first_waiter) {
		slot = e->first_waiter - 1;
		remove_waiter(o, slot);
		o->reply(o->ctx, o->waiter[slot].arg, outcome, answer);
	}
}

void
once_cancel_waiter(struct once *o, uint64_t waiter)
{
	uint32_t slot = (uint32_t)waiter - 1;

	if (slot >= o->limits.waiters || !o->waiter[slot].used ||
	    o->waiter[slot].generation != waiter >> 32)
		return;
	remove_waiter(o, slot);
}

void
once_expire_waiters(struct once *o, int64_t now)
{
	uint32_t i;

	if (!o->stats.waiters)
		return;
	for (i = 0; i < o->limits.waiters; i++) {
		if (!o->waiter[i].used || o->waiter[i].deadline > now)
			continue;
		remove_waiter(o, i);
		o->reply(o->ctx, o->waiter[i].arg, ONCE_BUSY, NULL);
	}
}

int64_t
once_next_deadline(const struct once *o)
{
	int64_t due = INT64_MAX;
	uint32_t i;

	if (!o->stats.waiters)
		return due;
	for (i = 0; i < o->limits.waiters; i++)
		if (o->waiter[i].used)
			due = MIN(due, o->waiter[i].deadline);
	return due;
}
