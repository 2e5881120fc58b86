#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "admit.h"
#include "rng.h"

/* Plays a burst of more requests than a target bears and looks at what their
 * callers get: how many are answered in time, how long the refused ones waited.
 */

#define MS INT64_C(1000)
#define SECOND (1000 * MS)
#define SLOTS 12
#define WORK_US (60 * MS)
#define OBJECTIVE_US (200 * MS)
#define DEADLINE_US (800 * MS)
#define BURST_S 4
#define CALLS_MAX 4096
#define LOAD 1.6 /* times what the target bears */

enum fate { WAITS, RUNS, IN_TIME, LATE, REFUSED };

static struct {
	int64_t came[CALLS_MAX];
	int64_t ends[CALLS_MAX]; /* of work, or of the wait of a refused one */
	struct admit_run run[CALLS_MAX];
	enum fate fate[CALLS_MAX];
	int n;
} play;

struct sums {
	int in_time;
	int late;
	int refused;
	int64_t waited; /* by the refused, microseconds */
};

static void
begin(int i, int64_t now, struct rng *r)
{
	play.fate[i] = RUNS;
	play.ends[i] = now + WORK_US / 2 + rng_below(r, WORK_US);
}

static void
refuse(int i, int64_t now)
{
	play.fate[i] = REFUSED;
	play.ends[i] = now;
}

static void
pop_all(struct admit *a, int64_t now, struct rng *r)
{
	struct admit_item item;
	enum admit_pop p;

	while ((p = admit_pop(a, now, &item)) != ADMIT_POP_NONE) {
		if (p == ADMIT_POP_EXPIRED) {
			refuse((int)item.tag, now);
			continue;
		}
		play.run[item.tag] = item.run;
		begin((int)item.tag, now, r);
	}
}

static void
end_work(struct admit *a, int64_t now, struct rng *r)
{
	int i;

	for (i = 0; i < play.n; i++) {
		if (play.fate[i] != RUNS || play.ends[i] > now)
			continue;
		play.fate[i] =
		    now - play.came[i] <= OBJECTIVE_US ? IN_TIME : LATE;
		admit_done(a, now, &play.run[i], ADMIT_GOOD);
		pop_all(a, now, r);
	}
}

static void
arrive(struct admit *a, int64_t now, int ordered, struct rng *r)
{
	struct admit_want w = { .deadline = now + DEADLINE_US,
		.start_by =
		    now + (ordered ? OBJECTIVE_US - WORK_US : DEADLINE_US),
		.need_us = ordered ? WORK_US : 0 };
	enum admit_reason why;
	uint32_t handle;
	int i = play.n++;

	play.came[i] = now;
	play.fate[i] = WAITS;
	switch (admit_request_for(a, now, &w, (uint32_t)i, &play.run[i],
	    &handle, &why)) {
	case ADMIT_RUN:
		begin(i, now, r);
		break;
	case ADMIT_REFUSE:
		refuse(i, now);
		break;
	default:
		break;
	}
}

static struct sums
run(int ordered, uint64_t seed)
{
	static const struct admit_config c = { .slots = SLOTS,
		.connections = 64,
		.cold_limit = SLOTS,
		.cold_good_us = SECOND,
		.queue_max = 32 };
	double per_us = LOAD * SLOTS / (double)WORK_US;
	struct admit *a = admit_new(&c, SECOND);
	struct sums s = { 0 };
	struct rng r;
	int64_t now;
	int i;

	rng_seed(&r, seed);
	play.n = 0;
	for (now = SECOND; now < (1 + BURST_S + 2) * SECOND; now += MS) {
		end_work(a, now, &r);
		if (now < (1 + BURST_S) * SECOND &&
		    rng_unit(&r) < per_us * MS && play.n < CALLS_MAX)
			arrive(a, now, ordered, &r);
		if (admit_timer(a, now) <= now)
			pop_all(a, now, &r);
	}
	for (i = 0; i < play.n; i++) {
		s.in_time += play.fate[i] == IN_TIME;
		s.late += play.fate[i] == LATE;
		s.refused += play.fate[i] == REFUSED;
		if (play.fate[i] == REFUSED)
			s.waited += play.ends[i] - play.came[i];
	}
	admit_free(a);
	return s;
}

START_TEST(burst_is_answered_in_time_as_far_as_the_target_bears)
{
	struct sums by_deadline = run(0, (uint64_t)_i + 1);
	struct sums by_objective = run(1, (uint64_t)_i + 1);
	int bears = (int)(BURST_S * SECOND / WORK_US * SLOTS);

	if (!_i)
		printf("in time, late, refused of %d: %d %d %d; by deadline "
		       "alone: %d %d %d\n",
		    bears, by_objective.in_time, by_objective.late,
		    by_objective.refused, by_deadline.in_time, by_deadline.late,
		    by_deadline.refused);
	ck_assert_int_ge(by_objective.in_time, bears * 8 / 10);
	ck_assert_int_ge(by_objective.in_time, 2 * by_deadline.in_time);
	/* What runs is no less in all. */
	ck_assert_int_ge(by_objective.in_time + by_objective.late,
	    (by_deadline.in_time + by_deadline.late) * 9 / 10);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("burst");
	TCase *c = tcase_create("burst");
	SRunner *r;
	int failed;

	tcase_set_timeout(c, 60);
	tcase_add_loop_test(c,
	    burst_is_answered_in_time_as_far_as_the_target_bears, 0, 10);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
