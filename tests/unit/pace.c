#include <check.h>
#include <stdlib.h>

#include "pace.h"
#include "rng.h"

#define MS 1000
#define PERIOD_US (150 * MS) /* time for which a machine keeps its pace */
#define SLOW_SHARE 0.25
#define SLOW_PACE 500
#define WORK_US (160 * MS)
#define REQUESTS 4000

START_TEST(verdict_depends_on_age_of_reading)
{
	struct pace p = { 0 };
	int64_t t = 1000 * MS;

	ck_assert_int_eq(pace_judge(&p, t, 1), PACE_GO); /* no reading yet */
	pace_note_reading(&p, t, PACE_USUAL, 0);
	ck_assert_int_eq(pace_judge(&p, t + PACE_FRESH_US, 1), PACE_GO);
	ck_assert_int_eq(pace_judge(&p, t + PACE_FRESH_US + 1, 1),
	    PACE_MEASURE);
	ck_assert_int_eq(pace_judge(&p, t + PACE_FRESH_US + 1, 0), PACE_GO);
	pace_await_reading(&p, t + 20 * MS);
	ck_assert_int_eq(pace_judge(&p, t + 25 * MS, 1), PACE_WAIT);
	ck_assert_int_eq(pace_next_check(&p, t + 25 * MS), t + 30 * MS);
	/* No reading came: work is not delayed any longer. */
	ck_assert_int_eq(pace_judge(&p, t + 31 * MS, 1), PACE_GO);
	pace_note_reading(&p, t + 40 * MS, SLOW_PACE, 0);
	ck_assert_int_eq(pace_judge(&p, t + 41 * MS, 1), PACE_HOLD);
	ck_assert_int_eq(pace_judge(&p, t + 60 * MS, 0), PACE_HOLD);
	ck_assert_int_eq(pace_judge(&p, t + 60 * MS, 1), PACE_MEASURE);
	ck_assert_int_eq(pace_slow(&p, t + 81 * MS), 0);
}
END_TEST

/* A machine that stays slow is given work after PACE_REBASE_US: it is slow for
 * longer than slow periods last, so waiting for the end of one is no use. */
START_TEST(machine_slow_for_long_gets_work)
{
	struct pace p = { 0 };
	int64_t t, from = 1000 * MS;

	for (t = from; t < from + PACE_REBASE_US; t += 10 * MS) {
		pace_note_reading(&p, t, SLOW_PACE, 0);
		ck_assert_int_eq(pace_judge(&p, t + MS, 1), PACE_HOLD);
		ck_assert_int_eq(pace_base(&p), PACE_USUAL);
	}
	pace_note_reading(&p, t, SLOW_PACE, 0);
	ck_assert_int_eq(pace_judge(&p, t + MS, 1), PACE_GO);
	ck_assert_int_eq(pace_base(&p), SLOW_PACE);
	/* A usual reading ends the slow time, so does a gap in readings. */
	pace_note_reading(&p, t + 10 * MS, PACE_USUAL, 0);
	pace_note_reading(&p, t + 20 * MS, SLOW_PACE, 0);
	ck_assert_int_eq(pace_judge(&p, t + 21 * MS, 1), PACE_HOLD);
	t += 20 * MS + PACE_REBASE_US;
	pace_note_reading(&p, t, SLOW_PACE, 0);
	ck_assert_int_eq(pace_judge(&p, t + MS, 1), PACE_HOLD);
}
END_TEST

/* Work that was measured before doesn't become shorter as slow readings become
 * the base, or old. */
START_TEST(machine_slow_for_long_is_above_its_base_of_before)
{
	struct pace p = { 0 };
	int64_t t, from = 1000 * MS;
	int base = pace_base(&p);

	ck_assert_int_eq(pace_above(&p, base), 0);
	pace_note_reading(&p, from, PACE_SLOW, 0);
	ck_assert_int_eq(pace_above(&p, base), 0);
	for (t = from; t <= from + PACE_REBASE_US; t += 10 * MS) {
		pace_note_reading(&p, t, SLOW_PACE, 0);
		ck_assert_int_eq(pace_above(&p, base), 1);
	}
	ck_assert_int_eq(pace_base(&p), SLOW_PACE);
	ck_assert_int_eq(pace_slow(&p, t), 0);
	ck_assert_int_eq(pace_above(&p, base), 1);
	ck_assert_int_eq(pace_above(&p, SLOW_PACE), 0);
	pace_note_reading(&p, t, PACE_USUAL, 0);
	ck_assert_int_eq(pace_above(&p, base), 0);
}
END_TEST

