#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "retry.h"
#include "rng.h"

#define LEVELS 28
#define CALLS 20000
#define FAIL 0.3
#define FAR (INT64_MAX / 2)

/**
 * struct tree - services that call each other in a row
 * @fan: calls that each level makes to the next
 * @lossy: nonzero if every level loses replies, not only the last fails
 * @calls: attempts received, counted where they arrive
 */
struct tree {
	struct retry service[LEVELS];
	struct rng rng;
	int levels;
	int fan;
	int lossy;
	uint64_t calls;
};

struct reply {
	int ok;
	int used;
	enum retry_cause cause;
};

static struct reply attempt(struct tree *, int level, int carried);

/** Level @level calls the one below it and repeats while it is allowed. */
static int
call_below(struct tree *t, int level, int carried, int *used)
{
	struct retry *r = &t->service[level];
	struct retry_call c;
	struct reply p;

	retry_start(r, &c, level, carried, 1, FAR);
	for (;;) {
		p = attempt(t, level + 1, retry_sent(&c));
		retry_reply(&c, p.used);
		if (p.ok) {
			retry_success(r, 1000);
			break;
		}
		if (retry_ask(r, &c, p.cause, 0) != RETRY_GO)
			break;
	}
	*used = c.used;
	retry_end(r, &c);
	return p.ok;
}

static struct reply
attempt(struct tree *t, int level, int carried)
{
	static const enum retry_cause causes[] = { RETRY_NOT_RUN, RETRY_FAILED,
		RETRY_LOST };
	struct reply p = { 1, 0, RETRY_FAILED };
	int i;

	t->calls++;
	for (i = 0; level < t->levels - 1 && p.ok && i < t->fan; i++) {
		int used;

		p.ok = call_below(t, level, carried, &used);
		p.used += used;
	}
	if (level == t->levels - 1 && rng_unit(&t->rng) < FAIL) {
		p.ok = 0;
		p.cause = causes[rng_below(&t->rng, 3)];
	} else if (t->lossy && rng_unit(&t->rng) < FAIL) {
		p = (struct reply){ 0, 0, RETRY_LOST };
	}
	return p;
}

static double
run(struct tree *t, int levels, int fan, int lossy, double ratio, int calls,
    int *good)
{
	int i;

	t->levels = levels;
	t->fan = fan;
	t->lossy = lossy;
	t->calls = 0;
	rng_seed(&t->rng, 7);
	for (i = 0; i < LEVELS; i++)
		retry_init(&t->service[i], ratio, 0);
	*good = 0;
	for (i = 0; i < calls; i++) {
		int used;

		*good += call_below(t, 0, 0, &used);
	}
	return (double)t->calls / calls;
}

/** Extra calls of a chain whose last service fails, against one attempt a
 * level; levels 1..27 are called. */
START_TEST(chain_of_28_within_1_2)
{
	static const double ratios[] = { 0, 0.1, 0.2 };
	static struct tree t;
	int good;
	double cost = run(&t, LEVELS, 1, 0, ratios[_i], CALLS, &good);

	printf("chain ratio %.1f: %.4f times the calls, %.4f good\n",
	    ratios[_i], cost / (LEVELS - 1), (double)good / CALLS);
	ck_assert_double_le(cost, 1.2 * (LEVELS - 1));
	if (_i)
		ck_assert_double_ge(good, (1 - FAIL + 0.03) * CALLS);
}
END_TEST

/** Every level loses three replies of ten after the work below was done, so
 * what was used below is not known. */
START_TEST(lossy_chain_within_1_2)
{
	static struct tree t;
	int good;
	double cost = run(&t, LEVELS, 1, 1, 0.2, CALLS, &good);

	printf("lossy chain: %.4f times the calls\n", cost / (LEVELS - 1));
	ck_assert_double_le(cost, 1.2 * (LEVELS - 1));
}
END_TEST

/** Two calls a level; a branch that fails ends its parent. Against the same
 * tree without retries. */
