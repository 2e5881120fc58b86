#include <check.h>
#include <stdlib.h>

#include "admit.h"
#include "tried.h"

#define TARGETS 4

static struct pick *
new_table(int n)
{
	struct pick_config c = PICK_CONFIG_DEFAULT;
	struct pick *p = pick_new(&c);

	while (n-- > 0)
		pick_add(p, 0, 1, 1);
	return p;
}

/* Every target refuses because its machine is slow, and is tried once more in a
 * second round; after that the request ends, even if no target was reached. */
START_TEST(ends_after_second_round)
{
	struct pick *p = new_table(TARGETS);
	struct tried t = { 0 };
	int n = 0;

	while (tried_next(&t, p, n) != PICK_NONE) {
		ck_assert_int_lt(n, 100);
		t.soft_refusals = 1;
		n++;
	}
	ck_assert_int_eq(n, 2 * TARGETS);
	pick_free(p);
}
END_TEST

START_TEST(no_second_round_without_soft_refusal)
{
	struct pick *p = new_table(TARGETS);
	struct tried t = { 0 };
	int n = 0;

	while (tried_next(&t, p, n) != PICK_NONE)
		n++;
	ck_assert_int_eq(n, TARGETS);
	ck_assert_int_eq(t.total, TARGETS);
	pick_free(p);
}
END_TEST

START_TEST(may_refuse_until_soft_max_or_second_round)
{
	struct pick *p = new_table(2);
	struct tried t = { 0 };

	ck_assert_int_eq(tried_may_refuse(&t, p), 1);
	t.soft_refusals = TRIED_SOFT_MAX;
	ck_assert_int_eq(tried_may_refuse(&t, p), 0);
	t.soft_refusals = 1;
	tried_next(&t, p, 0);
	tried_next(&t, p, 0);
	ck_assert_int_eq(tried_may_refuse(&t, p), 1);
	tried_next(&t, p, 0);
	ck_assert_int_eq(tried_may_refuse(&t, p), 0);
	pick_free(p);
}
END_TEST

/* The last target that is left may not refuse the request. */
START_TEST(last_target_may_not_refuse)
{
	struct pick *p = new_table(2);
	struct tried t = { 0 };

	tried_next(&t, p, 0);
	ck_assert_int_eq(tried_may_refuse(&t, p), 1);
	tried_next(&t, p, 0);
	ck_assert_int_eq(tried_may_refuse(&t, p), 0);
	pick_free(p);
}
END_TEST

/* Nor may the last one that is tried without paying from the retry budget. */
START_TEST(last_free_target_may_not_refuse)
{
	struct pick *p = new_table(4 * TRIED_MAX);
	struct tried t = { 0 };
	int n;

	for (n = 1; n <= TRIED_FREE_MAX; n++) {
		tried_next(&t, p, 0);
		ck_assert_int_eq(tried_may_refuse(&t, p), n < TRIED_FREE_MAX);
	}
	pick_free(p);
}
END_TEST

/* Two targets refuse since a third one is left, and that one turns out to be
 * gone: they are tried once more, and may not refuse again. */
START_TEST(second_round_if_the_target_left_is_gone)
{
	struct pick *p = new_table(3);
	struct tried t = { 0 };
	int n;

	for (n = 0; n < 2; n++) {
		ck_assert_uint_ne(tried_next(&t, p, 0), PICK_NONE);
		ck_assert_int_eq(tried_may_refuse(&t, p), 1);
		tried_note_full(&t, 1);
	}
	ck_assert_uint_ne(tried_next(&t, p, 0), PICK_NONE);
	ck_assert_int_eq(tried_may_refuse(&t, p), 0);
	ck_assert_uint_ne(tried_next(&t, p, 0), PICK_NONE);
	ck_assert_int_eq(tried_may_refuse(&t, p), 0);
	pick_free(p);
}
END_TEST