/* A target that has just started takes twice as long all the time, and five
 * times that in slow periods: it is given work between these. */
START_TEST(cold_target_works_between_slow_periods)
{
	struct pace p = { 0 };
	int64_t t = 1000 * MS;
	int i;

	for (i = 0; i <= PACE_REBASE_COLD_US / (10 * MS); i++, t += 10 * MS)
		pace_note_reading(&p, t, 2 * PACE_USUAL, 1);
	ck_assert_int_eq(pace_judge(&p, t - 9 * MS, 1), PACE_GO);
	ck_assert_int_eq(pace_base(&p), 2 * PACE_USUAL);
	ck_assert_int_eq(pace_over_base(&p), PACE_USUAL);
	for (i = 0; i < 10; i++, t += 10 * MS) {
		pace_note_reading(&p, t, 2 * SLOW_PACE, 1);
		ck_assert_int_eq(pace_judge(&p, t + MS, 1), PACE_HOLD);
	}
	pace_note_reading(&p, t, 2 * PACE_USUAL, 1);
	ck_assert_int_eq(pace_judge(&p, t + MS, 1), PACE_GO);
	/* Warm again: the pace that was the base while cold is slow now. */
	pace_note_reading(&p, t + 10 * MS, PACE_USUAL, 0);
	ck_assert_int_eq(pace_base(&p), PACE_USUAL);
	pace_note_reading(&p, t + 20 * MS, 2 * PACE_USUAL, 0);
	ck_assert_int_eq(pace_judge(&p, t + 21 * MS, 1), PACE_HOLD);
}
END_TEST

/* Pace of a machine at @now, drawn anew for each period of PERIOD_US. */
static int
pace_at(uint64_t seed, int64_t now)
{
	struct rng r;

	rng_seed(&r, seed ^ (uint64_t)(now / PERIOD_US) * 0x9e3779b97f4a7c15u);
	rng_next(&r);
	return rng_unit(&r) < SLOW_SHARE ? SLOW_PACE : PACE_USUAL;
}

/* Latency of a request that arrives at @now and is started when pace_judge()
 * allows it, or at once if @judge is 0; a reading takes a millisecond. */
static int64_t
latency(struct pace *p, uint64_t seed, int64_t now, int judge)
{
	int64_t start = now;

	while (judge) {
		enum pace_verdict v = pace_judge(p, start, 1);

		if (v == PACE_GO)
			break;
		if (v == PACE_MEASURE) {
			start += MS;
			pace_note_reading(p, start, pace_at(seed, start), 0);
		} else {
			start = pace_next_check(p, start);
		}
	}
	return start - now + WORK_US / PACE_USUAL * pace_at(seed, start);
}

static int
compare(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

/* The machine is slow for a quarter of the time: without pace_judge() the 95th
 * percentile of the latency is four times the work at least, with it the work
 * and two periods at most, and the median is 2 ms above the work at most. */
START_TEST(work_waits_for_end_of_slow_period)
{
	static int64_t with[REQUESTS], without[REQUESTS];
	struct pace p = { .value = PACE_USUAL };
	struct rng r;
	int64_t now = 0;
	int i;

	rng_seed(&r, 7);
	for (i = 0; i < REQUESTS; i++) {
		now += 3 * PERIOD_US + rng_below(&r, PERIOD_US);
		with[i] = latency(&p, 99, now, 1);
		without[i] = latency(&p, 99, now, 0);
	}
	qsort(with, REQUESTS, sizeof *with, compare);
	qsort(without, REQUESTS, sizeof *without, compare);
	ck_assert_int_ge(without[REQUESTS * 95 / 100], 4 * WORK_US);
	ck_assert_int_le(with[REQUESTS * 95 / 100], WORK_US + 2 * PERIOD_US);
	ck_assert_int_le(with[REQUESTS / 2], WORK_US + 2 * MS);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("pace");
	TCase *c = tcase_create("pace");
	SRunner *r;
	int failed;

	tcase_add_test(c, verdict_depends_on_age_of_reading);
	tcase_add_test(c, machine_slow_for_long_gets_work);
	tcase_add_test(c, machine_slow_for_long_is_above_its_base_of_before);
	tcase_add_test(c, cold_target_works_between_slow_periods);
	tcase_add_test(c, work_waits_for_end_of_slow_period);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
