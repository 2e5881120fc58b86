#include "impl.h"

#include <stddef.h>

#define PLAN_MAX 256 /* entries planned; more than a queue usually holds */
#define WORK_MARGIN 1.25 /* times the mean: users' work is spread by 0.3 */
#define REFUSED_GAP 0.1 /* the refused shares decide if they differ by more */
/* Part of the target's places that late requests are expected to get; requests
 * in time that arrive meanwhile take the rest. */
#define LATE_SHARE 0.5

/**
 * struct plan - waiting requests in the order in which they are to start
 * @entry: the requests, the incoming one among them
 * @slot: their places in the queue
 * @share: work of their organisations; NULL for requests without one and late
 *	ones
 * @incoming: index of the incoming request, -1 if there is none
 * @n: number of requests
 * @first: when the first of them can start
 * @limit: requests in flight allowed
 */
struct plan {
	const struct entry *entry[PLAN_MAX + 1];
	uint16_t slot[PLAN_MAX + 1];
	struct share_place *share[PLAN_MAX + 1];
	int n;
	int incoming;
	int64_t first;
	int limit;
};

double
admit_slot_us(const struct admit *a, const struct entry *e)
{
	double slowdown = a->slowdown > 0 ? a->slowdown : 1;

	return e->need_us > 0 ? (double)e->need_us * slowdown : a->recent_us;
}

/** Latest start that leaves time for work that takes longer than usual. The
 * request keeps at least half of the time that it could wait on arrival. */
static int64_t
latest_start(const struct admit *a, const struct entry *e)
{
	int64_t safe, least = e->key;

	if (e->key > e->arrived)
		least -= (e->key - e->arrived) / 2;
	if (e->need_us <= 0)
		return e->key;
	safe =
	    e->key + e->need_us - (int64_t)(WORK_MARGIN * admit_slot_us(a, e));
	if (safe > e->key)
		return e->key;
	return safe > least ? safe : least;
}

/** Time by which a request delays the start of those behind it in the plan:
 * admit_slot_us() divided by the limit, or the spacing of starts by the rates
 * if that is longer. */
static double
delay_us(const struct admit *a, const struct plan *p, const struct entry *e,
    int64_t now)
{
	double us = admit_slot_us(a, e) / p->limit;
	double per_s = admit_per_s(a, now);
	double spacing = per_s > 0 ? US_PER_S / per_s : 0;

	return spacing > us ? spacing : us;
}

/** When the first answer of a target that has not answered yet is expected: one
 * that is overdue is expected to take as long again. */
static int64_t
first_answer(const struct admit *a, int64_t now)
{
	return now > a->answer_by ? now + (now - a->answer_by) : now;
}

static int64_t
first_start(const struct admit *a, int64_t now, int limit)
{
	int64_t next = admit_next_start(a, now);

	if (a->unknown && first_answer(a, now) > next)
		next = first_answer(a, now);
	if (next > now)
		return next;
	if (a->in_flight < limit)
		return now;
	return now + (int64_t)(a->recent_us / limit);
}

/* Insertion sort: the queue is short, and a plan is made only when requests
 * have to wait. */
static void
plan_insert(struct plan *p, const struct entry *e, uint16_t slot)
{
	int i = p->n++;

	for (; i > 0 && entry_before(e, p->entry[i - 1]); i--) {
		p->entry[i] = p->entry[i - 1];
		p->slot[i] = p->slot[i - 1];
	}
	p->entry[i] = e;
	p->slot[i] = slot;
}

static void
plan_fill(struct plan *p, const struct queue *q, const struct entry *incoming)
{
	int i;

	p->n = 0;
	for (i = 0; i < q->n && p->n < PLAN_MAX; i++)
		if (q->slot[q->heap[i]].key != REFUSE_KEY)
			plan_insert(p, &q->slot[q->heap[i]], q->heap[i]);
	p->incoming = -1;
	if (!incoming)
		return;
	plan_insert(p, incoming, 0);
	for (p->incoming = 0; p->entry[p->incoming] != incoming; p->incoming++)
		;
}

/** Sum up the work that waits in time, by organisation. */
static void
plan_shares(struct admit *a, struct plan *p, int64_t now)
{
	int i;

	share_begin(&a->shares);
	for (i = 0; i < p->n; i++)
		p->share[i] =
		    p->entry[i]->key >= LATE_KEY
			? NULL
			: share_add_waiting(&a->shares, now,
			      p->entry[i]->organisation, p->entry[i]->key,
			      admit_slot_us(a, p->entry[i]));
}

/** Whether @x, whose organisation has the work @sx, is evicted rather than @y.
 * The less urgent one is; of two equally urgent ones the one with an
 * organisation, or with that which has more work. Of those of one organisation,
 * or of none, it is the one whose kind was refused much less often, or, if
 * neither was, the one that takes longer. */
static int
evict_first(const struct entry *x, const struct share_place *sx,
    const struct entry *y, const struct share_place *sy)
{
	double more = x->refused_share - y->refused_share;

	if (x->rank != y->rank)
		return x->rank > y->rank;
	if (!x->organisation != !y->organisation)
		return x->organisation != 0;
	if (sx && sy && share_work(sx) != share_work(sy))
		return share_work(sx) > share_work(sy);
	if (more > REFUSED_GAP || more < -REFUSED_GAP)
		return more < 0;
	return x->need_us > y->need_us;
}

/* If neither of two is evicted rather than the other, the later one in the plan
 * is: it has more time to go to another target. */
static int
plan_victim(const struct plan *p, const int *kept, int n)
{
	int worst = 0;
	int i;

	for (i = 1; i < n; i++)
		if (!evict_first(p->entry[kept[worst]], p->share[kept[worst]],
			p->entry[kept[i]], p->share[kept[i]]))
			worst = i;
	return worst;
}

