#include "core/rollout/impl.h"

#include <math.h>
#include <string.h>

#define BAD_MORE 0.2 /* share of bad answers to be found, above the old one */
#define RATE_MOST 0.95 /* highest p1; above, both versions fail alike */
/* Weight of the long-term rate in a window, in answers. */
#define WINDOW_WEIGHT 10
/* Windows of all routes together, in bins: the longer ones hold some answers of
 * a service with few requests. The weight of the long-term rate is small, as
 * there are few. */
#define POOL_STEP (2 * ROLLOUT_BINS_NEAR + 1)
#define POOL_WEIGHT 2
#define SCORE_MOST (2 * ROLLOUT_THRESHOLD)
/* A score counts up to so many times what the answers of both versions since it
 * left 0 show together. A failure of both versions that shows in a new target
 * first raises the score, but not that. */
#define RUN_PART 1.8
#define OTHERS_PART 4 /* the same of what the new targets but one show */
#define OTHERS_ANSWERS 2 /* of these, to find the worst one unlike them */
/* Log-likelihood ratio from which on a target is unlike the others. */
#define UNLIKE 2
/* Old answers in that time that are needed to compare. Without them so many are
 * assumed. */
#define RUN_ANSWERS 3
#define ASSUMED_ANSWERS 20
/* A new target with less than this part of the answers of another one is not
 * counted as one that gets requests. */
#define TARGET_PART 0.1

/**
 * struct judged - what a bin tells
 * @newer: answers of the new targets
 * @near: answers of the old targets near it
 * @last: answers of the old targets in the last bin near it
 * @rate: sum over the new answers of their route's long-term rate
 * @p0: the same of the rate near the bin
 * @gain: log-likelihood ratio of the new answers
 */
struct judged {
	struct rollout_tally newer, near, last;
	double rate, p0;
	double gain;
};

static double
gain(const struct rollout_tally *t, double p0)
{
	double p1 = MIN(p0 + BAD_MORE, RATE_MOST);

	if (p1 <= p0)
		return 0;
	return t->bad * log(p1 / p0) +
	       (t->answers - t->bad) * log((1 - p1) / (1 - p0));
}

static void
add(struct rollout_tally *t, const struct rollout_tally *d)
{
	t->answers += d->answers;
	t->bad += d->bad;
}

/* Adds up answers in the bins from @first to @last. */
static struct rollout_tally
sum_bins(const struct rollout_evidence *e, int64_t first, int64_t last,
    enum rollout_side side, int slow_from)
{
	const struct rollout_counts *c;
	struct rollout_tally t = { 0 };

	for (first = MAX(first, 0); first <= last; first++) {
		c = &e->bin[first % ROLLOUT_BINS][side];
		t.answers += rollout_answers(c);
		t.bad += rollout_bad(c, slow_from);
	}
	return t;
}

/* Highest share of bad answers of the old targets in any of the windows around
 * a bin that are long enough for all reporters to report.
 * @near: filled in with the answers in that window, in all of them if none has
 *a higher share than the long-term rate */
static double
rate_near(const struct rollout_evidence *e, int64_t bin, int slow_from,
    double rate, struct rollout_tally *near)
{
	int64_t first = bin - ROLLOUT_BINS_NEAR;
	struct rollout_tally t;
	double p = rate, q;

	*near =
	    sum_bins(e, first, bin + ROLLOUT_BINS_NEAR, ROLLOUT_OLD, slow_from);
	for (; first <= bin; first++) {
		t = sum_bins(e, first, first + ROLLOUT_BINS_NEAR, ROLLOUT_OLD,
		    slow_from);
		q = (t.bad + WINDOW_WEIGHT * rate) /
		    (t.answers + WINDOW_WEIGHT);
		if (q <= p)
			continue;
		p = q;
		*near = t;
	}
	return p;
}

/* The same on all routes together, in longer windows: what affects all routes
 * shows there before it shows on a route with few requests. */
