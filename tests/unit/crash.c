#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "crash.h"
#include "crash_codec.h"

#define SECOND INT64_C(1000000)
#define BAD 100 /* the request that crashes targets */

static struct crash_table *table;
static struct crash_news refused;

static void
setup(void)
{
	table = crash_new();
}

static void
teardown(void)
{
	crash_free(table);
}

/* The target start @start ended while it ran @n requests. Returns how many are
 * refused from now on. */
static int
ended(uint64_t start, int64_t now, int n, const uint64_t *request)
{
	struct crash_news news = { .kind = CRASH_ENDED,
		.start = start,
		.n = n };

	memcpy(news.request, request, (size_t)n * sizeof *request);
	return crash_apply(table, &news, now, now, &refused);
}

static int
ended_alone(uint64_t start, int64_t now, uint64_t request)
{
	return ended(start, now, 1, &request);
}

static int
is_refused(uint64_t request, int64_t now)
{
	return crash_refused_until(table, request, now) != 0;
}

START_TEST(request_is_refused_after_three_starts)
{
	ck_assert_int_eq(ended_alone(1, SECOND, BAD), 0);
	ck_assert_int_eq(ended_alone(2, 2 * SECOND, BAD), 0);
	ck_assert_int_eq(is_refused(BAD, 2 * SECOND), 0);
	ck_assert_int_eq(ended_alone(3, 3 * SECOND, BAD), 1);
	ck_assert_uint_eq(refused.request[0], BAD);
	ck_assert_int_eq(refused.kind, CRASH_REFUSED);
	ck_assert_int_eq(is_refused(BAD, 3 * SECOND), 1);
	ck_assert_int_eq(is_refused(BAD + 1, 3 * SECOND), 0);
	/* told once */
	ck_assert_int_eq(ended_alone(4, 4 * SECOND, BAD), 0);
}
END_TEST

START_TEST(the_same_start_counts_once)
{
	int i;

	for (i = 0; i < 9; i++)
		ck_assert_int_eq(ended_alone(1, SECOND, BAD), 0);
	ck_assert_int_eq(crash_starts(table, BAD), 1);
}
END_TEST

START_TEST(requests_beside_it_are_not_refused)
{
	const uint64_t first[] = { BAD, 1, 2 }, second[] = { 3, BAD, 2 },
		       third[] = { BAD, 4, 2, 5 };

	ended(1, SECOND, 3, first);
	ended(2, 2 * SECOND, 3, second);
	/* a tie: both were there each time */
	ck_assert_int_eq(ended(3, 3 * SECOND, 4, third), 0);
	ck_assert_int_eq(ended_alone(4, 4 * SECOND, BAD), 1);
	ck_assert_int_eq(is_refused(2, 4 * SECOND), 0);
	ck_assert_int_eq(is_refused(1, 4 * SECOND), 0);
}
END_TEST

START_TEST(two_that_always_come_together_are_refused_in_the_end)
{
	const uint64_t both[] = { BAD, BAD + 1 };
	int i;

	for (i = 1; i < CRASH_STARTS_TIED; i++)
		ck_assert_int_eq(ended((uint64_t)i, i * SECOND, 2, both), 0);
	ck_assert_int_eq(ended((uint64_t)i, i * SECOND, 2, both), 2);
}
END_TEST

/* A popular request runs at each target that ends for another reason. */
START_TEST(answered_request_is_not_refused)
{
	struct crash_news n;
	uint64_t i;

	for (i = 1; i < 20; i++) {
		ck_assert_int_eq(ended_alone(i, (int64_t)i * SECOND, 7), 0);
		crash_answered(table, 7, (int64_t)i * SECOND, &n);
	}
	ck_assert_int_eq(crash_any(table), 0);
	ck_assert_int_eq(ended_alone(50, 20 * SECOND, 7), 0);
	ck_assert_int_eq(crash_starts(table, 7), 0);
}
END_TEST

START_TEST(answer_is_news_once)
{
	struct crash_news n;

	ck_assert_int_eq(crash_answered(table, 7, SECOND, &n), 0);
	ended_alone(1, 20 * SECOND, 7);
	ck_assert_int_eq(crash_answered(table, 7, 20 * SECOND, &n), 1);
	ck_assert_int_eq(n.kind, CRASH_ANSWERED);
	ck_assert_uint_eq(n.request[0], 7);
	ck_assert_int_eq(crash_answered(table, 7, 20 * SECOND, &n), 0);
}
END_TEST

START_TEST(answer_elsewhere_ends_suspicion_and_refusal)
{
	struct crash_news n = { .kind = CRASH_ANSWERED,
		.n = 1,
		.request = { BAD } };

	ended_alone(1, SECOND, BAD);
	ended_alone(2, SECOND, BAD);
	ended_alone(3, SECOND, BAD);
	ck_assert_int_eq(is_refused(BAD, SECOND), 1);
	crash_apply(table, &n, 2 * SECOND, 2 * SECOND, &refused);
	ck_assert_int_eq(is_refused(BAD, 2 * SECOND), 0);
}
END_TEST

