#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "admit.h"
#include "rng.h"

/* Simulates a burst of more requests than a target has capacity for, and counts
 * those answered in time, answered late and refused. Admission that knows the
 * objective of a request is compared with admission that knows its deadline
 * only. */

#define MS INT64_C(1000)
#define SECOND (1000 * MS)
#define SLOTS 12
#define WORK_US (60 * MS)
#define OBJECTIVE_US (200 * MS)
#define DEADLINE_US (800 * MS)
#define BURST_S 4
#define REQUESTS_MAX 4096
#define LOAD_FACTOR 1.6 /* times the capacity of the target */

enum state { QUEUED, RUNNING, IN_TIME, LATE, REFUSED };

static struct {
	int64_t arrived[REQUESTS_MAX];
	int64_t ends[REQUESTS_MAX]; /* end of work, or time of refusal */
	struct admit_run run[REQUESTS_MAX];
	enum state state[REQUESTS_MAX];
	int n;
} requests;

struct totals {
	int in_time;
	int late;
	int refused;
	int64_t waited; /* by refused requests, us; not checked */
};

static void
start_work(int i, int64_t now, struct rng *r)
{
	requests.state[i] = RUNNING;
	requests.ends[i] = now + WORK_US / 2 + rng_below(r, WORK_US);
}

static void
note_refusal(int i, int64_t now)
{
	requests.state[i] = REFUSED;
	requests.ends[i] = now;
}

static void
pop_all(struct admit *a, int64_t now, struct rng *r)
{
	struct admit_item item;
	enum admit_pop p;

	while ((p = admit_pop(a, now, &item)) != ADMIT_POP_NONE) {
		if (p == ADMIT_POP_REFUSED) {
			note_refusal((int)item.tag, now);
			continue;
		}
		requests.run[item.tag] = item.run;
		start_work((int)item.tag, now, r);
	}
}

static void
end_work(struct admit *a, int64_t now, struct rng *r)
{
	int i;

	for (i = 0; i < requests.n; i++) {
		if (requests.state[i] != RUNNING || requests.ends[i] > now)
			continue;
		requests.state[i] =
		    now - requests.arrived[i] <= OBJECTIVE_US ? IN_TIME : LATE;
		admit_done(a, now, &requests.run[i], ADMIT_GOOD);
		pop_all(a, now, r);
	}
}

static void
send_request(struct admit *a, int64_t now, int use_objective, struct rng *r)
{
	struct admit_want w = { .deadline = now + DEADLINE_US,
		.start_by = now + (use_objective ? OBJECTIVE_US - WORK_US
						 : DEADLINE_US),
		.need_us = use_objective ? WORK_US : 0 };
	enum admit_reason why;
	uint32_t handle;
	int i = requests.n++;

	requests.arrived[i] = now;
	requests.state[i] = QUEUED;
	switch (admit_request_for(a, now, &w, (uint32_t)i, &requests.run[i],
	    &handle, &why)) {
	case ADMIT_RUN:
		start_work(i, now, r);
		break;
	case ADMIT_REFUSE:
		note_refusal(i, now);
		break;
	default:
		break;
	}
}

static struct totals
simulate(int use_objective, uint64_t seed)
{
	static const struct admit_config c = { .slots = SLOTS,
		.connections = 64,
		.cold_limit = SLOTS,
		.cold_good_us = SECOND,
		.queue_max = 32 };
	double per_us = LOAD_FACTOR * SLOTS / (double)WORK_US;
	struct admit *a = admit_new(&c, SECOND);
	struct totals s = { 0 };
	struct rng r;
	int64_t now;
	int i;

	rng_seed(&r, seed);
	requests.n = 0;
	for (now = SECOND; now < (1 + BURST_S + 2) * SECOND; now += MS) {
		end_work(a, now, &r);
		if (now < (1 + BURST_S) * SECOND &&
		    rng_unit(&r) < per_us * MS && requests.n < REQUESTS_MAX)
			send_request(a, now, use_objective, &r);
		if (admit_timer(a, now) <= now)
			pop_all(a, now, &r);
	}
	for (i = 0; i < requests.n; i++) {
		s.in_time += requests.state[i] == IN_TIME;
		s.late += requests.state[i] == LATE;
		s.refused += requests.state[i] == REFUSED;
		if (requests.state[i] == REFUSED)
			s.waited += requests.ends[i] - requests.arrived[i];
	}
	admit_free(a);
	return s;
}

START_TEST(burst_is_answered_in_time_up_to_capacity)
{
	struct totals by_deadline = simulate(0, (uint64_t)_i + 1);
	struct totals by_objective = simulate(1, (uint64_t)_i + 1);
	int capacity = (int)(BURST_S * SECOND / WORK_US * SLOTS);

	if (!_i)
		printf("capacity %d: in time, late, refused: %d %d %d; by "
		       "deadline alone: %d %d %d\n",
		    capacity, by_objective.in_time, by_objective.late,
		    by_objective.refused, by_deadline.in_time, by_deadline.late,
		    by_deadline.refused);
	ck_assert_int_ge(by_objective.in_time, capacity * 8 / 10);
	ck_assert_int_ge(by_objective.in_time, 2 * by_deadline.in_time);
	/* At least nine tenths as many requests are run in all. */
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
	tcase_add_loop_test(c, burst_is_answered_in_time_up_to_capacity, 0, 10);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