/* Full targets that had to take the request get it once. */
START_TEST(no_second_round_if_the_last_target_is_full)
{
	struct pick *p = new_table(3);
	struct tried t = { 0 };
	int n = 0;

	while (tried_next(&t, p, 0) != PICK_NONE) {
		tried_note_full(&t, tried_may_refuse(&t, p));
		n++;
	}
	ck_assert_int_eq(n, 3);
	pick_free(p);
}
END_TEST

START_TEST(tried_targets_are_bounded)
{
	struct pick *p = new_table(4 * TRIED_MAX);
	struct tried t = { 0 };
	int n = 0;

	while (tried_next(&t, p, n) != PICK_NONE)
		n++;
	ck_assert_int_eq(n, TRIED_MAX);
	pick_free(p);
}
END_TEST

static void
refuse(struct tried *t, struct pick *p, uint32_t handle, int reason)
{
	int soft = reason == ADMIT_DRAINING;

	t->soft_refusals += soft;
	tried_note_ended(t, handle, soft ? TRIED_AGAIN : TRIED_UNABLE);
	pick_sent(p, handle, 1);
	pick_refused(p, handle, 1, reason, NULL);
}

/* A target that is slow still stays for the second round, and no longer once it
 * refused there. */
START_TEST(slow_target_stays_until_second_round)
{
	struct pick *p = new_table(2);
	struct tried t = { 0 };
	uint32_t slow = tried_next(&t, p, 0);
	uint32_t leaves;

	t.soft_refusals++;
	tried_note_ended(&t, slow, TRIED_AGAIN);
	leaves = tried_next(&t, p, 0);
	ck_assert_int_eq(tried_any_stays(&t, p, 0, leaves), 1);
	refuse(&t, p, leaves, ADMIT_DRAINING);
	ck_assert_uint_ne(tried_next(&t, p, 0), PICK_NONE);
	ck_assert_int_eq(tried_any_stays(&t, p, 0, leaves), 1);
	tried_note_ended(&t, slow, TRIED_AGAIN);
	ck_assert_int_eq(tried_any_stays(&t, p, 0, leaves), 0);
	pick_free(p);
}
END_TEST

/* Of two targets that leave, the second is asked as the last one. */
START_TEST(leaving_targets_do_not_stay)
{
	struct pick *p = new_table(2);
	struct tried t = { 0 };
	uint32_t h = tried_next(&t, p, 0);

	ck_assert_int_eq(tried_any_stays(&t, p, 0, h), 1);
	refuse(&t, p, h, ADMIT_DRAINING);
	h = tried_next(&t, p, 1);
	ck_assert_int_eq(tried_any_stays(&t, p, 1, h), 0);
	pick_free(p);
}
END_TEST

/* A target without room doesn't take the request from one that stops. */
START_TEST(full_target_does_not_stay)
{
	struct pick *p = new_table(2);
	struct tried t = { 0 };
	uint32_t full = tried_next(&t, p, 0);
	uint32_t leaves = tried_next(&t, p, 0);

	tried_note_ended(&t, full, TRIED_FULL);
	ck_assert_int_eq(tried_any_stays(&t, p, 0, leaves), 0);
	pick_free(p);
}
END_TEST

/* A target that is gone can't take the request; the only one has no other. */
START_TEST(gone_target_does_not_stay)
{
	struct pick *p = new_table(2);
	struct tried t = { 0 };
	uint32_t h = tried_next(&t, p, 0);

	refuse(&t, p, h, ADMIT_OK);
	h = tried_next(&t, p, 0);
	ck_assert_int_eq(tried_any_stays(&t, p, 0, h), 0);
	pick_free(p);
	p = new_table(1);
	t = (struct tried){ 0 };
	h = tried_next(&t, p, 0);
	ck_assert_int_eq(tried_any_stays(&t, p, 0, h), 0);
	pick_free(p);
}
END_TEST

/* In the second round, a target that leaves comes after those that refused
 * since they are slow. */
