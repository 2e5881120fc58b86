#include <check.h>
#include <stdlib.h>

#include "admit.h"

#define MS 1000
#define SECOND 1000000
#define COLD_LIMIT 3

static const struct admit_config config = { 12, 260, COLD_LIMIT, 0, 20 * MS,
	500 * MS, 32, 0, 0, 0 };

START_TEST(queue_order_and_refusal_reasons)
{
	struct admit_config c = { 1, 9, 1, 0, 20 * MS, 0, 2, 0, 0, 0 };
	struct admit *a = admit_new(&c, 0);
	struct admit_run run;
	struct admit_item item;
	enum admit_reason why;
	uint32_t late;
	uint32_t soon;
	uint32_t h;

	ck_assert(admit_request(a, 0, 0, 1, &run, &h, &why) == ADMIT_REFUSE);
	ck_assert_int_eq(why, ADMIT_DEADLINE);
	ck_assert(admit_request(a, 0, 99, 1, &run, &h, &why) == ADMIT_RUN);
	ck_assert(admit_request(a, 1, 900, 2, &run, &late, &why) == ADMIT_WAIT);
	ck_assert(admit_request(a, 1, 200, 3, &run, &soon, &why) == ADMIT_WAIT);
	ck_assert(admit_request(a, 1, 99, 4, &run, &h, &why) == ADMIT_REFUSE);
	ck_assert_int_eq(why, ADMIT_COLD);
	admit_done(a, 10, &run, ADMIT_GOOD);
	ck_assert(admit_pop(a, 10, &item) == ADMIT_POP_RUN);
	ck_assert_uint_eq(item.tag, 3);
	ck_assert_uint_eq(item.handle, soon);
	ck_assert(!admit_cancel(a, soon));
	ck_assert(admit_cancel(a, late));
	ck_assert(admit_request(a, 11, 900, 5, &run, &h, &why) == ADMIT_WAIT);
	ck_assert(admit_pop(a, 900, &item) == ADMIT_POP_REFUSED);
	ck_assert_uint_eq(item.tag, 5);
	ck_assert_int_eq(item.reason, ADMIT_DEADLINE);
	ck_assert(admit_request(a, 901, 2000, 6, &run, &h, &why) == ADMIT_WAIT);
	admit_drain(a);
	ck_assert(admit_pop(a, 901, &item) == ADMIT_POP_REFUSED);
	ck_assert_int_eq(item.reason, ADMIT_DRAINING);
	ck_assert(admit_request(a, 9, 99, 7, &run, &h, &why) == ADMIT_REFUSE);
	ck_assert_int_eq(why, ADMIT_DRAINING);
	ck_assert_int_eq(admit_in_flight(a), 1);
	admit_done(a, 950, &item.run, ADMIT_CANCELLED);
	ck_assert_int_eq(admit_in_flight(a), 0);
	admit_free(a);
}
END_TEST

/* Fills the queue of a target without answers so far, while starts are held.
 * Return: the reason of the first refusal. */
static enum admit_reason
first_refusal(const struct admit_config *c, int64_t cold_until)
{
	struct admit *a = admit_new(c, 0);
	enum admit_reason why;
	struct admit_run run;
	uint32_t h;
	int i;

	admit_set_cold(a, 0, cold_until);
	admit_set_hold(a, SECOND);
	for (i = 0; i < c->queue_max; i++)
		ck_assert(admit_request(a, i, SECOND, i, &run, &h, &why) ==
			  ADMIT_WAIT);
	ck_assert(
	    admit_request(a, i, SECOND, i, &run, &h, &why) == ADMIT_REFUSE);
	admit_free(a);
	return why;
}

START_TEST(burst_at_new_target_is_not_refused_as_cold)
{
	struct admit_config c = { 200, 260, 100000, 0, 20 * MS, 0, 32, 0, 19,
		2 };

	ck_assert_int_eq(first_refusal(&c, 0), ADMIT_FULL);
	ck_assert_int_eq(first_refusal(&c, SECOND), ADMIT_COLD);
	c.cold_limit = COLD_LIMIT;
	ck_assert_int_eq(first_refusal(&c, 0), ADMIT_COLD);
}
END_TEST

#define LONG_REQUESTS 10
#define ANSWER_BY (300 * MS)

/* Sends long requests, a millisecond after each other, to a target that has not
 * answered yet. Return: how many are refused at once. */
