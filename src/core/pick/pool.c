#include "impl.h"

#define POOL_MIN 2 /* fewer can't be compared; the choice is random then */
#define POOL_AGE_US 1000000 /* maximum age of a probe */
#define POOL_USES 1 /* choices after which a probe leaves the pool */
#define POOL_ONE_IN 3 /* at most one in so many candidates is in the pool */
#define HOT_QUANTILE 0.84 /* of the loads; candidates above it are hot */
#define HOT_STEP 0.2 /* requests; step of the quantile's estimate */

static void
remove_probe(struct pool *o, int i)
{
	o->probe[i] = o->probe[--o->n];
}

static int
oldest_probe(const struct pool *o)
{
	int best = 0;
	int i;

	for (i = 1; i < o->n; i++)
		if (o->probe[i].at < o->probe[best].at)
			best = i;
	return best;
}

/* Size limit of the pool. If each daemon's pool held all candidates, all
 * daemons would choose the same one. */
static int
pool_size_max(const struct pick *p)
{
	uint32_t n = pick_count(p) / POOL_ONE_IN;

	if (n < POOL_MIN)
		return POOL_MIN;
	return n < POOL_MAX ? (int)n : POOL_MAX;
}

/* Updates the estimated quantile of the loads, by stochastic approximation. */
static void
update_hot(struct pool *o, double load)
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

	update_hot(o, load);
	while (o->n >= pool_size_max(p))
		remove_probe(o, oldest_probe(o));
	o->probe[o->n++] = (struct pool_probe){ handle, load, latency_us,
		now - l->age_us, POOL_USES };
}

/* The hot/cold rule: candidates that are not hot first, by latency, then hot
 * ones, by load. */
static int
is_better(const struct pool *o, const struct pool_probe *a,
    const struct pool_probe *b)
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
remove_expired(struct pick *p, int64_t now)
{
	struct pool *o = &p->pool;
	int i;

	for (i = o->n - 1; i >= 0; i--)
		if (now - o->probe[i].at > POOL_AGE_US ||
		    pick_find(p, o->probe[i].handle) == INDEX_NONE)
			remove_probe(o, i);
}

static int
probe_usable(struct pick *p, const struct query *q, int i)
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

	remove_expired(p, q->now);
	if (o->n < POOL_MIN)
		return pick_sample(p, q, INDEX_NONE);
	for (i = 0; i < o->n; i++)
		if ((best < 0 || is_better(o, &o->probe[i], &o->probe[best])) &&
		    probe_usable(p, q, i))
			best = i;
	if (best < 0)
		return pick_sample(p, q, INDEX_NONE);
	handle = o->probe[best].handle;
	o->probe[best].load++;
	if (--o->probe[best].uses_left == 0)
		remove_probe(o, best);
	return pick_find(p, handle);
}
