#include "core/rollout/impl.h"

#define ANSWERS_FOR_ROUTE 30 /* answers on a route for a verdict on it */
#define ANSWERS_LEAST 16 /* new answers for any good verdict */
#define ANSWERS_LEAST_LATE 8 /* the same when few have to do */
#define ANSWERS_OF_OTHERS 4 /* from here on one target is left out */
/* Log-likelihood ratio from which on the new targets' rate of bad answers is
 * higher than the old ones': by chance in one of 140 comparisons. */
#define HIGHER 3
#define HIGHER_LATE 3.5 /* the same when no time is left: one of 240 */
/* A smaller difference of the rates is no fault, however many answers show it.
 */
#define HIGHER_LEAST 0.05

/* Adds up answers and bad ones of a reporter. */
static struct rollout_tally
sum_row(const struct rollout *r, const struct rollout_report *p)
{
	const struct rollout_evidence *e;
	struct rollout_tally t = { 0 };
	int i, j, slow_from;

	for (i = 0; i < p->nroute; i++) {
		e = g_hash_table_lookup(r->routes, &p->route[i].route);
		slow_from = e ? rollout_slow_from(e) : ROLLOUT_TIMES;
		t.answers += rollout_route_answers(&p->route[i]);
		t.bad += p->route[i].failed;
		for (j = slow_from; j < ROLLOUT_TIMES; j++)
			t.bad += p->route[i].time[j];
	}
	return t;
}

void
rollout_begin_share(struct rollout *r)
{
	struct rollout_row *row;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		row = v;
		row->before = sum_row(r, &row->last);
	}
}

/* Answers at the share in force. Fewer may be bad than before, if the time from
 * which on they are slow has changed. */
static struct rollout_tally
since(const struct rollout *r, const struct rollout_row *row)
{
	struct rollout_tally t = sum_row(r, &row->last);

	t.answers = MAX(0, t.answers - row->before.answers);
	t.bad = CLAMP(t.bad - row->before.bad, 0, t.answers);
	return t;
}

int
rollout_is_about_as_good(const struct rollout *r, int late)
{
	struct rollout_tally t, worst = { 0 }, sum[ROLLOUT_SIDES] = { 0 };
	const struct rollout_tally *newer = &sum[ROLLOUT_NEW];
	const struct rollout_tally *older = &sum[ROLLOUT_OLD];
	struct rollout_tally others;
	const struct rollout_row *row;
	GHashTableIter it;
	gpointer v;
	int side;

	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		row = v;
		side = row->last.is_new ? ROLLOUT_NEW : ROLLOUT_OLD;
		t = since(r, row);
		sum[side].answers += t.answers;
		sum[side].bad += t.bad;
		if (side == ROLLOUT_NEW && t.bad > worst.bad)
			worst = t;
	}
	others.answers = newer->answers - worst.answers;
	others.bad = newer->bad - worst.bad;
	if (others.answers >= ANSWERS_OF_OTHERS &&
	    rollout_is_unlike(&worst, &others))
		newer = &others;
	if (newer->bad / MAX(newer->answers, 1) <
	    older->bad / MAX(older->answers, 1) + HIGHER_LEAST)
		return 1;
	return rollout_compare(newer, older) < (late ? HIGHER_LATE : HIGHER);
}

uint64_t
rollout_new_answers(const struct rollout *r)
{
	const struct rollout_evidence *e;
	GHashTableIter it;
	uint64_t n = 0;
	gpointer v;

	g_hash_table_iter_init(&it, r->routes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		e = v;
		n += rollout_answers(&e->total[ROLLOUT_NEW]);
	}
	return n;
}

int
rollout_is_enough(const struct rollout *r, int late)
{
	const struct rollout_evidence *e;
	uint32_t n, old, all = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, r->routes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		e = v;
		n = rollout_answers(&e->total[ROLLOUT_NEW]);
		old = rollout_answers(&e->total[ROLLOUT_OLD]);
		if (!late && old >= ANSWERS_FOR_ROUTE && n < ANSWERS_FOR_ROUTE)
			return 0;
		if (rollout_slow_from(e) == ROLLOUT_TIMES)
			continue;
		all += n;
	}
	return all >= (uint32_t)(late ? ANSWERS_LEAST_LATE : ANSWERS_LEAST);
}
