#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "retry.h"
#include "rng.h"

#define LEVELS 28
#define CALLS 20000
#define FAILURE_SHARE 0.3 /* of attempts, or of replies that are lost */
#define NO_DEADLINE (INT64_MAX / 2)

/**
 * struct tree - services in levels, each of which calls the next level
 * @fan: calls that each level makes to the next for one attempt it receives
 * @lossy: nonzero if all levels lose replies, besides the last level's failures
 * @attempts: attempts received at all levels
 */
struct tree {
	struct retry service[LEVELS];
	struct rng rng;
	int levels;
	int fan;
	int lossy;
	uint64_t attempts;
};

struct reply {
	int ok;
	int used; /* extra attempts made for it */
	enum retry_cause cause;
};

static struct reply attempt(struct tree *, int level, int carried);

/** Level @level calls the next one and retries while retry_allow_resend()
 * allows. Sets
 * @used to the extra attempts made. Returns nonzero if the call succeeded. */
static int
call_below(struct tree *t, int level, int carried, int *used)
{
	struct retry *r = &t->service[level];
	struct retry_call c;
	struct reply p;

	retry_call_start(r, &c, level, carried, 1, NO_DEADLINE);
	for (;;) {
		p = attempt(t, level + 1, retry_begin_attempt(&c));
		retry_add_used(&c, p.used);
		if (p.ok) {
			retry_success(r, 1000);
			break;
		}
		if (retry_allow_resend(r, &c, p.cause, 0) != RETRY_GO)
			break;
	}
	*used = c.extra_used;
	retry_call_end(r, &c);
	return p.ok;
}

static struct reply
attempt(struct tree *t, int level, int carried)
{
	static const enum retry_cause causes[] = { RETRY_NOT_RUN, RETRY_FAILED,
		RETRY_LOST };
	struct reply p = { 1, 0, RETRY_FAILED };
	int i;

	t->attempts++;
	for (i = 0; level < t->levels - 1 && p.ok && i < t->fan; i++) {
		int used;

		p.ok = call_below(t, level, carried, &used);
		p.used += used;
	}
	if (level == t->levels - 1 && rng_unit(&t->rng) < FAILURE_SHARE) {
		p.ok = 0;
		p.cause = causes[rng_below(&t->rng, 3)];
	} else if (t->lossy && rng_unit(&t->rng) < FAILURE_SHARE) {
		p = (struct reply){ 0, 0, RETRY_LOST };
	}
	return p;
}

/** Makes @calls calls. Sets @good to those that succeeded. Returns the attempts
 * per call. */
static double
run(struct tree *t, int levels, int fan, int lossy, double ratio, int calls,
    int *good)
{
	int i;

	t->levels = levels;
	t->fan = fan;
	t->lossy = lossy;
	t->attempts = 0;
	rng_seed(&t->rng, 7);
	for (i = 0; i < LEVELS; i++)
		retry_init(&t->service[i], ratio, 0);
	*good = 0;
	for (i = 0; i < calls; i++) {
		int used;

		*good += call_below(t, 0, 0, &used);
	}
	return (double)t->attempts / calls;
}

/** In a chain whose last service fails, retries raise the attempts to at most
 * 1.2 times one attempt at each of levels 1..27, which are called. */
START_TEST(chain_of_28_within_1_2)
{
	static const double ratios[] = { 0, 0.1, 0.2 };
	static struct tree t;
	int good;
	double cost = run(&t, LEVELS, 1, 0, ratios[_i], CALLS, &good);

	printf("chain, retry ratio %.1f: "
	       "%.4f times as many attempts, %.4f good\n",
	    ratios[_i], cost / (LEVELS - 1), (double)good / CALLS);
	ck_assert_double_le(cost, 1.2 * (LEVELS - 1));
	if (_i)
		ck_assert_double_ge(good, (1 - FAILURE_SHARE + 0.03) * CALLS);
}
END_TEST

/** Every level loses three replies of ten after the levels below it have done
 * their work, so that the extra attempts made there are not known. */