static double
pool_rate(const struct rollout *r, int64_t last)
{
	const struct rollout_tally *t;
	double bad = POOL_WEIGHT * r->all.rate, n = POOL_WEIGHT, p = 0;
	int i;

	for (i = 0; i < ROLLOUT_POOL_BINS && i <= last; i++) {
		t = &r->pool[(last - i) % ROLLOUT_POOL_BINS];
		bad += t->bad;
		n += t->answers;
		if ((i + 1) % POOL_STEP == 0)
			p = MAX(p, bad / n);
	}
	return p;
}

static void
fill_pool(struct rollout *r, int64_t bin)
{
	struct rollout_tally *t = &r->pool[bin % ROLLOUT_POOL_BINS], d;
	const struct rollout_evidence *e;
	GHashTableIter it;
	gpointer v;

	memset(t, 0, sizeof *t);
	g_hash_table_iter_init(&it, r->routes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		e = v;
		d = sum_bins(e, bin, bin, ROLLOUT_OLD, rollout_slow_from(e));
		add(t, &d);
	}
}

static struct judged
judge(const struct rollout_evidence *e, int64_t bin, double pool)
{
	int slow_from = rollout_slow_from(e);
	int64_t last = bin + ROLLOUT_BINS_NEAR;
	double rate = rollout_old_rate(e), p0;
	struct judged j = { 0 };

	p0 = MAX(pool, rate_near(e, bin, slow_from, rate, &j.near));
	j.newer = sum_bins(e, bin, bin, ROLLOUT_NEW, slow_from);
	j.last = sum_bins(e, last, last, ROLLOUT_OLD, slow_from);
	j.rate = j.newer.answers * rate;
	j.p0 = j.newer.answers * p0;
	j.gain = gain(&j.newer, p0);
	return j;
}

static void
add_judged(struct judged *sum, const struct judged *j)
{
	add(&sum->newer, &j->newer);
	add(&sum->near, &j->near);
	add(&sum->last, &j->last);
	sum->rate += j->rate;
	sum->p0 += j->p0;
	sum->gain += j->gain;
}

/* One step of the CUSUM (Page, "Continuous inspection schemes", Biometrika
 * 1954). */
static void
score(struct rollout_score *s, const struct judged *j)
{
	double was = s->score;

	if (j->newer.answers > 0) {
		s->rate = j->rate / j->newer.answers;
		s->p0 = j->p0 / j->newer.answers;
	}
	s->score = CLAMP(was + j->gain, 0, SCORE_MOST);
	if (s->score <= 0 || was <= 0)
		memset(s->run, 0, sizeof s->run);
	if (s->score <= 0)
		return;
	add(&s->run[ROLLOUT_NEW], &j->newer);
	add(&s->run[ROLLOUT_OLD], was <= 0 ? &j->near : &j->last);
}

/* Begins the next bin in place of the oldest, and judges the one for which old
 * answers are now complete. */
static void
next_bin(struct rollout *r)
{
	int64_t judged = ++r->bin - ROLLOUT_BINS_NEAR - 1;
	struct judged j, all = { 0 };
	struct rollout_evidence *e;
	double pool;
	GHashTableIter it;
	gpointer v;

	fill_pool(r, r->bin - 1);
	pool = pool_rate(r, r->bin - 1);
	g_hash_table_iter_init(&it, r->routes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		e = v;
		memset(e->bin[r->bin % ROLLOUT_BINS], 0, sizeof e->bin[0]);
		if (judged < 0)
			continue;
		j = judge(e, judged, pool);
		score(&e->score, &j);
		add_judged(&all, &j);
	}
	score(&r->all, &all);
}

void
rollout_advance(struct rollout *r, int64_t now)
{
	int64_t bin = (now - r->created) / ROLLOUT_BIN_US;
	int i;

	/* After ROLLOUT_BINS steps all are empty. */
	for (i = 0; i < ROLLOUT_BINS && r->bin < bin; i++)
		next_bin(r);
	r->bin = MAX(r->bin, bin);
}

