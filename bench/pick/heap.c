#include <stdlib.h>

#include "sim.h"

void
heap_push(struct heap *h, int64_t at, enum event_kind kind, uint32_t id)
{
	uint32_t i = h->n++;

	if (h->n > h->capacity) {
		struct event *e;

		h->capacity = h->capacity ? 2 * h->capacity : 1024;
		e = realloc(h->event, h->capacity * sizeof *e);
		if (!e)
			abort();
		h->event = e;
	}
	while (i > 0 && h->event[(i - 1) / 2].at > at) {
		h->event[i] = h->event[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	h->event[i] = (struct event){ at, id, kind };
}

struct event
heap_pop(struct heap *h)
{
	struct event top = h->event[0];
	struct event e = h->event[--h->n];
	uint32_t i = 0;
	uint32_t c;

	while ((c = 2 * i + 1) < h->n) {
		if (c + 1 < h->n && h->event[c + 1].at < h->event[c].at)
			c++;
		if (h->event[c].at >= e.at)
			break;
		h->event[i] = h->event[c];
		i = c;
	}
	h->event[i] = e;
	return top;
}
