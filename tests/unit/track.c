#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "track.h"

/* One report about a target, and what it is expected to change. A @sequence of
 * -1 stands for a leave, -2 for a health check that found the target, -3 for an
 * answer by which it says that it leaves. */
struct step {
	const char *id;
	int64_t born;
	int64_t sequence;
	int draining;
	enum track_change change;
	enum track_state state;
};

#define STEPS_MAX 8

struct reports {
	const char *name;
	int n;
	struct step step[STEPS_MAX];
};

static const struct reports cases[] = {
	{ "late and repeated heartbeats change nothing", 4,
	    { { "a", 5, 2, 0, TRACK_START, TRACK_READY },
		{ "a", 5, 1, 0, TRACK_STALE, TRACK_READY },
		{ "a", 5, 2, 0, TRACK_STALE, TRACK_READY },
		{ "a", 5, 3, 0, TRACK_UPDATED, TRACK_READY } } },
	{ "a later start replaces the present one, an earlier one does not", 4,
	    { { "a", 5, 9, 0, TRACK_START, TRACK_READY },
		{ "b", 7, 1, 0, TRACK_START, TRACK_READY },
		{ "a", 5, 10, 0, TRACK_STALE, TRACK_READY },
		{ "c", 6, 1, 0, TRACK_STALE, TRACK_READY } } },
	{ "the same id restarts and its sequence starts anew", 3,
	    { { "a", 5, 900, 0, TRACK_START, TRACK_READY },
		{ "a", 8, 1, 0, TRACK_START, TRACK_READY },
		{ "a", 5, 901, 0, TRACK_STALE, TRACK_READY } } },
	{ "draining is final for a start", 4,
	    { { "a", 5, 1, 0, TRACK_START, TRACK_READY },
		{ "a", 5, 2, 1, TRACK_DRAINS, TRACK_DRAINING },
		{ "a", 5, 3, 0, TRACK_UPDATED, TRACK_DRAINING },
		{ "b", 9, 1, 0, TRACK_START, TRACK_READY } } },
	{ "a leave without draining; heartbeats after it are ignored", 4,
	    { { "a", 5, 1, 0, TRACK_START, TRACK_READY },
		{ "a", 5, -1, 0, TRACK_LEAVES, TRACK_LEFT },
		{ "a", 5, 7, 0, TRACK_STALE, TRACK_LEFT },
		{ "a", 6, 1, 0, TRACK_START, TRACK_READY } } },
	{ "a leave of another start changes nothing", 3,
	    { { "b", 7, 1, 0, TRACK_START, TRACK_READY },
		{ "a", 0, -1, 0, TRACK_STALE, TRACK_READY },
		{ "b", 7, 2, 0, TRACK_UPDATED, TRACK_READY } } },
	{ "a leave that arrives before all heartbeats is remembered", 2,
	    { { "a", 0, -1, 0, TRACK_STALE, TRACK_NONE },
		{ "a", 0, 4, 0, TRACK_STALE, TRACK_NONE } } },
	{ "without a time of birth another id counts as a later start", 4,
	    { { "a", 0, 4, 0, TRACK_START, TRACK_READY },
		{ "b", 0, 1, 0, TRACK_START, TRACK_READY },
		{ "b", 0, -1, 0, TRACK_LEAVES, TRACK_LEFT },
		{ "b", 0, 2, 0, TRACK_STALE, TRACK_LEFT } } },
	{ "a heartbeat with the id of a found target is the same start", 4,
	    { { "a", 0, -2, 0, TRACK_START, TRACK_READY },
		{ "a", 5, 7, 0, TRACK_UPDATED, TRACK_READY },
		{ "b", 4, 9, 0, TRACK_STALE, TRACK_READY },
		{ "a", 5, 8, 1, TRACK_DRAINS, TRACK_DRAINING } } },
	{ "a late heartbeat does not replace a found target", 3,
	    { { "b", 0, -2, 0, TRACK_START, TRACK_READY },
		{ "a", 5, 90, 1, TRACK_STALE, TRACK_READY },
		{ "b", 9, 3, 0, TRACK_UPDATED, TRACK_READY } } },
	{ "a second heartbeat of another start replaces a found target", 3,
	    { { "a", 0, -2, 0, TRACK_START, TRACK_READY },
		{ "b", 9, 1, 0, TRACK_STALE, TRACK_READY },
		{ "b", 9, 2, 0, TRACK_START, TRACK_READY } } },
	{ "a found target leaves", 2,
	    { { "a", 0, -2, 0, TRACK_START, TRACK_READY },
		{ "a", 0, -1, 0, TRACK_LEAVES, TRACK_LEFT } } },
	{ "an answer that says that the target leaves is final", 4,
	    { { "a", 5, 1, 0, TRACK_START, TRACK_READY },
		{ "a", 5, -3, 0, TRACK_DRAINS, TRACK_DRAINING },
		{ "a", 5, 2, 0, TRACK_UPDATED, TRACK_DRAINING },
		{ "a", 9, 1, 0, TRACK_START, TRACK_READY } } },
	{ "a heartbeat does not bring back a found target that leaves", 4,
	    { { "a", 0, -2, 0, TRACK_START, TRACK_READY },
		{ "a", 0, -3, 0, TRACK_DRAINS, TRACK_DRAINING },
		{ "a", 5, 7, 0, TRACK_UPDATED, TRACK_DRAINING },
		{ "a", 5, 8, 1, TRACK_UPDATED, TRACK_DRAINING } } },
	{ "an answer of another start changes nothing", 2,
	    { { "b", 7, 1, 0, TRACK_START, TRACK_READY },
		{ "a", 0, -3, 0, TRACK_STALE, TRACK_READY } } },
	{ "a leaving start found before all heartbeats is remembered", 2,
	    { { "a", 0, -3, 0, TRACK_STALE, TRACK_NONE },
		{ "a", 5, 4, 0, TRACK_STALE, TRACK_NONE } } },
	{ "a start that drains from the beginning", 1,
	    { { "a", 5, 1, 1, TRACK_START, TRACK_DRAINING } } },
};

