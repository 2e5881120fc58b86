#include "core/rollout/impl.h"

#include <math.h>

/* An answer is slow from two buckets above the one of the old targets' 90th
 * percentile on, but at most three above the one of their median (8 times as
 * long): with one slow machine among four, the percentile is that machine's. */
#define ABOVE_PERCENTILE 2
#define ABOVE_MEDIAN 3
#define PERCENTILE 0.9
#define MEDIAN 0.5
#define ANSWERS_FOR_TIMES 5 /* old answers needed to judge times */

#define RECENT_HALF_US 4000000 /* time in which recent answers are halved */

/* Share of bad answers that is assumed of old targets at least, and the weight
 * of that assumption, in answers. */
#define RATE_LEAST 0.02
#define RATE_WEIGHT 10

uint32_t
rollout_answers(const struct rollout_counts *c)
{
	return rollout_bad(c, 0);
}

uint32_t
rollout_bad(const struct rollout_counts *c, int slow_from)
{
	uint32_t n = c->failed;
	int i;

	for (i = slow_from; i < ROLLOUT_TIMES; i++)
		n += c->time[i];
	return n;
}

/* Bucket of a percentile of the answers that did not fail. */
static int
percentile(const struct rollout_counts *c, double part)
{
	double need = part * (rollout_answers(c) - c->failed);
	uint32_t n = 0;
	int i;

	for (i = 0; i < ROLLOUT_TIMES - 1; i++) {
		n += c->time[i];
		if (n >= need)
			break;
	}
	return i;
}

int
rollout_slow_from(const struct rollout_evidence *e)
{
	const struct rollout_counts *old = &e->total[ROLLOUT_OLD];

	if (rollout_answers(old) - old->failed < ANSWERS_FOR_TIMES)
		return ROLLOUT_TIMES;
	return MIN(percentile(old, PERCENTILE) + ABOVE_PERCENTILE,
	    percentile(old, MEDIAN) + ABOVE_MEDIAN);
}

double
rollout_old_rate(const struct rollout_evidence *e)
{
	const struct rollout_counts *old = &e->total[ROLLOUT_OLD];
	double bad = rollout_bad(old, rollout_slow_from(e));

	return MAX(RATE_LEAST, (bad + RATE_LEAST * RATE_WEIGHT) /
				   (rollout_answers(old) + RATE_WEIGHT));
}

static struct rollout_evidence *
get_evidence(struct rollout *r, uint32_t route)
{
	struct rollout_evidence *e = g_hash_table_lookup(r->routes, &route);

	if (e)
		return e;
	if (route != ROLLOUT_ROUTE_OTHER &&
	    g_hash_table_size(r->routes) >= ROLLOUT_EVIDENCE_MAX)
		return get_evidence(r, ROLLOUT_ROUTE_OTHER);
	e = g_new0(struct rollout_evidence, 1);
	e->route = route;
	g_hash_table_insert(r->routes, &e->route, e);
	return e;
}

void
rollout_halve(struct rollout_recent *t, int64_t now)
{
	double part = exp2(-(double)(now - t->at) / RECENT_HALF_US);

	t->answers *= part;
	t->bad *= part;
	t->at = now;
}

/* Finds the recent answers of a target. If there is no room, those of the
 * target with the fewest give way. */
static struct rollout_recent *
get_recent(struct rollout_score *s, uint64_t target, int64_t now)
{
	struct rollout_recent *t, *least = NULL;
	int i;

	for (i = 0; i < s->nrecent; i++) {
		t = &s->recent[i];
		rollout_halve(t, now);
		if (t->target == target)
			return t;
		if (!least || t->answers < least->answers)
			least = t;
	}
	if (s->nrecent < ROLLOUT_RECENT_MAX)
		least = &s->recent[s->nrecent++];
	*least = (struct rollout_recent){ .target = target, .at = now };
	return least;
}

/* What a total rose by; 0 if it fell, which a report of one start does not. */
static uint32_t
rise(uint32_t total, uint32_t was)
{
	return total > was ? total - was : 0;
}

static void
add_counts(struct rollout_counts *c, const struct rollout_counts *d)
{
	int i;

	c->failed += d->failed;
	for (i = 0; i < ROLLOUT_TIMES; i++)
		c->time[i] += d->time[i];
}

static void
add_recent(struct rollout_score *s, uint64_t target,
    const struct rollout_counts *d, int slow_from, int64_t now)
{
	struct rollout_recent *t = get_recent(s, target, now);

	t->answers += rollout_answers(d);
	t->bad += rollout_bad(d, slow_from);
}

void
rollout_add(struct rollout *r, const struct rollout_report *p,
    const struct rollout_route *n, const struct rollout_route *was, int64_t now)
{
	int i, side = p->is_new ? ROLLOUT_NEW : ROLLOUT_OLD;
	struct rollout_counts d = { .failed = rise(n->failed,
					was ? was->failed : 0) };
	struct rollout_evidence *e = get_evidence(r, n->route);

	for (i = 0; i < ROLLOUT_TIMES; i++)
		d.time[i] = rise(n->time[i], was ? was->time[i] : 0);
	add_counts(&e->total[side], &d);
	add_counts(&e->bin[r->bin % ROLLOUT_BINS][side], &d);
	if (side == ROLLOUT_OLD || !rollout_answers(&d))
		return;
	add_recent(&e->score, p->target, &d, rollout_slow_from(e), now);
	add_recent(&r->all, p->target, &d, rollout_slow_from(e), now);
}