static int
send_long_requests(struct admit *a, int64_t from)
{
	enum admit_reason why;
	struct admit_run run;
	int i, refused = 0;
	uint32_t h;

	for (i = 0; i < LONG_REQUESTS; i++) {
		int64_t now = from + i * MS;
		struct admit_want w = { .deadline = now + 15 * SECOND,
			.start_by = now + 4 * SECOND,
			.need_us = 2 * SECOND };

		refused += admit_request_for(a, now, &w, (uint32_t)i, &run, &h,
			       &why) == ADMIT_REFUSE;
	}
	return refused;
}

START_TEST(long_requests_wait_for_first_answer)
{
	struct admit_config c = { 200, 260, 100000, 0, 20 * MS, 0, 32, 0, 0,
		0 };
	struct admit *a = admit_new(&c, 0);
	struct admit_item item;
	int i;

	admit_await_answer(a, ANSWER_BY);
	ck_assert_int_eq(send_long_requests(a, 0), 0);
	ck_assert_int_eq(admit_in_flight(a), 1);
	ck_assert_int_eq(admit_pop(a, ANSWER_BY - 1, &item), ADMIT_POP_NONE);
	admit_note_answered(a);
	for (i = 1; i < LONG_REQUESTS; i++)
		ck_assert_int_eq(admit_pop(a, ANSWER_BY - 1, &item),
		    ADMIT_POP_RUN);
	admit_free(a);
}
END_TEST

START_TEST(target_whose_first_answer_is_late_gets_one_request)
{
	struct admit_config c = { 200, 260, 100000, 0, 20 * MS, 0, 32, 0, 0,
		0 };
	struct admit *a = admit_new(&c, 0);
	struct admit_item item;
	int i;

	admit_await_answer(a, ANSWER_BY);
	ck_assert_int_eq(send_long_requests(a, ANSWER_BY), 0);
	ck_assert_int_eq(admit_in_flight(a), 1);
	ck_assert_int_eq(admit_pop(a, ANSWER_BY + SECOND, &item),
	    ADMIT_POP_NONE);
	ck_assert_int_eq(admit_in_flight(a), 1);
	admit_note_answered(a);
	for (i = 1; i < LONG_REQUESTS; i++)
		ck_assert_int_eq(admit_pop(a, ANSWER_BY + SECOND, &item),
		    ADMIT_POP_RUN);
	admit_free(a);
}
END_TEST

START_TEST(requests_do_not_wait_for_target_that_stays_silent)
{
	struct admit_config c = { 200, 260, 100000, 0, 20 * MS, 0, 32, 0, 0,
		0 };
	struct admit *a = admit_new(&c, 0);
	struct admit_item item;
	int i;

	admit_await_answer(a, ANSWER_BY);
	send_long_requests(a, ANSWER_BY);
	for (i = 1; i < LONG_REQUESTS; i++)
		ck_assert_int_eq(admit_pop(a, ANSWER_BY + 7 * SECOND, &item),
		    ADMIT_POP_REFUSED);
	ck_assert_int_eq(send_long_requests(a, ANSWER_BY + 14 * SECOND),
	    LONG_REQUESTS);
	ck_assert_int_eq(admit_in_flight(a), 1);
	admit_free(a);
}
END_TEST

START_TEST(limit_rises_only_after_cold_calls)
{
	struct admit_config c = { 12, 260, 2, 10, 20 * MS, 0, 8, 0, 0, 0 };
	struct admit *a = admit_new(&c, 0);
	enum admit_reason why;
	struct admit_run run[2];
	uint32_t h;
	int i;

	for (i = 0; i < 10; i += 2) {
		ck_assert_int_eq(admit_limit(a, i * MS), 2);
		admit_request(a, i * MS, SECOND, 1, &run[0], &h, &why);
		admit_request(a, i * MS, SECOND, 2, &run[1], &h, &why);
		admit_done(a, (i + 1) * MS, &run[0], ADMIT_GOOD);
		admit_done(a, (i + 1) * MS, &run[1], ADMIT_GOOD);
	}
	ck_assert_int_eq(admit_limit(a, i * MS), 2);
	for (i = 10; i < 20; i += 2) {
		admit_request(a, i * MS, SECOND, 1, &run[0], &h, &why);
		admit_request(a, i * MS, SECOND, 2, &run[1], &h, &why);
		admit_done(a, (i + 1) * MS, &run[0], ADMIT_GOOD);
		admit_done(a, (i + 1) * MS, &run[1], ADMIT_GOOD);
	}
	ck_assert_int_gt(admit_limit(a, i * MS), 2);
	admit_restarted(a, i * MS);
	ck_assert_int_eq(admit_limit(a, i * MS), 2);
	admit_free(a);
}
END_TEST

