#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "track.h"

/* One report about a target, and what it is expected to change. A @sequence of
 * -1 stands for a leave, -2 for a health check that found the target. */
struct step {
	const char *id;
	int64_t born;
	int64_t sequence;
	int draining;
	enum track_change change;
	enum track_state state;
};

#define STEPS_MAX 8

static const struct {
	const char *name;
	int n;
	struct step step[STEPS_MAX];
} cases[] = {
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
	{ "a start that drains from the beginning", 1,
	    { { "a", 5, 1, 1, TRACK_START, TRACK_DRAINING } } },
};

START_TEST(state_after_reports)
{
	struct track t;
	int i;

	memset(&t, 0, sizeof t);
	for (i = 0; i < cases[_i].n; i++) {
		const struct step *p = &cases[_i].step[i];
		struct heartbeat b = { .started_ms = p->born,
			.sequence = p->sequence,
			.draining = p->draining };
		enum track_change c = TRACK_START;

		g_strlcpy(b.id, p->id, sizeof b.id);
		if (p->sequence == -2)
			track_health_check(&t, &b, i);
		else
			c = p->sequence < 0 ? track_leave(&t, p->id, i)
					    : track_heartbeat(&t, &b, i);
		ck_assert_msg(c == p->change && t.state == p->state,
		    "%s: step %d: change %d, state %d", cases[_i].name, i, c,
		    t.state);
	}
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
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
