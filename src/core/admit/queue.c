#include "impl.h"

#include <stdlib.h>

#define INDEX_BITS 16
#define INDEX_MASK 0xffffu

/** Entries to be refused come first, then those that can be in time, then the
 * late ones; each of the latter two by rank, then by key. */
int
entry_before(const struct entry *x, const struct entry *y)
{
	int lx = x->key >= LATE_KEY, ly = y->key >= LATE_KEY;

	if ((x->key == REFUSE_KEY) != (y->key == REFUSE_KEY))
		return x->key == REFUSE_KEY;
	if (lx != ly)
		return ly;
	if (x->rank != y->rank)
		return x->rank < y->rank;
	return x->key < y->key;
}

static const struct entry *
at(const struct queue *q, int i)
{
	return &q->slot[q->heap[i]];
}

static void
put(struct queue *q, int i, uint16_t index)
{
	q->heap[i] = index;
	q->slot[index].pos = (uint32_t)i + 1;
}

static void
sift_up(struct queue *q, int i)
{
	uint16_t index = q->heap[i];

	while (i > 0 && entry_before(&q->slot[index], at(q, (i - 1) / 2))) {
		put(q, i, q->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	put(q, i, index);
}

static void
sift_down(struct queue *q, int i)
{
	uint16_t index = q->heap[i];
	int c;

	while ((c = 2 * i + 1) < q->n) {
		if (c + 1 < q->n && entry_before(at(q, c + 1), at(q, c)))
			c++;
		if (!entry_before(at(q, c), &q->slot[index]))
			break;
		put(q, i, q->heap[c]);
		i = c;
	}
	put(q, i, index);
}

static void
remove_at(struct queue *q, int i)
{
	uint16_t index = q->heap[i];

	q->slot[index].pos = 0;
	q->slot[index].gen++;
	q->spare[q->capacity - q->n] = index;
	q->n--;
	if (i == q->n)
		return;
	put(q, i, q->heap[q->n]);
	sift_down(q, i);
	sift_up(q, (int)q->slot[q->heap[i]].pos - 1);
}

int
queue_init(struct queue *q, int capacity)
{
	int i;

	if (capacity < 0)
		capacity = 0;
	capacity += REFUSE_ROOM;
	if (capacity >= (int)INDEX_MASK)
		capacity = INDEX_MASK - 1;
	q->n = 0;
	q->capacity = capacity;
	q->slot = calloc((size_t)capacity + 1, sizeof *q->slot);
	q->heap = calloc((size_t)capacity + 1, sizeof *q->heap);
	q->spare = calloc((size_t)capacity + 1, sizeof *q->spare);
	if (!q->slot || !q->heap || !q->spare)
		return -1;
	for (i = 0; i < capacity; i++)
		q->spare[i] = (uint16_t)i;
	return 0;
}

void
queue_clear(struct queue *q)
{
	free(q->slot);
	free(q->heap);
	free(q->spare);
}

/* The free indexes are spare[0 .. capacity - n - 1]; there must be one. */
uint32_t
queue_add(struct queue *q, const struct entry *new)
{
	uint16_t index = q->spare[q->capacity - q->n - 1];
	struct entry *e = &q->slot[index];

	e->key = new->key;
	e->arrived = new->arrived;
	e->deadline = new->deadline;
	e->expires = new->expires;
	e->need_us = new->need_us;
	e->rank = new->rank;
	e->refused_share = new->refused_share;
	e->other_target = new->other_target;
	e->organisation = new->organisation;
	e->tag = new->tag;
	put(q, q->n++, index);
	sift_up(q, q->n - 1);
	return (uint32_t)e->gen << INDEX_BITS | (index + 1u);
}

void
queue_rekey(struct queue *q, uint16_t slot, int64_t k)
{
	int at = (int)q->slot[slot].pos - 1;

	q->slot[slot].key = k;
	sift_down(q, at);
	sift_up(q, (int)q->slot[slot].pos - 1);
}

/* A new key moves its entry further down the heap, so the places before i hold
 * entries that were checked; the entry that moves up to i is checked next. */
void
queue_mark_late(struct queue *q, int64_t now)
{
	const struct entry *e;
	uint16_t slot;
	int i = 0;

	while (i < q->n) {
		slot = q->heap[i];
		e = at(q, i);
		if (e->key < now && e->key != REFUSE_KEY)
			queue_rekey(q, slot, LATE_KEY + e->deadline);
		if (q->heap[i] == slot)
			i++;
	}
}

int
queue_remove(struct queue *q, uint32_t handle)
{
	uint32_t index = (handle & INDEX_MASK) - 1;

	if (index >= (uint32_t)q->capacity)
		return 0;
	if (!q->slot[index].pos || q->slot[index].gen != handle >> INDEX_BITS)
		return 0;
	remove_at(q, (int)q->slot[index].pos - 1);
	return 1;
}

const struct entry *
queue_peek(const struct queue *q)
{
	return q->n ? &q->slot[q->heap[0]] : NULL;
}

static uint32_t
take_at(struct queue *q, int i, uint32_t *tag)
{
	uint16_t index = q->heap[i];
	const struct entry *e = &q->slot[index];
	uint32_t handle = (uint32_t)e->gen << INDEX_BITS | (index + 1u);

	*tag = e->tag;
	remove_at(q, i);
	return handle;
}

uint32_t
queue_take(struct queue *q, uint32_t *tag)
{
	return take_at(q, 0, tag);
}

static int64_t
expiry(const struct entry *e, int64_t unknown_us)
{
	return e->expires - (e->need_us > 0 ? 0 : unknown_us);
}

uint32_t
queue_take_expired(struct queue *q, int64_t now, int64_t unknown_us,
    uint32_t *tag)
{
	int i;

	for (i = 0; i < q->n; i++)
		if (expiry(at(q, i), unknown_us) <= now)
			return take_at(q, i, tag);
	return 0;
}

int64_t
queue_next_expiry(const struct queue *q, int64_t unknown_us)
{
	int64_t first = INT64_MAX;
	int i;

	for (i = 0; i < q->n; i++)
		if (expiry(at(q, i), unknown_us) < first)
			first = expiry(at(q, i), unknown_us);
	return first;
}
