#include "impl.h"

#include <stddef.h>

#define PLAN_MAX 256 /* entries looked at; more than a queue usually holds */
#define SPREAD 1.25 /* times the mean: work of the users is spread by 0.3 */
#define MISSED_MORE 0.1 /* of its requests, refused above those of another */
#define LATE_SHARE 0.5 /* of the places, while others come that are in time */

/**
 * struct plan - what waits, in the order in which it is to be begun
 * @at: entries; the one that is to join is at index @joins, if there is one
 * @slot: their places in the queue
 * @first: when the first of them can be begun
 * @limit: requests in flight allowed
 */
struct plan {
	const struct entry *at[PLAN_MAX + 1];
	uint16_t slot[PLAN_MAX + 1];
	int n;
	int joins;
	int64_t first;
	int limit;
};

/** Time that a request keeps one of the places at the target. */
static double
occupies(const struct admit *a, const struct entry *e)
{
	double stretch = a->stretch > 0 ? a->stretch : 1;

	return e->need_us > 0 ? (double)e->need_us * stretch : a->recent_us;
}

/** Latest begin that leaves time for work that takes longer than usual; one
 * that comes with little time to spare has half of that at least. */
static int64_t
latest(const struct admit *a, const struct entry *e)
{
	int64_t safe, least = e->key;

	if (e->key > e->came)
		least -= (e->key - e->came) / 2;
	if (e->need_us <= 0)
		return e->key;
	safe = e->key + e->need_us - (int64_t)(SPREAD * occupies(a, e));
	if (safe > e->key)
		return e->key;
	return safe > least ? safe : least;
}

/** How much later those behind a request are begun for it. */
static double
delays(const struct admit *a, const struct plan *p, const struct entry *e,
    int64_t now)
{
	double us = occupies(a, e) / p->limit;
	double cold;

	if (a->config.cold_per_s <= 0 || now >= a->cold_until)
		return us;
	cold = 1e6 / a->config.cold_per_s;
	return cold > us ? cold : us;
}

static int64_t
first_start(const struct admit *a, int64_t now, int limit)
{
	int64_t next = admit_next(a, now);

	if (next > now)
		return next;
	if (a->in_flight < limit)
		return now;
	return now + (int64_t)(a->recent_us / limit);
}

/* Insertion in order: the queue is short, and only a crowded target plans. */
static void
insert(struct plan *p, const struct entry *e, uint16_t slot)
{
	int i = p->n++;

	for (; i > 0 && entry_before(e, p->at[i - 1]); i--) {
		p->at[i] = p->at[i - 1];
		p->slot[i] = p->slot[i - 1];
	}
	p->at[i] = e;
	p->slot[i] = slot;
}

static void
fill(struct plan *p, const struct queue *q, const struct entry *joins)
{
	int i;

	p->n = 0;
	for (i = 0; i < q->n && p->n < PLAN_MAX; i++)
		if (q->slot[q->heap[i]].key != DROP_KEY)
			insert(p, &q->slot[q->heap[i]], q->heap[i]);
	p->joins = -1;
	if (!joins)
		return;
	insert(p, joins, 0);
	for (p->joins = 0; p->at[p->joins] != joins; p->joins++)
		;
}

/** Whether @x gives way rather than @y: the longer one of two equally urgent
 * ones, as long as its kind is not refused much more often. */
static int
gives_way(const struct entry *x, const struct entry *y)
{
	double more = x->missed - y->missed;

	if (x->rank != y->rank)
		return x->rank > y->rank;
	if (more > MISSED_MORE || more < -MISSED_MORE)
		return more < 0;
	return x->need_us > y->need_us;
}

/* Of two alike, the one behind gives way: it has more time to go elsewhere. */
static int
victim(const struct plan *p, const int *kept, int n)
{
	int worst = 0;
	int i;

	for (i = 1; i < n; i++)
		if (!gives_way(p->at[kept[worst]], p->at[kept[i]]))
			worst = i;
	return worst;
}

static void
lose(struct admit *a, const struct plan *p, int i)
{
	const struct entry *e = p->at[i];

	if (i == p->joins)
		return;
	queue_rekey(&a->queue, p->slot[i],
	    e->elsewhere ? DROP_KEY : LATE_KEY + e->deadline);
}

/* Those that can't be in time follow by deadline. What is then begun too late
 * for any answer is to be refused now. Return: nonzero if @p->joins is. */
static int
refuse_hopeless(struct admit *a, const struct plan *p, int64_t now,
    double behind, int in_time)
{
	int i, found = 0;

	for (i = 0; i < p->n; i++) {
		if (i == p->joins ? in_time : p->at[i]->key < LATE_KEY)
			continue;
		if (p->first + (int64_t)behind < p->at[i]->hopeless)
			behind += delays(a, p, p->at[i], now) / LATE_SHARE;
		else if (i == p->joins)
			found = 1;
		else
			queue_rekey(&a->queue, p->slot[i], DROP_KEY);
	}
	return found;
}

/* Moore's algorithm for each rank: entries are taken in the order of their
 * latest start; whenever one could not be begun in time, the worst so far gives
 * way. More urgent ranks are planned first and keep what they have. */
enum triage
admit_triage(struct admit *a, int64_t now, const struct entry *joins, int limit)
{
	struct plan p;
	int kept[PLAN_MAX + 1], lost[PLAN_MAX + 1];
	int i, w, n = 0, nlost = 0, in_time = 1;
	double ahead = 0;

	p.limit = limit;
	p.first = first_start(a, now, limit);
	fill(&p, &a->queue, joins);
	for (i = 0; i < p.n && p.at[i]->key < LATE_KEY; i++) {
		kept[n++] = i;
		if (p.first + (int64_t)ahead <= latest(a, p.at[i])) {
			ahead += delays(a, &p, p.at[i], now);
			continue;
		}
		w = victim(&p, kept, n);
		ahead += delays(a, &p, p.at[i], now) -
			 delays(a, &p, p.at[kept[w]], now);
		in_time &= kept[w] != p.joins;
		lost[nlost++] = kept[w];
		for (n--; w < n; w++)
			kept[w] = kept[w + 1];
	}
	if (p.joins >= i)
		in_time = 0;
	if (joins && !in_time && joins->elsewhere)
		return TRIAGE_LATE;
	for (i = 0; i < nlost; i++)
		lose(a, &p, lost[i]);
	if (refuse_hopeless(a, &p, now, ahead, in_time))
		return TRIAGE_HOPELESS;
	return in_time ? TRIAGE_IN_TIME : TRIAGE_LATE;
}

/** Place in the heap of the worst entry that is late, or that is in time and
 * gives way to @than; -1 when there is none. */
static int
worst(const struct queue *q, int late, const struct entry *than)
{
	const struct entry *e;
	int i, found = -1;

	for (i = 0; i < q->n; i++) {
		e = &q->slot[q->heap[i]];
		if (e->key == DROP_KEY || (e->key >= LATE_KEY) != late)
			continue;
		if ((late && found < 0) || gives_way(e, than)) {
			found = i;
			than = e;
		}
	}
	return found;
}

int
admit_make_room(struct admit *a, const struct entry *joins)
{
	struct queue *q = &a->queue;
	int i;

	if (q->n >= q->capacity)
		return 0;
	i = worst(q, 1, joins);
	if (i < 0)
		i = worst(q, 0, joins);
	if (i < 0)
		return 0;
	queue_rekey(q, q->heap[i], DROP_KEY);
	return 1;
}