/* Whether one new target alone gets requests. */
static int
is_alone(const struct rollout *r, int64_t now)
{
	const struct rollout_score *s = &r->all;
	struct rollout_recent t;
	double all = 0, most = 0;
	int i;

	for (i = 0; i < s->nrecent; i++) {
		t = s->recent[i];
		rollout_halve(&t, now);
		all += t.answers;
		most = MAX(most, t.answers);
	}
	return all - most < MAX(1, TARGET_PART * most);
}

/* Log-likelihood of answers at their own rate of bad ones. */
static double
fit(double answers, double bad)
{
	double good = answers - bad, l = 0;

	if (bad > 0)
		l += bad * log(bad / answers);
	if (good > 0)
		l += good * log(good / answers);
	return l;
}

double
rollout_compare(const struct rollout_tally *newer,
    const struct rollout_tally *older)
{
	if (newer->bad * older->answers <= older->bad * newer->answers)
		return 0;
	return fit(newer->answers, newer->bad) +
	       fit(older->answers, older->bad) -
	       fit(newer->answers + older->answers, newer->bad + older->bad);
}

int
rollout_is_unlike(const struct rollout_tally *worst,
    const struct rollout_tally *others)
{
	return rollout_compare(worst, others) >= UNLIKE;
}

/* Most that counts of a score, so that one target's machine does not make the
 * version bad: four times what the other new targets show, if they get requests
 * and the worst one is not like them. */
static double
most_by_target(const struct rollout *r, const struct rollout_score *s,
    int64_t now)
{
	struct rollout_tally others = { 0 }, worst = { 0 };
	struct rollout_recent t;
	int i;

	for (i = 0; i < s->nrecent; i++) {
		t = s->recent[i];
		rollout_halve(&t, now);
		others.answers += t.answers;
		others.bad += t.bad;
		if (t.bad > worst.bad)
			worst = (struct rollout_tally){ t.answers, t.bad };
	}
	others.answers -= worst.answers;
	others.bad -= worst.bad;
	if (is_alone(r, now) || (others.answers >= OTHERS_ANSWERS &&
				    !rollout_is_unlike(&worst, &others)))
		return SCORE_MOST;
	return OTHERS_PART * gain(&others, s->rate);
}

/* Answers of the old targets since the score left 0. If there are none to
 * compare with, as many as assumed at their rate since the order. */
static struct rollout_tally
run_old(const struct rollout *r, const struct rollout_score *s)
{
	struct rollout_tally t = s->run[ROLLOUT_OLD];

	if (t.answers < RUN_ANSWERS)
		t = r->all.run[ROLLOUT_OLD];
	if (t.answers < RUN_ANSWERS) {
		t.answers += ASSUMED_ANSWERS;
		t.bad += ASSUMED_ANSWERS * s->rate;
	}
	return t;
}

double
rollout_counted(const struct rollout *r, const struct rollout_score *s,
    int64_t now)
{
	struct rollout_tally old = run_old(r, s);
	double most;

	if (s->score <= 0)
		return 0;
	most = MIN(RUN_PART * rollout_compare(&s->run[ROLLOUT_NEW], &old),
	    most_by_target(r, s, now));
	return CLAMP(most, 0, s->score);
}

const struct rollout_score *
rollout_worst(const struct rollout *r, int64_t now,
    const struct rollout_evidence **worst, double *counted)
{
	const struct rollout_score *s = &r->all;
	const struct rollout_evidence *e;
	GHashTableIter it;
	double c;
	gpointer v;

	*worst = NULL;
	*counted = rollout_counted(r, s, now);
	g_hash_table_iter_init(&it, r->routes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		e = v;
		c = rollout_counted(r, &e->score, now);
		if (c <= *counted)
			continue;
		*worst = e;
		*counted = c;
		s = &e->score;
	}
	return s;
}