/** Subtract a request that was taken out of the plan from the work that waits.
 */
static void
plan_drop_share(const struct admit *a, struct plan *p, int64_t now, int i)
{
	const struct entry *e = p->entry[i];

	if (p->share[i])
		p->share[i]->waiting_us -=
		    share_waiting(now, e->key, admit_slot_us(a, e));
}

/** Refuse a request that was taken out of the plan if it can go to another
 * target; otherwise move it behind those in time. */
static void
demote(struct admit *a, const struct plan *p, int i)
{
	const struct entry *e = p->entry[i];

	if (i == p->incoming)
		return;
	queue_rekey(&a->queue, p->slot[i],
	    e->other_target ? REFUSE_KEY : LATE_KEY + e->deadline);
}

/* Late requests start after those in time, which take @behind microseconds from
 * the first start on, in the order of the plan. Late ones that would expire
 * before their start are marked for refusal. @in_time: nonzero if the incoming
 * request is in time. Return: nonzero if the incoming request is one of those
 * that would expire. */
static int
refuse_expiring(struct admit *a, const struct plan *p, int64_t now,
    double behind, int in_time)
{
	int i, found = 0;

	for (i = 0; i < p->n; i++) {
		if (i == p->incoming ? in_time : p->entry[i]->key < LATE_KEY)
			continue;
		if (p->first + (int64_t)behind < p->entry[i]->expires)
			behind += delay_us(a, p, p->entry[i], now) / LATE_SHARE;
		else if (i == p->incoming)
			found = 1;
		else
			queue_rekey(&a->queue, p->slot[i], REFUSE_KEY);
	}
	return found;
}

/* Moore's algorithm for each rank: entries are planned in the order of their
 * latest start; whenever one could not start in time, the victim among those
 * planned so far is taken out of the plan. More urgent ranks are planned first
 * and keep their places. An incoming request that is not in time and has
 * another target is refused by the caller, so the queue is left as it is. */
enum triage
admit_triage(struct admit *a, int64_t now, const struct entry *incoming)
{
	struct plan p;
	int kept[PLAN_MAX + 1], removed[PLAN_MAX + 1];
	int i, w, n = 0, nremoved = 0, in_time = 1;
	double ahead = 0;

	p.limit = admit_plan_limit(a, now);
	p.first = first_start(a, now, p.limit);
	plan_fill(&p, &a->queue, incoming);
	plan_shares(a, &p, now);
	for (i = 0; i < p.n && p.entry[i]->key < LATE_KEY; i++) {
		kept[n++] = i;
		if (p.first + (int64_t)ahead <= latest_start(a, p.entry[i])) {
			ahead += delay_us(a, &p, p.entry[i], now);
			continue;
		}
		w = plan_victim(&p, kept, n);
		ahead += delay_us(a, &p, p.entry[i], now) -
			 delay_us(a, &p, p.entry[kept[w]], now);
		in_time &= kept[w] != p.incoming;
		removed[nremoved++] = kept[w];
		plan_drop_share(a, &p, now, kept[w]);
		for (n--; w < n; w++)
			kept[w] = kept[w + 1];
	}
	if (p.incoming >= i)
		in_time = 0;
	if (incoming && !in_time && incoming->other_target)
		return TRIAGE_LATE;
	for (i = 0; i < nremoved; i++)
		demote(a, &p, removed[i]);
	if (refuse_expiring(a, &p, now, ahead, in_time))
		return TRIAGE_EXPIRES;
	return in_time ? TRIAGE_IN_TIME : TRIAGE_LATE;
}

/** Sum up the work that waits in time, by organisation. Return: that of the
 * incoming request's. */
static struct share_place *
queue_shares(struct admit *a, int64_t now, const struct entry *incoming)
{
	const struct queue *q = &a->queue;
	const struct entry *e;
	int i;

	share_begin(&a->shares);
	for (i = 0; i < q->n; i++) {
		e = &q->slot[q->heap[i]];
		if (e->key != REFUSE_KEY && e->key < LATE_KEY)
			share_add_waiting(&a->shares, now, e->organisation,
			    e->key, admit_slot_us(a, e));
	}
	return share_add_waiting(&a->shares, now, incoming->organisation,
	    incoming->key, admit_slot_us(a, incoming));
}

/** Index in the heap of the entry to evict: if @late, among all late entries,
 * otherwise among those in time that are evicted rather than @than, whose
 * organisation has the work @s; -1 when there is none. */
static int
queue_victim(struct admit *a, int64_t now, int late, const struct entry *than,
    const struct share_place *s)
{
	const struct queue *q = &a->queue;
	const struct share_place *t;
	const struct entry *e;
	int i, found = -1;

	for (i = 0; i < q->n; i++) {
		e = &q->slot[q->heap[i]];
		if (e->key == REFUSE_KEY || (e->key >= LATE_KEY) != late)
			continue;
		t = share_add_waiting(&a->shares, now, e->organisation, now, 0);
		if ((late && found < 0) || evict_first(e, t, than, s)) {
			found = i;
			than = e;
			s = t;
		}
	}
	return found;
}

int
admit_make_room(struct admit *a, int64_t now, const struct entry *incoming)
{
	struct queue *q = &a->queue;
	const struct share_place *s;
	int i;

	if (q->n >= q->capacity)
		return 0;
	s = queue_shares(a, now, incoming);
	i = queue_victim(a, now, 1, incoming, s);
	if (i < 0)
		i = queue_victim(a, now, 0, incoming, s);
	if (i < 0)
		return 0;
	queue_rekey(q, q->heap[i], REFUSE_KEY);
	return 1;
}
