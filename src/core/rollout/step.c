#include "core/rollout/impl.h"

#define GOOD_FROM 0.5 /* of the duration; no good verdict before */
#define FEW_FROM 0.7 /* from here on few answers and few targets do */
#define LAST_AT 0.95 /* an order that is not decided is rolled back */
#define WARM_PART 0.8 /* of the old targets, to shift */
#define WARM_PART_LATE 0.5 /* the same from FEW_FROM on */
/* In the last second, old targets need not be idle. */
#define DEADLINE_LEFT_US 1000000
#define SHIFTED_LEFT_US 1400000 /* share 1 is in force by then */
/* Two rounds of reports, and the bins near the last one. */
#define SETTLE_US (2 * ROLLOUT_REPORT_US + ROLLOUT_BIN_US)
/* Time at the first share while shifting: 0.5 s until its load shows a fault, a
 * round of reports (0.3 s), the bins near it (0.4 s), and 0.5 s of answers. */
#define HOLD_US 1700000
#define HOLD_LEAST_US 100000 /* the same when the deadline is near */
#define OLD_IDLE_US 500000 /* no request started at old targets for so long */
#define HOLD_ANSWERS 16 /* new answers at that share, if there is time */
/* First share while shifting, with so few old targets that two new ones have
 * three quarters of their full load by it. */
#define SHIFT_SHARE_FEW 0.75
#define SHIFT_FEW 2

/* The share while evidence is gathered is raised where half of the share gives
 * fewer answers than these until GOOD_FROM. It leaves a reserve of what a bad
 * version may get: what the first share while shifting takes until a fault
 * under load is found. */
#define ANSWERS_WANTED 150
#define RAISED_MOST 0.45 /* below ROLLOUT_SHIFT_SHARE */
#define RATE_AFTER_US 1000000 /* time needed to know the rate of requests */
#define RATE_CHANGE 1.3 /* a smaller change is not worth a write */

/* Scores from which on the state does not move on. The lower one costs time
 * only. When no time is left the score decides between the final states. */
#define SUSPICION (ROLLOUT_THRESHOLD / 3)
#define SUSPICION_LATE (ROLLOUT_THRESHOLD / 2)
#define DOUBT_LATE_FROM 0.8 /* of the duration */
/* Score from which on a version is bad once it has got this part of what a bad
 * version may get. */
#define SPENT_PART 0.9
#define SPENT_THRESHOLD (ROLLOUT_THRESHOLD * 2 / 3)

/** struct scene - what a step needs to know
 * @score: highest score that counts */
struct scene {
	int64_t now;
	int64_t elapsed;
	int old, warm;
	int old_idle;
	double score;
};

static int64_t
part_us(const struct rollout *r, double part)
{
	return (int64_t)(part * (double)r->order.duration_us);
}

/* Old targets that have not reported since the share in force count as busy. */
static void
look(const struct rollout *r, struct scene *s)
{
	const struct rollout_row *row;
	GHashTableIter it;
	gpointer v;

	s->old_idle = 1;
	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		row = v;
		if (!rollout_is_live(row, s->now))
			continue;
		if (row->last.is_new) {
			s->warm += row->last.warm != 0;
			continue;
		}
		s->old++;
		if (row->last.in_flight || row->heard_at <= r->share_at ||
		    s->now - row->started_at < OLD_IDLE_US)
			s->old_idle = 0;
	}
}

static int
is_warm(const struct rollout *r, const struct scene *s)
{
	int late = s->elapsed >= part_us(r, FEW_FROM);

	return s->warm > 0 &&
	       s->warm >= (late ? WARM_PART_LATE : WARM_PART) * s->old;
}

/* Whether the new version is so bad that the state does not move on. */
static int
is_doubted(const struct rollout *r, const struct scene *s)
{
	int late = s->elapsed >= part_us(r, DOUBT_LATE_FROM);

	return s->score >= (late ? SUSPICION_LATE : SUSPICION) ||
	       !rollout_is_about_as_good(r, late);
}

static int
may_go_on(const struct rollout *r, const struct scene *s)
{
	return is_warm(r, s) && !is_doubted(r, s);
}

static enum rollout_state
roll_back(struct rollout_verdict *v, enum rollout_reason reason)
{
	v->reason = reason;
	v->share = 0;
	return ROLLOUT_ROLLED_BACK;
}

