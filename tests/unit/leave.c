#include <check.h>
#include <stdlib.h>

#include "leave.h"

#define MS INT64_C(1000)
#define NOW (INT64_C(1000) * 1000 * MS)

static int
fits_kind(const struct leave_plan *p, int64_t now, int64_t deadline,
    const struct answer_time *t)
{
	return leave_decide(p, now, deadline, t).basis != LEAVE_REFUSED;
}

static enum leave_basis
basis_of(const struct leave_plan *p, int64_t at_ms, int64_t deadline_ms,
    const struct answer_time *t)
{
	return leave_decide(p, NOW + at_ms * MS, NOW + deadline_ms * MS, t)
	    .basis;
}

struct plan_case {
	int64_t serve_ms;
	int64_t grace_ms;
	int64_t serve_until_ms;
	int64_t answer_by_ms;
	int64_t end_ms;
	int64_t exit_by_ms;
};

static const struct plan_case plans[] = {
	{ 2600, 6000, 2600, 5500, 5600, 5900 },
	{ 0, 6000, 0, 5500, 5600, 5900 },
	/* no time would be left to finish what is in flight */
	{ 5400, 6000, 5000, 5500, 5600, 5900 },
	{ 9000, 6000, 5000, 5500, 5600, 5900 },
	{ 2600, 1000, 0, 500, 600, 900 },
	{ 2600, 450, 0, 0, 50, 350 },
	{ 2600, 0, 0, 0, 0, 0 },
};

START_TEST(plan_leaves_time_to_finish)
{
	const struct plan_case *t = &plans[_i];
	struct leave_plan p;

	leave_plan_init(&p, NOW, NOW, t->serve_ms * MS, t->grace_ms * MS);
	ck_assert_int_eq(p.serve_until, NOW + t->serve_until_ms * MS);
	ck_assert_int_eq(p.answer_by, NOW + t->answer_by_ms * MS);
	ck_assert_int_eq(p.end, NOW + t->end_ms * MS);
	ck_assert_int_eq(p.exit_by, NOW + t->exit_by_ms * MS);
}
END_TEST

struct since_case {
	int64_t grace_ms;
	int64_t ran_ms; /* so long before the order is taken up */
	int64_t counted_ms;
	int64_t answer_in_ms; /* after it is taken up */
	int64_t exit_in_ms;
};

static const struct since_case held[] = {
	{ 6000, 0, 0, 5500, 5900 },
	{ 6000, 100, 100, 5400, 5800 },
	{ 6000, 2770, 2770, 2730, 3130 },
	{ 6000, 4000, 4000, 1500, 1900 },
	/* a third of the grace is left */
	{ 6000, 4001, 4000, 1500, 1900 },
	{ 6000, 60000, 4000, 1500, 1900 },
	{ 60000, 50000, 40000, 19500, 19900 },
};

START_TEST(grace_counts_from_when_the_order_may_have_come)
{
	const struct since_case *t = &held[_i];
	struct leave_plan p;
	int64_t since =
	    leave_since(NOW - t->ran_ms * MS, NOW, t->grace_ms * MS);

	ck_assert_int_eq(since, NOW - t->counted_ms * MS);
	leave_plan_init(&p, since, NOW, 2600 * MS, t->grace_ms * MS);
	ck_assert_int_eq(p.answer_by, NOW + t->answer_in_ms * MS);
	ck_assert_int_eq(p.exit_by, NOW + t->exit_in_ms * MS);
}
END_TEST

/* Callers and members are told only once the order is taken up. */
START_TEST(ports_stay_open_after_a_suspension)
{
	struct leave_plan p;

	leave_plan_init(&p, NOW - 1000 * MS, NOW, 2600 * MS, 6000 * MS);
	ck_assert_int_eq(leave_may_close(&p, NOW + 2599 * MS, 1), 0);
	ck_assert_int_eq(leave_may_close(&p, NOW + 2600 * MS, 1), 1);
	leave_plan_init(&p, NOW - 3000 * MS, NOW, 2600 * MS, 6000 * MS);
	ck_assert_int_eq(leave_may_close(&p, NOW + 1999 * MS, 1), 0);
	ck_assert_int_eq(leave_may_close(&p, NOW + 2000 * MS, 0), 1);
}
END_TEST

