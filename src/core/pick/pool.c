#include "impl.h"

#define POOL_LEAST 2 /* fewer probes say nothing */
#define POOL_AGE_US 1000000 /* a probe older than this is dropped */
#define POOL_USES 1
#define POOL_PART 3 /* at most one in so many candidates is in the pool */
#define HOT_QUANTILE 0.84
#define HOT_STEP 0.2 /* requests by which the quantile's estimate moves */

static void
drop(struct pool *o, int i)
{
	o->probe[i] = o->probe[--o->n];
}

static int
oldest(const struct pool *o)
{
	int best = 0;
	int i;

	for (i = 1; i < o->n; i++)
		if (o->probe[i].at < o->probe[best].at)
			best = i;
	return best;
}

/** With all candidates in every pool, all callers would choose the same. */
static int
most(const struct pick *p)
{
	uint32_t n = pick_count(p) / POOL_PART;

	if (n < POOL_LEAST)
		return POOL_LEAST;
	return n < POOL_MAX ? (int)n : POOL_MAX;
}

/** Quantile of requests in flight, by stochastic approximation. */
static void
learn_hot(struct pool *o, double load)
{
	if (load > o->hot)
		o->hot += HOT_STEP * HOT_QUANTILE;
	else
		o->hot -= HOT_STEP * (1 - HOT_QUANTILE);
}

void
pool_add(struct pick *p, uint32_t handle, int64_t now,
    const struct load_report *l)
{
	struct pool *o = &p->pool;
	double load = l->in_flight + l->queued;
	double full = l->limit ? (load + 1) / l->limit : 1;
	double latency_us = l->latency_us * (full > 1 ? full : 1);

	learn_hot(o, load);
	while (o->n >= most(p))
		drop(o, oldest(o));
	o->probe[o->n++] = (struct pooled){ handle, load, latency_us,
		now - l->age_us, POOL_USES };
}

static int
better(const struct pool *o, const struct pooled *a, const struct pooled *b)
{
	int hot_a = a->load > o->hot;
	int hot_b = b->load > o->hot;

	if (hot_a != hot_b)
		return !hot_a;
	if (hot_a)
		return a->load < b->load;
	return a->latency_us < b->latency_us;
}

static void
age(struct pick *p, int64_t now)
{
	struct pool *o = &p->pool;
	int i;

	for (i = o->n - 1; i >= 0; i--)
		if (now - o->probe[i].at > POOL_AGE_US ||
		    pick_find(p, o->probe[i].handle) == INDEX_NONE)
			drop(o, i);
}

static int
in_group(struct pick *p, const struct query *q, int i)
{
	uint32_t index = pick_find(p, p->pool.probe[i].handle);

	return p->candidate[index].group == q->group &&
	       pick_usable(p, q, index);
}

uint32_t
pick_probe_pool(struct pick *p, const struct query *q)
{
	struct pool *o = &p->pool;
	uint32_t handle;
	int best = -1;
	int i;

	age(p, q->now);
	if (o->n < POOL_LEAST)
		return pick_sample(p, q, INDEX_NONE);
	for (i = 0; i < o->n; i++)
		if ((best < 0 || better(o, &o->probe[i], &o->probe[best])) &&
		    in_group(p, q, i))
			best = i;
	if (best < 0)
		return pick_sample(p, q, INDEX_NONE);
	handle = o->probe[best].handle;
	o->probe[best].load++;
	if (--o->probe[best].uses == 0)
		drop(o, best);
	return pick_find(p, handle);
}