START_TEST(leaving_target_is_last_in_second_round)
{
	struct load_report slow = { 1, 0, 8, 2000, 0, 0, 500, 0, 0 };
	uint32_t seed;

	for (seed = 0; seed < 50; seed++) {
		struct pick_config c = PICK_CONFIG_DEFAULT;
		struct tried t = { 0 };
		struct pick *p;
		uint32_t leaves;
		int i;

		c.seed = seed;
		p = pick_new(&c);
		for (i = 0; i < 3; i++)
			pick_add(p, 0, 1, 1);
		leaves = tried_next(&t, p, 1);
		refuse(&t, p, leaves, ADMIT_DRAINING);
		for (i = 0; i < 2; i++) {
			uint32_t h = tried_next(&t, p, 1);

			t.soft_refusals++;
			tried_note_ended(&t, h, TRIED_AGAIN);
			pick_sent(p, h, 1);
			pick_refused(p, h, 1, ADMIT_REASONS, &slow);
		}
		for (i = 0; i < 2; i++)
			ck_assert_uint_ne(tried_next(&t, p, 2), leaves);
		ck_assert_int_eq(t.second_round, 1);
		ck_assert_uint_eq(tried_next(&t, p, 2), leaves);
		pick_free(p);
	}
}
END_TEST

/* A second round begins with those that said that they may take the request;
 * one that is gone is tried once more after them. */
START_TEST(gone_target_is_last_in_second_round)
{
	uint32_t seed;

	for (seed = 0; seed < 50; seed++) {
		struct pick_config c = PICK_CONFIG_DEFAULT;
		struct tried t = { 0 };
		struct pick *p;
		uint32_t h[3];
		int i;

		c.seed = seed;
		p = pick_new(&c);
		for (i = 0; i < 3; i++)
			pick_add(p, 0, 1, 1);
		for (i = 0; i < 3; i++)
			h[i] = tried_next(&t, p, 1);
		t.soft_refusals++;
		tried_note_ended(&t, h[seed % 3], TRIED_AGAIN);
		refuse(&t, p, h[(seed + 1) % 3], ADMIT_OK);
		refuse(&t, p, h[(seed + 2) % 3], ADMIT_OK);
		ck_assert_uint_eq(tried_next(&t, p, 2), h[seed % 3]);
		ck_assert_int_eq(t.second_round, 1);
		ck_assert_uint_ne(tried_next(&t, p, 2), PICK_NONE);
		ck_assert_uint_ne(tried_next(&t, p, 2), PICK_NONE);
		ck_assert_uint_eq(tried_next(&t, p, 2), PICK_NONE);
		pick_free(p);
	}
}
END_TEST

/* The limits of what is tried say nothing of who stays. */
START_TEST(targets_beyond_the_limits_stay)
{
	struct pick *p = new_table(4 * TRIED_MAX);
	struct tried t = { 0 };
	int n;

	for (n = 0; n < TRIED_MAX; n++) {
		uint32_t h = tried_next(&t, p, 0);

		ck_assert_int_eq(tried_any_stays(&t, p, 0, h), 1);
		refuse(&t, p, h, ADMIT_DRAINING);
	}
	ck_assert_int_eq(tried_may_refuse(&t, p), 0);
	pick_free(p);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("tried");
	TCase *c = tcase_create("tried");
	SRunner *r;
	int failed;

	tcase_add_test(c, ends_after_second_round);
	tcase_add_test(c, no_second_round_without_soft_refusal);
	tcase_add_test(c, may_refuse_until_soft_max_or_second_round);
	tcase_add_test(c, last_target_may_not_refuse);
	tcase_add_test(c, last_free_target_may_not_refuse);
	tcase_add_test(c, second_round_if_the_target_left_is_gone);
	tcase_add_test(c, no_second_round_if_the_last_target_is_full);
	tcase_add_test(c, tried_targets_are_bounded);
	tcase_add_test(c, slow_target_stays_until_second_round);
	tcase_add_test(c, leaving_targets_do_not_stay);
	tcase_add_test(c, full_target_does_not_stay);
	tcase_add_test(c, gone_target_does_not_stay);
	tcase_add_test(c, leaving_target_is_last_in_second_round);
	tcase_add_test(c, gone_target_is_last_in_second_round);
	tcase_add_test(c, targets_beyond_the_limits_stay);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