START_TEST(tree_within_1_2)
{
	static struct tree t;
	int good;
	double none = run(&t, 4, 2, 0, 0, CALLS, &good);
	int good0 = good;
	double cost = run(&t, 4, 2, 0, 0.2, CALLS, &good);

	printf("tree: %.4f times the calls, %d good, %d without\n", cost / none,
	    good, good0);
	ck_assert_double_le(cost, 1.2 * none);
}
END_TEST

START_TEST(never_over_the_share_of_successes)
{
	static const double ratios[] = { 0, 0.05, 0.1, 0.5 };
	struct retry r;
	struct rng g;
	uint64_t good = 0;
	int i;

	rng_seed(&g, 11);
	retry_init(&r, ratios[_i], 1);
	for (i = 0; i < 100000; i++) {
		struct retry_call c;

		retry_start(&r, &c, 0, 0, 1, FAR);
		if (retry_hedge_delay(&r, &c) >= 0 && !rng_below(&g, 4))
			retry_hedge(&r, &c, 0);
		while (rng_below(&g, 2) &&
		       retry_ask(&r, &c, RETRY_FAILED, 0) == RETRY_GO)
			;
		if (rng_below(&g, 2)) {
			retry_success(&r, 500 + rng_below(&g, 1000));
			good++;
		}
		retry_end(&r, &c);
		ck_assert_double_le((double)(r.retries + r.hedges),
		    ratios[_i] * (double)good + 8);
	}
	ck_assert_double_ge((double)(r.retries + r.hedges),
	    ratios[_i] > 0.1 ? 0 : 0.95 * ratios[_i] * (double)good);
}
END_TEST

START_TEST(non_idempotent_only_after_not_run)
{
	struct retry r;
	struct retry_call c;

	retry_init(&r, 0.1, 1);
	retry_start(&r, &c, 0, 0, 0, FAR);
	ck_assert_int_eq(retry_ask(&r, &c, RETRY_LOST, 0), RETRY_NO_ONCE);
	ck_assert_int_eq(retry_ask(&r, &c, RETRY_FAILED, 0), RETRY_NO_ONCE);
	ck_assert_int_eq(retry_hedge(&r, &c, 0), RETRY_NO_ONCE);
	ck_assert_int_eq(retry_hedge_delay(&r, &c), -1);
	ck_assert_int_eq(retry_ask(&r, &c, RETRY_FINAL, 0), RETRY_NO_FINAL);
	ck_assert(retry_movable(&c));
	ck_assert_int_eq(retry_ask(&r, &c, RETRY_NOT_RUN, 0), RETRY_GO);
	ck_assert(!retry_movable(&c));
	retry_end(&r, &c);
}
END_TEST

START_TEST(nothing_that_cannot_finish)
{
	struct retry r;
	struct retry_call c;
	int i;

	retry_init(&r, 0.1, 1);
	for (i = 1; i <= 100; i++)
		retry_success(&r, i * 1000);
	retry_start(&r, &c, 0, 0, 1, 100000);
	ck_assert_int_ge(retry_hedge_delay(&r, &c), 95000);
	ck_assert_int_le(retry_hedge_delay(&r, &c), 95000 * 9 / 8);
	ck_assert_int_eq(retry_ask(&r, &c, RETRY_FAILED, 60000), RETRY_NO_TIME);
	ck_assert_int_eq(retry_hedge(&r, &c, 60000), RETRY_NO_TIME);
	ck_assert_int_eq(retry_ask(&r, &c, RETRY_FAILED, 30000), RETRY_GO);
	retry_end(&r, &c);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("retry");
	TCase *c = tcase_create("retry");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(c, chain_of_28_within_1_2, 0, 3);
	tcase_add_test(c, lossy_chain_within_1_2);
	tcase_add_test(c, tree_within_1_2);
	tcase_add_loop_test(c, never_over_the_share_of_successes, 0, 4);
	tcase_add_test(c, non_idempotent_only_after_not_run);
	tcase_add_test(c, nothing_that_cannot_finish);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
