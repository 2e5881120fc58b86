#include <check.h>
#include <math.h>
#include <stdlib.h>

#include "budget.h"
#include "rng.h"

#define SECOND 1000000
#define TRIES 200000
#define MEASURED_MAX TRIES

/** struct target - times of the measurements that reached the target, kept
 * independently of the budget's own counters */
struct target {
	int64_t at[MEASURED_MAX];
	int n;
};

static struct target target;

/** Checks that every window that begins and ends with a measurement, of up to
 * 200 of them, holds at most one more than the rate times its length. */
static void
check_windows(double per_s)
{
	int i;
	int j;

	for (i = 0; i < target.n; i++) {
		for (j = i + 1; j < target.n && j < i + 200; j++) {
			double s = (double)(target.at[j] - target.at[i]);

			if (j - i > per_s * s / SECOND + 1e-6)
				ck_abort_msg("%d measurements in %.0f us",
				    j - i + 1, s);
		}
	}
}

/** Simulates @probers that each ask the budget about every 20 ms, often several
 * at the same time; the daemon restarts once in @restart tries on the average,
 * never if it is 0. Return: simulated time, in s */
static double
simulate(double per_s, int probers, uint32_t restart, uint64_t seed)
{
	struct rng r;
	struct budget b;
	int64_t now = 5 * SECOND;
	int64_t begin = now;
	int i;

	rng_seed(&r, seed);
	budget_init(&b, per_s, now);
	target.n = 0;
	for (i = 0; i < TRIES; i++) {
		if (rng_below(&r, 4))
			now += rng_below(&r, (uint32_t)(40000 / probers) + 1);
		if (restart && !rng_below(&r, restart))
			budget_init(&b, per_s, now);
		if (!budget_take(&b, now))
			continue;
		ck_assert_int_lt(target.n, MEASURED_MAX);
		target.at[target.n++] = now;
	}
	return (double)(now - begin) / SECOND;
}

static const double rates[] = { 0.1, 1, 7, 33.3, 400 };

START_TEST(never_over_the_budget)
{
	static const int probers[] = { 1, 10, 100 };
	int i = _i % 3;
	double rate = rates[_i / 3];
	uint64_t seed;

	for (seed = 1; seed <= 3; seed++) {
		simulate(rate, probers[i], 0, seed);
		check_windows(rate);
		simulate(rate, probers[i], 50, seed);
		check_windows(rate);
	}
}
END_TEST

START_TEST(budget_can_be_used)
{
	double s = simulate(7, 100, 0, 1);

	ck_assert_double_ge(target.n, 0.98 * 7 * s - 1);
}
END_TEST

START_TEST(rate_zero_allows_none)
{
	static const double none[] = { 0, -1, 1e-300 };
	size_t i;

	for (i = 0; i < sizeof none / sizeof *none; i++) {
		simulate(none[i], 100, 50, i);
		ck_assert_int_eq(target.n, 0);
	}
	simulate(NAN, 100, 50, 1);
	ck_assert_int_eq(target.n, 0);
}
END_TEST

START_TEST(backward_clock_earns_nothing)
{
	struct budget b;

	budget_init(&b, 10, 0);
	ck_assert(!budget_take(&b, 99999));
	ck_assert(budget_take(&b, 100000));
	ck_assert(!budget_take(&b, 50000));
	ck_assert(!budget_take(&b, 150000));
	ck_assert_int_eq(budget_next_time(&b), 200000);
	budget_set_rate(&b, 0);
	ck_assert(!budget_take(&b, INT64_MAX - 1));
	budget_set_rate(&b, 1);
	ck_assert(!budget_take(&b, 1099999));
	ck_assert(budget_take(&b, 1100000));
	ck_assert_uint_eq(b.taken, 2);
	ck_assert_uint_eq(b.denied, 5);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("budget");
	TCase *c = tcase_create("budget");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(c, never_over_the_budget, 0, 15);
	tcase_add_test(c, budget_can_be_used);
	tcase_add_test(c, rate_zero_allows_none);
	tcase_add_test(c, backward_clock_earns_nothing);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
