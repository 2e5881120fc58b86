#include <check.h>
#include <stdlib.h>

#include "rng.h"
#include "work.h"

#define SLOTS 18
#define MEAN_US 160000.0
#define CALLS_SHARE 0.25 /* part of a request's time that its calls take */

/* Time of a request, in microseconds, that began with @beside others in flight.
 * Its calls take longer at high load; the work of the target takes
 * @knee_factor times as long above the knee, 1 if the target has none. */
static double
request_us(struct rng *r, int beside, double knee_factor)
{
	double own = MEAN_US * (0.7 + 0.6 * rng_unit(r));
	double calls = MEAN_US * CALLS_SHARE * (1 + (double)beside / SLOTS);

	if (beside + 1 > WORK_KNEE_SHARE * SLOTS)
		own *= knee_factor;
	return own * (1 - CALLS_SHARE) + calls;
}

/* Return: number of requests until the knee is found, 0 if it is not */
static int
requests_until_knee(struct knee *k, double knee_factor, uint64_t seed)
{
	struct work w = { 0 };
	struct rng r;
	int i;

	rng_seed(&r, seed);
	for (i = 1; i <= 4000; i++) {
		int beside = (int)rng_below(&r, SLOTS);
		int pace = rng_below(&r, 4) ? 100 : 500;
		double us = request_us(&r, beside, knee_factor) * pace / 100;

		if (knee_note_time(k, &w, us, pace, beside + 1, SLOTS))
			return i;
		work_note_time(&w, us, pace);
	}
	return 0;
}

START_TEST(knee_is_found_where_there_is_one)
{
	struct knee k = { 0 };
	int n = requests_until_knee(&k, 1.9, (uint64_t)_i + 1);

	ck_assert_int_gt(n, 0);
	ck_assert_int_lt(n, 1500);
	ck_assert_int_eq(knee_limit(&k, SLOTS), 14);
}
END_TEST

START_TEST(no_knee_is_found_where_there_is_none)
{
	struct knee k = { 0 };

	ck_assert_int_eq(requests_until_knee(&k, 1, (uint64_t)_i + 1), 0);
	ck_assert_int_eq(knee_limit(&k, SLOTS), SLOTS);
}
END_TEST

START_TEST(time_is_scaled_to_usual_pace)
{
	struct work w = { 0 };
	int i;

	ck_assert_int_eq(work_us(&w, 7), 7);
	ck_assert_int_eq(work_us(NULL, 7), 7);
	for (i = 0; i < 50; i++)
		work_note_time(&w, i % 2 ? 100000 : 500000, i % 2 ? 100 : 500);
	ck_assert_int_ge(work_us(&w, 0), 99000);
	ck_assert_int_le(work_us(&w, 0), 101000);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("work");
	TCase *c = tcase_create("work");
	SRunner *r;
	int failed;

	tcase_add_loop_test(c, knee_is_found_where_there_is_one, 0, 20);
	tcase_add_loop_test(c, no_knee_is_found_where_there_is_none, 0, 20);
	tcase_add_test(c, time_is_scaled_to_usual_pace);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