START_TEST(ports_stay_open_while_requests_run_at_the_target)
{
	struct leave_plan p;

	leave_plan_init(&p, NOW, NOW, 2600 * MS, 6000 * MS);
	ck_assert_int_eq(leave_may_close(&p, NOW + 2599 * MS, 1), 0);
	ck_assert_int_eq(leave_may_close(&p, NOW + 2600 * MS, 1), 1);
	ck_assert_int_eq(leave_may_close(&p, NOW + 2600 * MS, 0), 0);
	ck_assert_int_eq(leave_may_close(&p, NOW + 4999 * MS, 0), 0);
	ck_assert_int_eq(leave_may_close(&p, NOW + 5000 * MS, 0), 1);
}
END_TEST

struct fits_case {
	int64_t at_ms; /* after the order to stop */
	int64_t deadline_ms;
	int64_t usual_ms; /* 0: not known */
	int fits;
};

static const struct fits_case fits[] = {
	/* a known route */
	{ 0, 8500, 4500, 1 },
	{ 950, 9450, 4500, 1 },
	{ 951, 9451, 4500, 0 },
	{ 2600, 11100, 1000, 1 },
	{ 4450, 12950, 1000, 1 },
	{ 4451, 12951, 1000, 0 },
	/* the deadline lies before the end, whatever the route takes */
	{ 1200, 5500, 4500, 1 },
	{ 1200, 5501, 4500, 0 },
	/* a route without a record is judged by the deadline alone */
	{ 0, 5500, 0, 1 },
	{ 0, 5501, 0, 0 },
	/* after the end */
	{ 5500, 5600, 10, 0 },
	{ 5700, 9000, 0, 0 },
};

START_TEST(request_that_cannot_be_finished_does_not_fit)
{
	const struct fits_case *t = &fits[_i];
	struct leave_plan p;

	leave_plan_init(&p, NOW, NOW, 2600 * MS, 6000 * MS);
	ck_assert_int_eq(leave_fits(&p, NOW + t->at_ms * MS,
			     NOW + t->deadline_ms * MS, t->usual_ms * MS),
	    t->fits);
}
END_TEST

START_TEST(everything_fits_before_the_order)
{
	struct leave_plan p = { 0 };

	ck_assert_int_eq(leave_fits(&p, NOW, NOW + 600000 * MS, 0), 1);
}
END_TEST

START_TEST(time_is_unknown_after_few_answers)
{
	struct answer_time t = { 0 };
	int i;

	for (i = 0; i < 4; i++) {
		answer_time_note(&t, 200 * MS);
		ck_assert_int_eq(answer_time_most(&t), 0);
	}
	answer_time_note(&t, 200 * MS);
	ck_assert_int_gt(answer_time_most(&t), 200 * MS);
}
END_TEST

START_TEST(steady_time_has_little_spread)
{
	struct answer_time t = { 0 };
	int i;

	for (i = 0; i < 30; i++)
		answer_time_note(&t, 4500 * MS);
	ck_assert_int_ge(answer_time_most(&t), 4500 * MS);
	ck_assert_int_le(answer_time_most(&t), 4510 * MS);
}
END_TEST

/* Answers after 1 s and after 4.5 s in turn: the longer ones are within it. */
START_TEST(spread_is_included)
{
	struct answer_time t = { 0 };
	int i;

	for (i = 0; i < 100; i++)
		answer_time_note(&t, (i % 2 ? 4500 : 1000) * MS);
	ck_assert_int_ge(answer_time_most(&t), 4500 * MS);
}
END_TEST

/* One answer in a hundred takes long. */
START_TEST(rare_long_answers_are_included)
{
	struct answer_time t = { 0 };
	int i;

	for (i = 0; i < 1000; i++)
		answer_time_note(&t, (i % 100 ? 300 : 4500) * MS);
	ck_assert_int_ge(answer_time_most(&t), 4500 * MS);
}
END_TEST

