#include <check.h>
#include <stdlib.h>

#include "tried.h"

#define TARGETS 4

static struct pick *
table(int n)
{
	struct pick_config c = PICK_CONFIG_DEFAULT;
	struct pick *p = pick_new(&c);

	while (n-- > 0)
		pick_add(p, 0, 1, 1);
	return p;
}

/* All targets refuse as slow, then none can be reached at all: the request ends
 * after a second round. */
START_TEST(ends_when_nobody_can_be_reached)
{
	struct pick *p = table(TARGETS);
	struct tried t = { 0 };
	int n = 0;

	while (tried_next(&t, p, n) != PICK_NONE) {
		ck_assert_int_lt(n, 100);
		t.slow = 1;
		n++;
	}
	ck_assert_int_eq(n, 2 * TARGETS);
	pick_free(p);
}
END_TEST

START_TEST(no_second_round_without_a_slow_one)
{
	struct pick *p = table(TARGETS);
	struct tried t = { 0 };
	int n = 0;

	while (tried_next(&t, p, n) != PICK_NONE)
		n++;
	ck_assert_int_eq(n, TARGETS);
	ck_assert_int_eq(t.total, TARGETS);
	pick_free(p);
}
END_TEST

START_TEST(choosy_until_some_refused_or_the_second_round)
{
	struct pick *p = table(2);
	struct tried t = { 0 };

	ck_assert_int_eq(tried_choosy(&t, p), 1);
	t.slow = TRIED_SLOW_MAX;
	ck_assert_int_eq(tried_choosy(&t, p), 0);
	t.slow = 1;
	tried_next(&t, p, 0);
	tried_next(&t, p, 0);
	ck_assert_int_eq(tried_choosy(&t, p), 1);
	tried_next(&t, p, 0);
	ck_assert_int_eq(tried_choosy(&t, p), 0);
	pick_free(p);
}
END_TEST

/* The last one that is left is not asked to refuse. */
START_TEST(the_last_target_has_to_do)
{
	struct pick *p = table(2);
	struct tried t = { 0 };

	tried_next(&t, p, 0);
	ck_assert_int_eq(tried_choosy(&t, p), 1);
	tried_next(&t, p, 0);
	ck_assert_int_eq(tried_choosy(&t, p), 0);
	pick_free(p);
}
END_TEST

/* Nor the last one that is asked free of charge. */
START_TEST(the_last_free_one_has_to_do)
{
	struct pick *p = table(4 * TRIED_MAX);
	struct tried t = { 0 };
	int n;

	for (n = 1; n <= TRIED_FREE_MAX; n++) {
		tried_next(&t, p, 0);
		ck_assert_int_eq(tried_choosy(&t, p), n < TRIED_FREE_MAX);
	}
	pick_free(p);
}
END_TEST

START_TEST(many_targets_are_tried_up_to_the_bound)
{
	struct pick *p = table(4 * TRIED_MAX);
	struct tried t = { 0 };
	int n = 0;

	while (tried_next(&t, p, n) != PICK_NONE)
		n++;
	ck_assert_int_eq(n, TRIED_MAX);
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

	tcase_add_test(c, ends_when_nobody_can_be_reached);
	tcase_add_test(c, no_second_round_without_a_slow_one);
	tcase_add_test(c, choosy_until_some_refused_or_the_second_round);
	tcase_add_test(c, the_last_target_has_to_do);
	tcase_add_test(c, the_last_free_one_has_to_do);
	tcase_add_test(c, many_targets_are_tried_up_to_the_bound);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