START_TEST(lossy_chain_within_1_2)
{
	static struct tree t;
	int good;
	double cost = run(&t, LEVELS, 1, 1, 0.2, CALLS, &good);

	printf("lossy chain: %.4f times as many attempts\n",
	    cost / (LEVELS - 1));
	ck_assert_double_le(cost, 1.2 * (LEVELS - 1));
}
END_TEST

/** Each level makes two calls to the next and fails with the first that fails.
 * Retries raise the attempts to at most 1.2 times those without retries. */
START_TEST(tree_within_1_2)
{
	static struct tree t;
	int good;
	double base = run(&t, 4, 2, 0, 0, CALLS, &good);
	int base_good = good;
	double cost = run(&t, 4, 2, 0, 0.2, CALLS, &good);

	printf("tree: %.4f times as many attempts, "
	       "%d good, %d without retries\n",
	    cost / base, good, base_good);
	ck_assert_double_le(cost, 1.2 * base);
}
END_TEST

/** Retries and hedges together stay within the given ratio of the successes,
 * plus the 8 tokens that a budget starts with. */
START_TEST(extra_attempts_within_ratio)
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

		retry_call_start(&r, &c, 0, 0, 1, NO_DEADLINE);
		if (retry_hedge_delay(&r, &c) >= 0 && !rng_below(&g, 4))
			retry_allow_hedge(&r, &c, 0);
		while (rng_below(&g, 2) &&
		       retry_allow_resend(&r, &c, RETRY_FAILED, 0) == RETRY_GO)
			;
		if (rng_below(&g, 2)) {
			retry_success(&r, 500 + rng_below(&g, 1000));
			good++;
		}
		retry_call_end(&r, &c);
		ck_assert_double_le((double)(r.retries + r.hedges),
		    ratios[_i] * (double)good + 8);
	}
	ck_assert_double_ge((double)(r.retries + r.hedges),
	    ratios[_i] > 0.1 ? 0 : 0.95 * ratios[_i] * (double)good);
}
END_TEST

/* The users' fleet: a share of a few tokens, and many calls at a time. */
START_TEST(open_calls_leave_the_budget_to_the_one_that_fails)
{
	struct retry_call open[20], failed;
	struct retry r;
	size_t i;

	retry_init(&r, 0.15, 0);
	retry_set_pays_late(&r, 1);
	retry_set_tokens_max(&r, 2.9);
	for (i = 0; i < 20; i++)
		retry_call_start(&r, &open[i], 0, 0, 1, NO_DEADLINE);
	retry_call_start(&r, &failed, 0, 0, 1, NO_DEADLINE);
	ck_assert_int_eq(retry_allow_resend(&r, &failed, RETRY_LOST, 0),
	    RETRY_GO);
	retry_call_end(&r, &failed);
	ck_assert_double_eq_tol(r.tokens, 1.9, 1e-9);
	ck_assert(!retry_movable(&r, &open[0]));
	ck_assert_int_eq(retry_allow_resend(&r, &open[0], RETRY_LOST, 0),
	    RETRY_GO);
	ck_assert_int_eq(retry_allow_resend(&r, &open[1], RETRY_LOST, 0),
	    RETRY_NO_BUDGET);
	for (i = 0; i < 20; i++)
		retry_call_end(&r, &open[i]);
	ck_assert_double_eq_tol(r.tokens, 0.9, 1e-9);
}
END_TEST

START_TEST(attempt_that_does_not_start_costs_nothing)
{
	struct retry_call c;
	struct retry r;
	int late = _i;

	retry_init(&r, 0.15, 0);
	retry_set_pays_late(&r, late);
	retry_set_tokens_max(&r, 2.9);
	retry_call_start(&r, &c, 0, 0, 1, NO_DEADLINE);
	ck_assert_int_eq(retry_allow_resend(&r, &c, RETRY_LOST, 0), RETRY_GO);
	retry_refund(&r, &c);
	ck_assert_int_eq(c.extra_left, 2);
	retry_call_end(&r, &c);
	ck_assert_double_eq_tol(r.tokens, 2.9, 1e-9);
}
END_TEST

