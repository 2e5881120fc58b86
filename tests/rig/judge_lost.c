#include "judge_impl.h"

const struct run *
judge_last_run(const struct judged_request *q)
{
	return q->runs->len
		   ? &g_array_index(q->runs, struct run, q->runs->len - 1)
		   : NULL;
}

int
judge_was_cut(const struct judged_request *q)
{
	return q->outcome == SEEN_CUT ||
	       (q->outcome == SEEN_BEHIND && q->passed);
}

/* The last run that began before the request ended; NULL if there is none. */
static const struct run *
run_at_end(const struct judged_request *q)
{
	const struct run *r, *found = NULL;
	guint i;

	for (i = 0; i < q->runs->len; i++) {
		r = &g_array_index(q->runs, struct run, i);
		if (r->from <= q->over + ORDER_US)
			found = r;
	}
	return found;
}

/* Nonzero if a target was at work until the request ended. */
static int
at_work(const struct judged_request *q)
{
	const struct run *r = run_at_end(q);

	return r && r->how != RUN_BROKE &&
	       !(r->how == RUN_DONE && r->to < q->over);
}

static int
broke_off(const struct judged_request *q)
{
	const struct run *r = run_at_end(q);

	return r && r->how == RUN_BROKE && r->to <= q->over + ORDER_US;
}

/* A SIGTERM whose time the request ended in: the first one to its process, else
 * one to the process before; 0 if none. */
static int64_t
stop_of(const struct judged_request *q)
{
	int64_t start = judge_last(q->to->start, q->began), t, before = 0;
	guint i;

	for (i = 0; i < q->to->term->len; i++) {
		t = g_array_index(q->to->term, int64_t, i);
		if (t > q->over || q->over > t + GRACE_US + OVER_US)
			continue;
		if (t >= start)
			return t;
		before = t;
	}
	return before;
}

static int
is_after_hup(const struct judged_request *q)
{
	int64_t t;
	guint i;

	for (i = 0; i < q->to->hup->len; i++) {
		t = g_array_index(q->to->hup, int64_t, i);
		if (q->sent <= t + APPLY_US && q->over >= t)
			return 1;
	}
	return 0;
}

/* Nonzero if its target was still at work in the last part of the grace. */
static int
is_last_sixth(const struct judged_request *q, int64_t term)
{
	const struct run *r = run_at_end(q);

	return term && r && q->sent <= term + EARLY_US &&
	       q->over >= term + LAST_SIXTH_US && r->to >= term + LAST_SIXTH_US;
}

/* What the clauses on planned work don't count, NULL if they do. */
static const char *
excuse_of(const struct judgement *j, const struct judged_request *q)
{
	if (broke_off(q))
		return "worker-broke-off";
	if (!q->passed && q->behind)
		return "behind-not-passed-on";
	if (!q->passed && q->over <= q->sent + SLACK_US)
		return "crossed-close";
	if (judge_disturbed(q->to, q->began - TOUCH_US, q->over))
		return "unplanned-disturbance";
	switch (judge_limit(j, q)) {
	case LIMIT_DEADLINE:
		return "deadline";
	case LIMIT_ROUTE:
		return "route-timeout";
	case LIMIT_NONE:
	default:
		return is_last_sixth(q, stop_of(q)) ? "last-sixth" : NULL;
	}
}

/* Nonzero if there was trouble beside the target that worked on it. */
static int
is_troubled_beside(const struct judged_request *q)
{
	const struct run *r = judge_last_run(q);

	return r && r->at != q->to &&
	       judge_disturbed(r->at, q->began - TOUCH_US, q->over);
}

/* The reading of the rules that would excuse it, NULL if there is none. */
static const char *
reading_of(const struct judged_request *q)
{
	if (is_troubled_beside(q))
		return "beside-target";
	if (judge_is_parted(q->to, q->began - TOUCH_US, q->over))
		return "store-path";
	return NULL;
}

static void
lose(struct judgement *j, const char *rule, const struct judged_request *q)
{
	judge_find_unless(j, rule, reading_of(q), q);
}

static int
is_unsound_target(const struct judged_request *q)
{
	const struct run *r = judge_last_run(q);

	return r && judge_is_unsound(r->at, q->began, q->over);
}

/* The clause on kept connections counts it, or @excuse holds. */
static void
lose_kept(struct judgement *j, struct judged_request *q, const char *excuse)
{
	if (!judge_was_cut(q) || !q->passed || broke_off(q) ||
	    !judge_in_touch(q->to, q->over))
		judge_excuse(j, excuse);
	else if (is_troubled_beside(q))
		judge_find_unless(j, "LOST/kept", "beside-target", q);
	else if (is_unsound_target(q))
		judge_find_unless(j, "LOST/kept", "target-not-sound", q);
	else if (q->status)
		judge_find_unless(j, "LOST/kept", "answer-had-begun", q);
	else {
		q->excuse = excuse;
		g_ptr_array_add(j->kept, q);
	}
}

static void
lose_by_config(struct judgement *j, struct judged_request *q)
{
	if (judge_used_most(j, q)) {
		lose_kept(j, q, "config-most-time-used");
		return;
	}
	q->to->near_cut++;
	g_ptr_array_add(j->candidates, q);
}

static void
lose_cut(struct judgement *j, struct judged_request *q)
{
	int64_t term = stop_of(q);
	int stops = term >= judge_last(q->to->start, q->began);

	if (term && stops)
		lose(j, q->passed ? "LOST/planned-stop" : "LOST/stop-unpassed",
		    q);
	else if (is_after_hup(q))
		lose(j, "LOST/hup", q);
	else if (term)
		lose(j, "LOST/planned-start", q);
	else if (judge_by_config(j, q))
		lose_by_config(j, q);
	else {
		q->to->far_cut++;
		lose_kept(j, q,
		    judge_in_touch(q->to, q->over) ? "kept-up-to-three"
						   : "no-planned-work");
	}
}

static void
lose_own_answer(struct judgement *j, struct judged_request *q)
{
	if (stop_of(q))
		lose(j, "LOST/own-answer-after-sigterm", q);
	else
		judge_excuse(j, "own-answer-no-sigterm");
}

void
judge_lost(struct judgement *j, struct judged_request *q)
{
	const char *excuse;
	int own = q->outcome == SEEN_WHOLE && !q->is_signed && at_work(q);

	if (q->outcome != SEEN_NOTHING && judge_by_config(j, q))
		q->to->near++;
	else
		q->to->far++;
	if (!judge_was_cut(q) && !own)
		return;
	excuse = excuse_of(j, q);
	if (excuse)
		lose_kept(j, q, excuse);
	else if (own)
		lose_own_answer(j, q);
	else
		lose_cut(j, q);
}

/* Nonzero if a machine cuts so much more beside a configuration. */
static int
cuts_more(const struct judged_machine *m)
{
	return (int64_t)m->near_cut * MAX(m->far, 1) >
	       (int64_t)CONFIG_TIMES * m->far_cut * m->near;
}

void
judge_lost_counts(struct judgement *j)
{
	struct judged_request *q;
	guint i;

	for (i = 0; i < j->candidates->len; i++) {
		q = g_ptr_array_index(j->candidates, i);
		if (cuts_more(q->to))
			lose(j, "LOST/config", q);
		else
			lose_kept(j, q, "config-no-more-than-else");
	}
	for (i = 0; i < j->kept->len; i++) {
		q = g_ptr_array_index(j->kept, i);
		if (j->kept->len > KEPT_MAX)
			judge_find(j, "LOST/kept", q);
		else
			judge_excuse(j, q->excuse);
	}
}