/* A few answers show only a part of the spread. */
START_TEST(spread_of_few_answers_is_enlarged)
{
	struct answer_time t = { 0 };
	int i;

	for (i = 0; i < 10; i++)
		answer_time_note(&t, (i % 5 ? 300 : 1500) * MS);
	ck_assert_int_ge(answer_time_most(&t), 3000 * MS);
}
END_TEST

/* Of answers that take up to 4.5 s, 100 showed none above 2.4 s. */
START_TEST(answers_longer_than_any_that_was_seen_are_included)
{
	struct answer_time t = { 0 };
	int i;

	for (i = 0; i < 100; i++)
		answer_time_note(&t, (i % 10 ? 300 : 2400) * MS);
	ck_assert_int_ge(answer_time_most(&t), 4500 * MS);
}
END_TEST

START_TEST(request_without_an_answer_yet_is_included)
{
	struct answer_time t = { 0 };
	int i;

	for (i = 0; i < 100; i++)
		answer_time_note(&t, 300 * MS);
	answer_time_note_open(&t, 2400 * MS);
	answer_time_note_open(&t, 1200 * MS);
	ck_assert_int_ge(answer_time_most(&t), 4500 * MS);
}
END_TEST

START_TEST(long_answer_is_forgotten_after_many_short_ones)
{
	struct answer_time t = { 0 };
	int i;

	answer_time_note(&t, 4500 * MS);
	for (i = 0; i < 2 * ANSWER_TIME_WINDOW; i++)
		answer_time_note(&t, 300 * MS);
	ck_assert_int_lt(answer_time_most(&t), 320 * MS);
}
END_TEST

START_TEST(longer_work_is_noticed_after_few_answers)
{
	struct answer_time t = { 0 };
	int i;

	for (i = 0; i < 1000; i++)
		answer_time_note(&t, 200 * MS);
	for (i = 0; i < 3; i++)
		answer_time_note(&t, 4500 * MS);
	ck_assert_int_ge(answer_time_most(&t), 4500 * MS);
}
END_TEST

/* scripts/planned 23: the answers of a route since its daemon was started, and
 * the request after them, 3.2 s after SIGTERM, which took 3.4 s. */
START_TEST(few_answers_that_differ_do_not_admit_late_requests)
{
	static const int ms[] = { 147, 100, 202, 276, 223, 94, 202, 123, 151,
		90, 110, 137, 181 };
	struct answer_time t = { 0 };
	struct leave_plan p;
	size_t i;

	for (i = 0; i < sizeof ms / sizeof *ms; i++)
		answer_time_note(&t, ms[i] * MS);
	leave_plan_init(&p, NOW, NOW, 2600 * MS, 6000 * MS);
	ck_assert(fits_kind(&p, NOW + 2599 * MS, NOW + 9810 * MS, &t));
	ck_assert(!fits_kind(&p, NOW + 3190 * MS, NOW + 9810 * MS, &t));
	ck_assert(fits_kind(&p, NOW + 3190 * MS, NOW + 5500 * MS, &t));
}
END_TEST

static void
expect_no_late_request(const struct leave_plan *p, const struct answer_time *t)
{
	int at_ms;

	ck_assert_int_eq(basis_of(p, 2599, 9810, t), LEAVE_BY_USUAL);
	for (at_ms = 2600; at_ms < 5500; at_ms += 100) {
		ck_assert_int_eq(basis_of(p, at_ms, 9810, t), LEAVE_REFUSED);
		ck_assert_int_eq(basis_of(p, at_ms, 5501, t), LEAVE_REFUSED);
		ck_assert_int_eq(basis_of(p, at_ms, 5500, t), LEAVE_BY_BOUND);
	}
}

/* scripts/rig 20: of requests that came once callers should have gone, those
 * were taken whose route had many answers, or answers alike. */
START_TEST(usual_time_admits_no_late_request)
{
	struct answer_time few = { 0 }, many = { 0 };
	struct leave_plan p;
	int i;

	for (i = 0; i < 15; i++)
		answer_time_note(&few, (200 + i % 3) * MS);
	for (i = 0; i < 200; i++)
		answer_time_note(&many, (100 + i % 5 * 50) * MS);
	leave_plan_init(&p, NOW, NOW, 2600 * MS, 6000 * MS);
	expect_no_late_request(&p, &few);
	expect_no_late_request(&p, &many);
	ck_assert_int_eq(basis_of(&p, 4500, 9810, NULL), LEAVE_REFUSED);
}
END_TEST