static enum rollout_state
complete(struct rollout_verdict *v, enum rollout_reason reason)
{
	v->reason = reason;
	v->share = 1;
	return ROLLOUT_COMPLETED;
}

static enum rollout_state
shift(struct rollout_verdict *v, enum rollout_reason reason, double share)
{
	v->reason = reason;
	v->share = share;
	return ROLLOUT_SHIFTING;
}

static enum rollout_state
give_up(const struct rollout *r, const struct scene *s,
    struct rollout_verdict *v)
{
	if (is_doubted(r, s))
		return roll_back(v, ROLLOUT_BAD);
	return roll_back(v,
	    is_warm(r, s) ? ROLLOUT_NO_EVIDENCE : ROLLOUT_NO_TARGETS);
}

static double
least_share(const struct rollout *r)
{
	return MIN(r->limits.share / 2, RAISED_MOST);
}

static enum rollout_state
begin(const struct rollout *r, const struct scene *s, struct rollout_verdict *v)
{
	if (s->elapsed >= part_us(r, LAST_AT))
		return roll_back(v, ROLLOUT_NO_EVIDENCE);
	v->reason = ROLLOUT_ORDERED;
	v->share = least_share(r);
	return ROLLOUT_RUNNING;
}

/* Requests from the order to its deadline, if they come as before. */
static double
expected(const struct rollout *r, const struct scene *s)
{
	double n = (double)(r->started[ROLLOUT_OLD] + r->started[ROLLOUT_NEW]);

	return n * (double)r->order.duration_us /
	       (double)MAX(s->elapsed, ROLLOUT_BIN_US);
}

/* Part that the new version got of what a bad one may get. */
static double
spent(const struct rollout *r, const struct scene *s)
{
	double most = r->limits.share * expected(r, s) + r->limits.slack;

	return most > 0 ? (double)r->started[ROLLOUT_NEW] / most : 1;
}

static int
is_bad(const struct rollout *r, const struct scene *s)
{
	/* Bins that are judged later have no old answers to compare with. */
	if (r->share >= 1 && s->now - r->share_at > ROLLOUT_REPORT_US)
		return 0;
	return s->score >= ROLLOUT_THRESHOLD ||
	       (s->score >= SPENT_THRESHOLD && spent(r, s) >= SPENT_PART);
}

static double
first_shift(const struct rollout *r, int old)
{
	return MAX(old > SHIFT_FEW ? ROLLOUT_SHIFT_SHARE : SHIFT_SHARE_FEW,
	    r->limits.share);
}

/* Share to be used while evidence is gathered. */
static double
fitted_share(const struct rollout *r, const struct scene *s)
{
	double all = expected(r, s), reserve, most, want;

	if (all < 1)
		return r->share;
	reserve = first_shift(r, s->old) * all * HOLD_US /
		      (double)r->order.duration_us +
		  HOLD_ANSWERS;
	most = (r->limits.share * all + r->limits.slack - reserve) /
	       (FEW_FROM * all);
	want = ANSWERS_WANTED / (GOOD_FROM * all);
	return MAX(MIN(MIN(want, most), RAISED_MOST), least_share(r));
}

static enum rollout_state
fit_share(const struct rollout *r, const struct scene *s,
    struct rollout_verdict *v)
{
	double share = fitted_share(r, s);

	if (s->elapsed >= RATE_AFTER_US &&
	    (share > RATE_CHANGE * r->share ||
		RATE_CHANGE * share < r->share)) {
		v->reason = ROLLOUT_RATE;
		v->share = share;
	}
	return ROLLOUT_RUNNING;
}

static enum rollout_state
run(const struct rollout *r, const struct scene *s, struct rollout_verdict *v)
{
	int late = s->elapsed >= part_us(r, FEW_FROM);

	if (s->elapsed >= part_us(r, GOOD_FROM) && may_go_on(r, s)) {
		if (rollout_is_enough(r, 0))
			return shift(v, ROLLOUT_GOOD, first_shift(r, s->old));
		if (late && rollout_is_enough(r, 1))
			return shift(v, ROLLOUT_GOOD_FEW,
			    first_shift(r, s->old));
	}
	if (s->elapsed >= part_us(r, LAST_AT))
		return give_up(r, s, v);
	return fit_share(r, s, v);
}

/* Whether the first share while shifting was in force for long enough; for less
 * if the deadline is near. */