START_TEST(requests_from_before_restart_do_not_warm)
{
	struct admit *a = admit_new(&config, 0);
	struct admit_run run[COLD_LIMIT];
	enum admit_reason why;
	uint32_t h;
	int i;

	for (i = 0; i < COLD_LIMIT; i++)
		admit_request(a, i, SECOND, 0, &run[i], &h, &why);
	admit_restarted(a, COLD_LIMIT);
	for (i = 0; i < COLD_LIMIT; i++)
		admit_done(a, 1000 + i, &run[i], ADMIT_GOOD);
	ck_assert_int_eq(admit_limit(a, 2000), COLD_LIMIT);
	for (i = 0; i < COLD_LIMIT; i++)
		admit_request(a, 2000, SECOND, 0, &run[i], &h, &why);
	for (i = 0; i < COLD_LIMIT; i++)
		admit_done(a, 3000 + i, &run[i], ADMIT_GOOD);
	ck_assert_int_eq(admit_in_flight(a), 0);
	ck_assert(admit_cold(a, 4000));
	ck_assert_int_eq(admit_limit(a, 4000), COLD_LIMIT);
	for (i = 0; i < COLD_LIMIT; i++) {
		admit_request(a, 5000 + i, SECOND, 0, &run[0], &h, &why);
		admit_request(a, 5000 + i, SECOND, 0, &run[1], &h, &why);
		admit_done(a, 5000 + i, &run[0], ADMIT_GOOD);
		admit_done(a, 5000 + i, &run[1], ADMIT_GOOD);
	}
	ck_assert_int_eq(admit_limit(a, 6000), COLD_LIMIT + 1);
	admit_free(a);
}
END_TEST

START_TEST(stalled_target_is_cold)
{
	struct admit *a = admit_new(&config, 0);
	struct admit_run run[COLD_LIMIT + 2];
	enum admit_reason why;
	int64_t now = 0;
	uint32_t h;
	int i;

	for (i = 0; i < 10; i++, now += 2 * MS) {
		admit_request(a, now, SECOND, 0, &run[0], &h, &why);
		admit_request(a, now, SECOND, 0, &run[1], &h, &why);
		admit_done(a, now + MS, &run[0], ADMIT_GOOD);
		admit_done(a, now + MS, &run[1], ADMIT_GOOD);
	}
	ck_assert_int_eq(admit_limit(a, now), COLD_LIMIT + 2);
	for (i = 0; i < COLD_LIMIT + 1; i++)
		admit_request(a, now, SECOND, 0, &run[i], &h, &why);
	ck_assert_int_eq(admit_in_flight(a), COLD_LIMIT + 1);
	ck_assert_int_eq(admit_limit(a, now + 20 * MS), COLD_LIMIT + 2);
	ck_assert_int_eq(admit_limit(a, now + 20 * MS + 1), COLD_LIMIT);
	ck_assert(admit_request(a, now + 80 * MS + 1, SECOND, 0, &run[0], &h,
		      &why) == ADMIT_WAIT);
	ck_assert_uint_eq(admit_counters(a)->turned_cold[ADMIT_CAUSE_STALL], 1);
	admit_free(a);
}
END_TEST

START_TEST(crowded_from_half_the_limit)
{
	struct admit_config c = { 4, 9, 4, 0, 20 * MS, 0, 9, 0, 0, 0 };
	struct admit *a = admit_new(&c, 0);
	struct admit_run run;
	enum admit_reason why;
	uint32_t h;
	int i;

	for (i = 0; i < 5; i++) {
		ck_assert(!admit_crowded(a, 0));
		admit_request(a, 0, SECOND, 0, &run, &h, &why);
	}
	ck_assert_int_eq(admit_queued(a), 1);
	ck_assert(!admit_crowded(a, 0));
	admit_request(a, 0, SECOND, 0, &run, &h, &why);
	ck_assert(admit_crowded(a, 0));
	ck_assert_uint_eq(admit_counters(a)->crowded, 1);
	ck_assert(admit_request(a, 0, SECOND, 0, &run, &h, &why) == ADMIT_WAIT);
	admit_free(a);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("admit rules");
	TCase *c = tcase_create("admit rules");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(c, queue_order_and_refusal_reasons);
	tcase_add_test(c, limit_rises_only_after_cold_calls);
	tcase_add_test(c, requests_from_before_restart_do_not_warm);
	tcase_add_test(c, burst_at_new_target_is_not_refused_as_cold);
	tcase_add_test(c, long_requests_wait_for_first_answer);
	tcase_add_test(c, target_whose_first_answer_is_late_gets_one_request);
	tcase_add_test(c, requests_do_not_wait_for_target_that_stays_silent);
	tcase_add_test(c, stalled_target_is_cold);
	tcase_add_test(c, crowded_from_half_the_limit);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