/* Attempts beyond the first stay within the ratio and the share, however many
 * calls are open at a time. */
START_TEST(late_payment_stays_within_the_budget)
{
	struct retry_call open[50];
	int i, n, extra = 0, calls = 0;
	struct retry r;

	retry_init(&r, 0.15, 0);
	retry_set_pays_late(&r, 1);
	retry_set_tokens_max(&r, 2.9);
	for (n = 0; n < 200; n++) {
		for (i = 0; i < 50; i++)
			retry_call_start(&r, &open[i], 0, 0, 1, NO_DEADLINE);
		for (i = 0; i < 50; i++)
			while (retry_allow_resend(&r, &open[i], RETRY_LOST,
				   0) == RETRY_GO)
				extra++;
		for (i = 0; i < 50; i++) {
			retry_success(&r, 1000);
			retry_call_end(&r, &open[i]);
		}
		calls += 50;
	}
	ck_assert_int_le(extra, calls * 15 / 100 + 3);
	ck_assert_int_gt(extra, 200);
}
END_TEST

START_TEST(non_idempotent_resent_only_after_not_run)
{
	struct retry r;
	struct retry_call c;

	retry_init(&r, 0.1, 1);
	retry_call_start(&r, &c, 0, 0, 0, NO_DEADLINE);
	ck_assert_int_eq(retry_allow_resend(&r, &c, RETRY_LOST, 0),
	    RETRY_NO_UNSAFE);
	ck_assert_int_eq(retry_allow_resend(&r, &c, RETRY_FAILED, 0),
	    RETRY_NO_UNSAFE);
	ck_assert_int_eq(retry_allow_hedge(&r, &c, 0), RETRY_NO_UNSAFE);
	ck_assert_int_eq(retry_hedge_delay(&r, &c), -1);
	ck_assert_int_eq(retry_allow_resend(&r, &c, RETRY_FINAL, 0),
	    RETRY_NO_FINAL);
	ck_assert(retry_movable(&r, &c));
	ck_assert_int_eq(retry_allow_resend(&r, &c, RETRY_NOT_RUN, 0),
	    RETRY_GO);
	ck_assert(!retry_movable(&r, &c));
	retry_call_end(&r, &c);
}
END_TEST

/** With latencies of 1 to 100 ms and a deadline of 100 ms, a call is hedged
 * after the 95th percentile, and gets no extra attempt when less than the
 * median is left. */
START_TEST(no_attempt_that_cannot_finish)
{
	struct retry r;
	struct retry_call c;
	int i;

	retry_init(&r, 0.1, 1);
	for (i = 1; i <= 100; i++)
		retry_success(&r, i * 1000);
	retry_call_start(&r, &c, 0, 0, 1, 100000);
	ck_assert_int_ge(retry_hedge_delay(&r, &c), 95000);
	ck_assert_int_le(retry_hedge_delay(&r, &c), 95000 * 9 / 8);
	ck_assert_int_eq(retry_allow_resend(&r, &c, RETRY_FAILED, 60000),
	    RETRY_NO_TIME);
	ck_assert_int_eq(retry_allow_hedge(&r, &c, 60000), RETRY_NO_TIME);
	ck_assert_int_eq(retry_allow_resend(&r, &c, RETRY_FAILED, 30000),
	    RETRY_GO);
	retry_call_end(&r, &c);
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
	tcase_add_loop_test(c, extra_attempts_within_ratio, 0, 4);
	tcase_add_test(c, open_calls_leave_the_budget_to_the_one_that_fails);
	tcase_add_loop_test(c, attempt_that_does_not_start_costs_nothing, 0, 2);
	tcase_add_test(c, late_payment_stays_within_the_budget);
	tcase_add_test(c, non_idempotent_resent_only_after_not_run);
	tcase_add_test(c, no_attempt_that_cannot_finish);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