/* The same with confirm_first: the tracker of a daemon that starts anew. */
static const struct reports confirmed[] = {
	{ "one late heartbeat of a start that left does not bring it back", 3,
	    { { "a", 5, 9, 0, TRACK_UNCONFIRMED, TRACK_NONE },
		{ "a", 5, 9, 0, TRACK_UNCONFIRMED, TRACK_NONE },
		{ "a", 5, 8, 0, TRACK_UNCONFIRMED, TRACK_NONE } } },
	{ "a running target is accepted from its second heartbeat on", 3,
	    { { "a", 5, 9, 0, TRACK_UNCONFIRMED, TRACK_NONE },
		{ "a", 5, 10, 0, TRACK_START, TRACK_READY },
		{ "a", 5, 11, 0, TRACK_UPDATED, TRACK_READY } } },
	{ "a health check confirms the first heartbeat", 3,
	    { { "a", 5, 9, 0, TRACK_UNCONFIRMED, TRACK_NONE },
		{ "a", 0, -2, 0, TRACK_START, TRACK_READY },
		{ "a", 5, 10, 0, TRACK_UPDATED, TRACK_READY } } },
	{ "late heartbeats of two starts confirm neither", 3,
	    { { "a", 5, 9, 0, TRACK_UNCONFIRMED, TRACK_NONE },
		{ "b", 7, 12, 0, TRACK_UNCONFIRMED, TRACK_NONE },
		{ "a", 5, 10, 0, TRACK_UNCONFIRMED, TRACK_NONE } } },
	{ "a leave ends what was to be confirmed", 3,
	    { { "a", 5, 9, 0, TRACK_UNCONFIRMED, TRACK_NONE },
		{ "a", 0, -1, 0, TRACK_STALE, TRACK_NONE },
		{ "a", 5, 10, 0, TRACK_STALE, TRACK_NONE } } },
	{ "a draining start needs no confirmation", 1,
	    { { "a", 5, 9, 1, TRACK_START, TRACK_DRAINING } } },
};

static void
play(struct track *t, const struct reports *r)
{
	int i;

	for (i = 0; i < r->n; i++) {
		const struct step *p = &r->step[i];
		struct heartbeat b = { .started_ms = p->born,
			.sequence = p->sequence,
			.draining = p->draining };
		enum track_change c = TRACK_START;

		g_strlcpy(b.id, p->id, sizeof b.id);
		if (p->sequence == -2)
			track_health_check(t, &b, i);
		else if (p->sequence == -3)
			c = track_says_leaving(t, p->id, i);
		else
			c = p->sequence < 0 ? track_leave(t, p->id, i)
					    : track_heartbeat(t, &b, i);
		ck_assert_msg(c == p->change && t->state == p->state,
		    "%s: step %d: change %d, state %d", r->name, i, c,
		    t->state);
	}
}

START_TEST(state_after_reports)
{
	struct track t = { 0 };

	play(&t, &cases[_i]);
}
END_TEST

START_TEST(first_start_is_confirmed)
{
	struct track t = { .confirm_first = 1 };

	play(&t, &confirmed[_i]);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("track");
	TCase *c = tcase_create("track");
	SRunner *r;
	int failed;

	tcase_add_loop_test(c, state_after_reports, 0,
	    sizeof cases / sizeof *cases);
	tcase_add_loop_test(c, first_start_is_confirmed, 0,
	    sizeof confirmed / sizeof *confirmed);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