/* The order came 3 s before it is taken up. */
START_TEST(usual_time_admits_nothing_after_a_long_suspension)
{
	struct answer_time t = { 0 };
	struct leave_plan p;
	int i;

	for (i = 0; i < 200; i++)
		answer_time_note(&t, 200 * MS);
	leave_plan_init(&p, NOW - 3000 * MS, NOW, 2600 * MS, 6000 * MS);
	ck_assert_int_eq(basis_of(&p, 0, 9810, &t), LEAVE_REFUSED);
	ck_assert_int_eq(basis_of(&p, 0, 2500, &t), LEAVE_BY_BOUND);
}
END_TEST

struct basis_case {
	int64_t at_ms; /* after the order to stop */
	int64_t deadline_ms;
	enum leave_basis basis;
	int64_t left_ms;
};

static const struct basis_case bases[] = {
	{ 1000, 5500, LEAVE_BY_BOUND, 4500 },
	{ 1000, 8500, LEAVE_BY_USUAL, 4500 },
	{ 5400, 8500, LEAVE_REFUSED, 100 },
};

START_TEST(decision_tells_what_it_rests_on)
{
	const struct basis_case *c = &bases[_i];
	struct answer_time t = { 0 };
	struct leave_plan p;
	struct leave_decision d;
	int i;

	for (i = 0; i < 200; i++)
		answer_time_note(&t, 200 * MS);
	leave_plan_init(&p, NOW, NOW, 2600 * MS, 6000 * MS);
	d = leave_decide(&p, NOW + c->at_ms * MS, NOW + c->deadline_ms * MS,
	    &t);
	ck_assert_int_eq(d.basis, c->basis);
	ck_assert_int_eq(d.left_us, c->left_ms * MS);
}
END_TEST

START_TEST(decision_before_the_order_rests_on_no_stop)
{
	struct leave_plan p = { 0 };
	struct leave_decision d = leave_decide(&p, NOW, NOW + MS, NULL);

	ck_assert_int_eq(d.basis, LEAVE_NOT_STOPPING);
	ck_assert_int_eq(d.left_us, 0);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("leave");
	TCase *t = tcase_create("leave");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, plan_leaves_time_to_finish, 0,
	    sizeof plans / sizeof *plans);
	tcase_add_loop_test(t, grace_counts_from_when_the_order_may_have_come,
	    0, sizeof held / sizeof *held);
	tcase_add_test(t, ports_stay_open_after_a_suspension);
	tcase_add_loop_test(t, request_that_cannot_be_finished_does_not_fit, 0,
	    sizeof fits / sizeof *fits);
	tcase_add_test(t, ports_stay_open_while_requests_run_at_the_target);
	tcase_add_test(t, everything_fits_before_the_order);
	tcase_add_test(t, time_is_unknown_after_few_answers);
	tcase_add_test(t, steady_time_has_little_spread);
	tcase_add_test(t, spread_is_included);
	tcase_add_test(t, rare_long_answers_are_included);
	tcase_add_test(t, spread_of_few_answers_is_enlarged);
	tcase_add_test(t, answers_longer_than_any_that_was_seen_are_included);
	tcase_add_test(t, request_without_an_answer_yet_is_included);
	tcase_add_test(t, long_answer_is_forgotten_after_many_short_ones);
	tcase_add_test(t, longer_work_is_noticed_after_few_answers);
	tcase_add_test(t, few_answers_that_differ_do_not_admit_late_requests);
	tcase_add_test(t, usual_time_admits_no_late_request);
	tcase_add_test(t, usual_time_admits_nothing_after_a_long_suspension);
	tcase_add_loop_test(t, decision_tells_what_it_rests_on, 0,
	    sizeof bases / sizeof *bases);
	tcase_add_test(t, decision_before_the_order_rests_on_no_stop);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