static int
is_held(const struct rollout *r, const struct scene *s)
{
	int64_t held = s->now - r->share_at;
	int64_t left = r->order.duration_us - SHIFTED_LEFT_US - s->elapsed;

	if (held < CLAMP(left + held, HOLD_LEAST_US, HOLD_US))
		return 0;
	return left <= 0 ||
	       rollout_new_answers(r) - r->share_answers >= HOLD_ANSWERS;
}

/* The share is 1: old targets get nothing to compare with, so that a bad
 * version can't be told from a failing dependency any more. */
static enum rollout_state
finish(const struct rollout *r, const struct scene *s,
    struct rollout_verdict *v)
{
	if (!is_warm(r, s))
		return s->elapsed >= part_us(r, LAST_AT) ? give_up(r, s, v)
							 : ROLLOUT_SHIFTING;
	if (s->now - r->share_at < HOLD_LEAST_US)
		return ROLLOUT_SHIFTING;
	if (s->old_idle)
		return complete(v, ROLLOUT_OLD_IDLE);
	if (s->elapsed >= r->order.duration_us - DEADLINE_LEFT_US)
		return complete(v, ROLLOUT_DEADLINE);
	return ROLLOUT_SHIFTING;
}

static enum rollout_state
go_on(const struct rollout *r, const struct scene *s, struct rollout_verdict *v)
{
	if (r->share >= 1)
		return finish(r, s, v);
	if (s->elapsed >= part_us(r, LAST_AT))
		return give_up(r, s, v);
	if (!may_go_on(r, s) || !is_held(r, s))
		return ROLLOUT_SHIFTING;
	return shift(v, ROLLOUT_MORE, 1);
}

/* Adds the evidence on a route. */
static void
tell_route(const struct rollout_evidence *e, struct rollout_verdict *v)
{
	const struct rollout_counts *c = &e->total[ROLLOUT_NEW];
	const struct rollout_counts *old = &e->total[ROLLOUT_OLD];
	int slow_from = rollout_slow_from(e);

	v->answers += rollout_answers(c);
	v->failed += c->failed;
	v->slow += rollout_bad(c, slow_from) - c->failed;
	v->old_answers += rollout_answers(old);
	v->old_bad += rollout_bad(old, slow_from);
}

/* Fills in the evidence that counts most. */
static void
tell(const struct rollout *r, struct scene *s, struct rollout_verdict *v)
{
	const struct rollout_evidence *e;
	const struct rollout_score *c = rollout_worst(r, s->now, &e, &s->score);
	GHashTableIter it;
	gpointer p;
	int i;

	v->threshold = ROLLOUT_THRESHOLD;
	v->old_targets = s->old;
	v->warm_targets = s->warm;
	v->score = c->score;
	for (i = 0; i < c->nrecent; i++)
		v->bad_targets += c->recent[i].bad > 0;
	v->route = e ? e->route : ROLLOUT_ROUTE_ALL;
	if (e) {
		tell_route(e, v);
		return;
	}
	g_hash_table_iter_init(&it, r->routes);
	while (g_hash_table_iter_next(&it, NULL, &p))
		tell_route(p, v);
}

static void
note_share(struct rollout *r, double share, int64_t now)
{
	if (r->share == share)
		return;
	r->share = share;
	r->share_at = now;
	r->share_answers = rollout_new_answers(r);
	rollout_begin_share(r);
}

enum rollout_state
rollout_step(struct rollout *r, const struct rollout_status *current,
    int64_t now, struct rollout_verdict *v)
{
	struct scene s = { .now = now,
		.elapsed = r->elapsed_us + now - r->created };

	*v = (struct rollout_verdict){ .reason = ROLLOUT_WAITS,
		.share = current->share };
	rollout_advance(r, now);
	note_share(r, current->share, now);
	look(r, &s);
	tell(r, &s, v);
	if (current->state == ROLLOUT_COMPLETED ||
	    current->state == ROLLOUT_ROLLED_BACK)
		return current->state;
	if (is_bad(r, &s))
		return roll_back(v, ROLLOUT_BAD);
	if (current->state == ROLLOUT_NONE)
		return begin(r, &s, v);
	if (now - r->created < SETTLE_US)
		return current->state;
	if (current->state == ROLLOUT_RUNNING)
		return run(r, &s, v);
	return go_on(r, &s, v);
}