START_TEST(refusal_ends_and_one_crash_renews_it)
{
	int64_t after = 3 * SECOND + CRASH_REFUSE_US;

	ended_alone(1, SECOND, BAD);
	ended_alone(2, 2 * SECOND, BAD);
	ended_alone(3, 3 * SECOND, BAD);
	ck_assert_int_eq(is_refused(BAD, after - 1), 1);
	ck_assert_int_eq(is_refused(BAD, after), 0);
	ck_assert_int_eq(ended_alone(4, after + SECOND, BAD), 1);
	ck_assert_int_eq(is_refused(BAD, after + SECOND), 1);
}
END_TEST

START_TEST(old_counts_are_forgotten)
{
	int64_t later = 3 * SECOND + CRASH_KEEP_US;

	ended_alone(1, SECOND, BAD);
	ended_alone(2, 2 * SECOND, BAD);
	ck_assert_int_eq(ended_alone(3, later, BAD), 0);
	ck_assert_int_eq(crash_starts(table, BAD), 1);
}
END_TEST

/* A daemon that joins later gets the refusals alone. */
START_TEST(refusal_of_another_daemon_holds_here)
{
	struct crash_news n = { .kind = CRASH_REFUSED,
		.start = 9,
		.n = 1,
		.request = { BAD } };
	int64_t now = 100 * SECOND;

	ck_assert_int_eq(crash_apply(table, &n, now - SECOND, now, &refused),
	    1);
	ck_assert_int_eq(crash_refused_until(table, BAD, now),
	    now - SECOND + CRASH_REFUSE_US);
	ck_assert_int_eq(crash_apply(table, &n, now - SECOND, now, &refused),
	    0);
	n.request[0] = BAD + 1;
	ck_assert_int_eq(crash_apply(table, &n, now - CRASH_REFUSE_US, now,
			     &refused),
	    0);
	ck_assert_int_eq(is_refused(BAD + 1, now), 0);
}
END_TEST

START_TEST(memory_is_bounded_and_the_most_counted_stay)
{
	uint64_t i;

	ended_alone(1, SECOND, BAD);
	ended_alone(2, SECOND, BAD);
	for (i = 0; i < 3 * CRASH_REQUESTS_MAX; i++)
		ended_alone(1000 + i, 2 * SECOND + (int64_t)i, 5000 + i);
	ck_assert_int_eq(crash_count(table, 0, 3 * SECOND), CRASH_REQUESTS_MAX);
	ck_assert_int_eq(crash_starts(table, BAD), 2);
	ck_assert_int_eq(ended_alone(3, 3 * SECOND, BAD), 1);
	ck_assert_int_eq(crash_count(table, 1, 3 * SECOND), 1);
}
END_TEST

START_TEST(news_round_trip)
{
	struct crash_news n = { .kind = CRASH_ENDED, .start = 77 }, m;
	unsigned char buf[224];
	size_t used;
	int i;

	for (i = 0; i < CRASH_GROUP_MAX; i++)
		n.request[n.n++] = (uint64_t)i * 0x123456789abcu;
	used = crash_news_encode(&n, buf, sizeof buf);
	ck_assert_uint_gt(used, 0);
	ck_assert_int_eq(crash_news_decode(&m, buf, used), 0);
	ck_assert_mem_eq(&m, &n, sizeof n);
	ck_assert_uint_eq(crash_news_id(&m), crash_news_id(&n));
	ck_assert_int_eq(crash_news_decode(&m, buf, used - 1), -1);
	ck_assert_int_eq(crash_news_decode(&m, buf, 3), -1);
	buf[3] = 9;
	ck_assert_int_eq(crash_news_decode(&m, buf, used), -1);
	n.start++;
	ck_assert_uint_ne(crash_news_id(&m), crash_news_id(&n));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("crash");
	TCase *c = tcase_create("crash");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_test(c, request_is_refused_after_three_starts);
	tcase_add_test(c, the_same_start_counts_once);
	tcase_add_test(c, requests_beside_it_are_not_refused);
	tcase_add_test(c, two_that_always_come_together_are_refused_in_the_end);
	tcase_add_test(c, answered_request_is_not_refused);
	tcase_add_test(c, answer_is_news_once);
	tcase_add_test(c, answer_elsewhere_ends_suspicion_and_refusal);
	tcase_add_test(c, refusal_ends_and_one_crash_renews_it);
	tcase_add_test(c, old_counts_are_forgotten);
	tcase_add_test(c, refusal_of_another_daemon_holds_here);
	tcase_add_test(c, memory_is_bounded_and_the_most_counted_stay);
	tcase_add_test(c, news_round_trip);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
