#include "judge_impl.h"

#define STATUS_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503
#define STATUS_FAILED 400
#define LONG_LEAST 8 /* requests that pass the time of their route */
#define LONG_PART 4
#define GONE_FEW 3

static int
is_promise(int status)
{
	return status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED ||
	       status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

static int
is_success(const struct judged_request *q)
{
	return q->outcome == SEEN_WHOLE && q->status / 100 == 2;
}

static void
judge_answer(struct judgement *j, const struct judged_request *q)
{
	int refused =
	    q->outcome == SEEN_WHOLE && !q->is_signed &&
	    (q->status == STATUS_TOO_MANY || q->status == STATUS_UNAVAILABLE);

	if (q->outcome == SEEN_BAD)
		judge_find(j, "MIXED/not-its-answer", q);
	else if (is_success(q) && !q->is_signed)
		judge_find(j, "MIXED/unsigned", q);
	else if (is_success(q) && !q->first->answers_whole)
		judge_find(j, "MIXED/not-whole", q);
	if (refused && q->over > q->sent + OVER_US)
		judge_find_unless(j, "INFO/refused-late", "information", q);
}

void
judge_other(struct judgement *j, struct judged_request *q)
{
	if (q->once && q->runs->len > 1)
		judge_find(j, "TWICE", q);
	if (q->once && q->runs->len && q->outcome == SEEN_WHOLE &&
	    is_promise(q->status))
		judge_find(j, "REFUSED", q);
	if (!q->sent)
		return;
	judge_answer(j, q);
	if (q->outcome == SEEN_NOTHING)
		judge_excuse(j, q->parent ? "call-given-up" : "open-at-end");
	else if (q->outcome == SEEN_LATE)
		judge_excuse(j, "caller-gave-up");
	else if (q->outcome == SEEN_BEHIND && !judge_was_cut(q))
		judge_excuse(j, "behind-an-answer-that-closes");
	else if (q->outcome == SEEN_UNSENT && judge_up(q->to, q->over))
		judge_find_unless(j, "INFO/call-unsent", "information", q);
	else if (q->outcome == SEEN_UNSENT)
		judge_excuse(j, "call-daemon-down");
}

/* Whether requests that pass the time of their route get an answer soon after
 * it; those whose caller leaves before are not asked. */
static void
judge_timeouts(struct judgement *j)
{
	GPtrArray *slow = g_ptr_array_new();
	struct judged_request *q;
	int64_t most;
	guint i, all = 0;

	for (i = 0; i < j->requests->len; i++) {
		q = g_ptr_array_index(j->requests, i);
		most = q->sent && q->over ? judge_longest(j, q) : 0;
		if (!most || q->over <= q->sent + most ||
		    q->outcome == SEEN_UNSENT ||
		    !judge_in_touch(q->to, q->sent + most + HALF_SECOND_US))
			continue;
		if (q->over > q->sent + most + HALF_SECOND_US)
			g_ptr_array_add(slow, q);
		else if (q->outcome == SEEN_LATE)
			continue;
		all++;
	}
	if (slow->len * 2 > all ||
	    (slow->len >= LONG_LEAST && slow->len * LONG_PART > all))
		for (i = 0; i < slow->len; i++)
			judge_find(j, "CONFIG/timeout",
			    g_ptr_array_index(slow, i));
	g_ptr_array_free(slow, TRUE);
}

/* Nonzero if a link held up what its machine sends to that of the target. */
static int
is_held_up(const struct judged_request *q, const struct run *r, int64_t t)
{
	return r->at != q->to && judge_link_harmed(r->at, t);
}

/* A run that began after @t, one that no link held up if there is one; NULL if
 * there is none. */
static const struct run *
late_run(const struct judged_request *q, int64_t t)
{
	const struct run *r, *found = NULL;
	guint i;

	for (i = 0; i < q->runs->len; i++) {
		r = &g_array_index(q->runs, struct run, i);
		if (r->from > t &&
		    (!found || is_held_up(q, found, found->from)))
			found = r;
	}
	return found;
}

/* Notes a request that reached a target at @t or later. */
static void
note_reached(struct judgement *j, GPtrArray *reached, struct judged_request *q,
    int64_t t)
{
	const struct run *r = late_run(q, t);

	if (r && is_held_up(q, r, r->from))
		judge_excuse(j, "gone-held-up");
	else if (r)
		g_ptr_array_add(reached, q);
}

/* Notes a request at which its target is at work at @t; Return: nonzero if its
 * work would last so long */
static int
note_working(struct judgement *j, GPtrArray *working, struct judged_request *q,
    int64_t t)
{
	const struct run *r = judge_last_run(q);

	if (!r || q->once || r->from + q->work <= t || r->from > t)
		return 0;
	if (is_held_up(q, r, t)) {
		judge_excuse(j, "gone-held-up");
		return 0;
	}
	if (r->to > t)
		g_ptr_array_add(working, q);
	return 1;
}

/* Requests that their callers left: those that reach a target later, and work
 * that goes on. */
static void
judge_gone(struct judgement *j)
{
	GPtrArray *reached = g_ptr_array_new(), *working = g_ptr_array_new();
	struct judged_request *q;
	int64_t t;
	guint i, all = 0;

	for (i = 0; i < j->requests->len; i++) {
		q = g_ptr_array_index(j->requests, i);
		t = q->over + HALF_SECOND_US;
		if (q->outcome != SEEN_LATE || !judge_in_touch(q->to, t))
			continue;
		note_reached(j, reached, q, t);
		all += (guint)note_working(j, working, q, t);
	}
	for (i = 0; reached->len > GONE_FEW && i < reached->len; i++)
		judge_find(j, "GONE/passed-on", g_ptr_array_index(reached, i));
	for (i = 0; working->len * 4 > all && i < working->len; i++)
		judge_find(j, "GONE/at-work", g_ptr_array_index(working, i));
	g_ptr_array_free(working, TRUE);
	g_ptr_array_free(reached, TRUE);
}

void
judge_other_counts(struct judgement *j)
{
	judge_timeouts(j);
	judge_gone(j);
}
