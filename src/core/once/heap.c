#include "core/once/table.h"

static int
created_before(const struct once *o, uint32_t a, uint32_t b)
{
	return o->entry[a].id.created_ms < o->entry[b].id.created_ms;
}

void
once_heap_push(struct once *o, uint32_t slot)
{
	uint32_t i = o->nheap++, up;

	for (; i > 0; i = up) {
		up = (i - 1) / 2;
		if (!created_before(o, slot, o->heap[up]))
			break;
		o->heap[i] = o->heap[up];
	}
	o->heap[i] = slot;
}

uint32_t
once_heap_pop(struct once *o)
{
	uint32_t top = o->heap[0], last = o->heap[--o->nheap];
	uint32_t i = 0, down;

	for (;; i = down) {
		down = 2 * i + 1;
		if (down >= o->nheap)
			break;
		if (down + 1 < o->nheap &&
		    created_before(o, o->heap[down + 1], o->heap[down]))
			down++;
		if (!created_before(o, o->heap[down], last))
			break;
		o->heap[i] = o->heap[down];
	}
	o->heap[i] = last;
	return top;
}
