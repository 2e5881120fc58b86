#include "impl.h"

#include <stdlib.h>

#define INDEX_BITS 16
#define INDEX_MASK 0xffffu
#define COLD_KNOWN_US                                          \
	1000000 /* age of a report that tells of a cold target \
		 */

struct pick *
pick_new(const struct pick_config *config)
{
	struct pick *p = calloc(1, sizeof *p);
	uint32_t n = config->capacity;
	int g;

	if (!p)
		return NULL;
	if (n > INDEX_MASK - 1)
		n = INDEX_MASK - 1;
	p->config = *config;
	p->config.capacity = n;
	p->bias = 1;
	p->limit = LIMIT_DEFAULT;
	rng_seed(&p->rng, config->seed);
	p->candidate = calloc((size_t)n + 1, sizeof *p->candidate);
	for (g = 0; g < GROUPS; g++)
		p->list[g].index = calloc((size_t)n + 1, sizeof(uint32_t));
	if (p->candidate && p->list[0].index && p->list[1].index)
		return p;
	pick_free(p);
	return NULL;
}

void
pick_free(struct pick *p)
{
	int g;

	if (!p)
		return;
	for (g = 0; g < GROUPS; g++)
		free(p->list[g].index);
	free(p->candidate);
	free(p);
}

uint32_t
pick_find(const struct pick *p, uint32_t handle)
{
	uint32_t index = (handle & INDEX_MASK) - 1;

	if (index >= p->top || !p->candidate[index].used ||
	    p->candidate[index].gen != handle >> INDEX_BITS)
		return INDEX_NONE;
	return index;
}

uint32_t
pick_handle(const struct pick *p, uint32_t index)
{
	return (uint32_t)p->candidate[index].gen << INDEX_BITS | (index + 1);
}

static uint32_t
free_index(struct pick *p)
{
	uint32_t i;

	for (i = 0; i < p->top; i++)
		if (!p->candidate[i].used)
			return i;
	return p->top < p->config.capacity ? p->top++ : INDEX_NONE;
}

uint32_t
pick_add(struct pick *p, int64_t now, int local, double share)
{
	uint32_t index = free_index(p);
	struct candidate *c;
	struct list *l;

	if (index == INDEX_NONE)
		return PICK_NONE;
	c = &p->candidate[index];
	*c = (struct candidate){ .gen = c->gen, .used = 1, .share = share };
	c->group = local ? GROUP_LOCAL : GROUP_OTHER;
	c->latency_at = now;
	c->report_at = now;
	c->virtual_turn =
	    p->virtual_now[PICK_ANY] - rng_unit(&p->rng) / p->limit;
	l = &p->list[c->group];
	c->pos = l->n;
	l->index[l->n++] = index;
	return pick_handle(p, index);
}

void
pick_remove(struct pick *p, uint32_t handle)
{
	uint32_t index = pick_find(p, handle);
	struct candidate *c;
	struct list *l;

	if (index == INDEX_NONE)
		return;
	c = &p->candidate[index];
	if (c->latency_us > 0) {
		p->inverse_sum -= 1 / c->latency_us;
		if (--p->inverse_n == 0)
			p->inverse_sum = 0;
	}
	l = &p->list[c->group];
	l->index[c->pos] = l->index[--l->n];
	p->candidate[l->index[c->pos]].pos = c->pos;
	c->used = 0;
	c->gen++;
}

void
pick_set_share(struct pick *p, uint32_t handle, double share)
{
	uint32_t index = pick_find(p, handle);

	if (index != INDEX_NONE)
		p->candidate[index].share = share;
}

uint32_t
pick_count(const struct pick *p)
{
	return p->list[GROUP_LOCAL].n + p->list[GROUP_OTHER].n;
}

uint32_t
pick_in_flight(const struct pick *p, uint32_t handle)
{
	uint32_t index = pick_find(p, handle);

	return index == INDEX_NONE ? 0 : p->candidate[index].in_flight;
}

void
pick_set_classes(struct pick *p, uint32_t handle, uint32_t classes)
{
	uint32_t index = pick_find(p, handle);

	if (index != INDEX_NONE)
		p->candidate[index].classes =
		    (uint8_t)(classes & ((1u << PICK_CLASSES) - 1));
}

uint32_t
pick_count_of(const struct pick *p, uint32_t classes)
{
	uint32_t i, n = 0;

	if (classes == PICK_ANY)
		return pick_count(p);
	for (i = 0; i < p->top; i++)
		n += p->candidate[i].used &&
		     pick_in_classes(&p->candidate[i], classes);
	return n;
}

int
pick_is_cold(const struct pick *p, uint32_t handle, int64_t now)
{
	uint32_t index = pick_find(p, handle);
	const struct candidate *c;

	if (index == INDEX_NONE)
		return 0;
	c = &p->candidate[index];
	return c->cold && now - c->report_at < COLD_KNOWN_US;
}
