#include "stated.h"

#include <check.h>
#include <stdlib.h>

#include <glib.h>

#include "admit.h"
#include "rng.h"

#define MS 1000
#define SECOND 1000000
#define WINDOW (4 * SECOND)
#define FACTOR 1.5 /* times the limit, allowed in a window */
#define SLACK 5 /* requests allowed beyond it */
#define STARTS_MAX 8192

static const struct admit_config config = { .slots = 18,
	.connections = 40,
	.cold_limit = 18,
	.cold_good_us = SECOND,
	.queue_max = 64 };

struct starts {
	int64_t at[STARTS_MAX];
	int n;
};

START_TEST(limit_is_a_decimal_number)
{
	static const char *const bad[] = { "", "x", "1x", "-1", "nan", "inf",
		"1e999" };
	double v;
	size_t i;

	ck_assert_int_eq(stated_limit_parse("11.7", &v), 0);
	ck_assert(v == 11.7);
	ck_assert_int_eq(stated_limit_parse("0", &v), 0);
	for (i = 0; i < sizeof bad / sizeof *bad; i++)
		ck_assert_int_eq(stated_limit_parse(bad[i], &v), -1);
}
END_TEST

START_TEST(only_an_answer_to_a_later_request_withdraws_the_limit)
{
	struct stated_limit l = { 0 };

	ck_assert(!stated_limit_withdraw(&l, 5));
	ck_assert(stated_limit_set(&l, 11.7, 10));
	ck_assert(!stated_limit_set(&l, 11.7, 20));
	ck_assert(!stated_limit_withdraw(&l, 20));
	ck_assert(l.per_s == 11.7);
	ck_assert(stated_limit_withdraw(&l, 21));
	ck_assert(l.per_s == 0);
}
END_TEST

START_TEST(limit_of_zero_lets_a_few_requests_through)
{
	struct stated_limit l = { 0 };

	stated_limit_set(&l, 0, 10);
	ck_assert(l.per_s > 0);
	ck_assert(l.per_s * WINDOW / SECOND + 1 <= SLACK);
}
END_TEST

static void
start(struct admit *a, struct starts *s, int64_t now, struct admit_run *run)
{
	s->at[s->n++] = now;
	admit_done(a, now, run, ADMIT_GOOD);
}

/* Sends requests in random groups with random pauses of up to @pause_us. */
static void
send_load(struct admit *a, struct starts *s, int64_t from, int64_t until,
    int64_t pause_us, struct rng *r)
{
	struct admit_item item;
	struct admit_run run;
	enum admit_reason why;
	enum admit_pop p;
	uint32_t handle;
	int64_t now;
	int k;

	for (now = from; now < until; now += 1 + rng_below(r, 10 * MS)) {
		if (!rng_below(r, 200))
			now += rng_below(r, pause_us);
		while ((p = admit_pop(a, now, &item)) != ADMIT_POP_NONE)
			if (p == ADMIT_POP_RUN)
				start(a, s, now, &item.run);
		for (k = rng_below(r, 4); k > 0; k--)
			if (admit_request(a, now, now + SECOND, 1, &run,
				&handle, &why) == ADMIT_RUN)
				start(a, s, now, &run);
	}
}

static int
most_in_window(const struct starts *s)
{
	int i, j = 0, most = 0;

	for (i = 0; i < s->n; i++) {
		while (s->at[i] - s->at[j] >= WINDOW)
			j++;
		most = MAX(most, i - j + 1);
	}
	return most;
}

START_TEST(stated_limit_holds_in_any_window)
{
	static const double limits[] = { 0.5, 1, 3, 11.7, 40, 150 };
	double per_s = limits[_i % 6];
	struct admit *a = admit_new(&config, 0);
	static struct starts s;
	struct rng r;

	rng_seed(&r, (uint64_t)_i + 1);
	s.n = 0;
	admit_set_stated_rate(a, SECOND, per_s);
	send_load(a, &s, SECOND, 20 * SECOND, 5 * SECOND, &r);
	ck_assert_int_le(most_in_window(&s),
	    (int)(per_s * WINDOW / SECOND * FACTOR) + SLACK);
	/* A full load gets at least nine tenths of it. */
	s.n = 0;
	send_load(a, &s, 30 * SECOND, 40 * SECOND, 1, &r);
	ck_assert_int_ge(s.n, (int)(0.9 * per_s * 10));
	admit_free(a);
}
END_TEST

START_TEST(change_of_the_limit_adds_no_tokens)
{
	struct admit *a = admit_new(&config, 0);
	static struct starts s;
	struct rng r;
	int64_t now;

	rng_seed(&r, 1);
	s.n = 0;
	for (now = SECOND; now < 9 * SECOND; now += 100 * MS) {
		admit_set_stated_rate(a, now, 10 + (now / MS / 100) % 2 * 0.1);
		send_load(a, &s, now, now + 100 * MS, 1, &r);
	}
	ck_assert_int_le(most_in_window(&s), (int)(10 * 4 * FACTOR) + SLACK);
	admit_free(a);
}
END_TEST

START_TEST(no_limit_after_it_was_withdrawn)
{
	struct admit *a = admit_new(&config, 0);
	static struct starts s;
	struct rng r;

	rng_seed(&r, 1);
	s.n = 0;
	admit_set_stated_rate(a, SECOND, 10);
	admit_set_stated_rate(a, 2 * SECOND, 0);
	send_load(a, &s, 2 * SECOND, 6 * SECOND, 1, &r);
	ck_assert_int_gt(most_in_window(&s), 10 * 10 * 4);
	admit_free(a);
}
END_TEST

START_TEST(report_shows_what_the_limit_leaves)
{
	struct admit *a = admit_new(&config, 0);
	struct load_report l;
	struct admit_run run;
	enum admit_reason why;
	uint32_t handle;
	int64_t now;

	for (now = 0; now < SECOND; now += 200 * MS) {
		ck_assert_int_eq(admit_request(a, now, now + SECOND, 1, &run,
				     &handle, &why),
		    ADMIT_RUN);
		admit_done(a, now + 200 * MS, &run, ADMIT_GOOD);
	}
	admit_set_stated_rate(a, now, 10);
	admit_report(a, now, &l);
	ck_assert_uint_eq(l.limit, 2);
	admit_free(a);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("stated");
	TCase *c = tcase_create("stated");
	SRunner *r;
	int failed;

	tcase_add_test(c, limit_is_a_decimal_number);
	tcase_add_test(c,
	    only_an_answer_to_a_later_request_withdraws_the_limit);
	tcase_add_test(c, limit_of_zero_lets_a_few_requests_through);
	tcase_add_loop_test(c, stated_limit_holds_in_any_window, 0, 60);
	tcase_add_test(c, change_of_the_limit_adds_no_tokens);
	tcase_add_test(c, no_limit_after_it_was_withdrawn);
	tcase_add_test(c, report_shows_what_the_limit_leaves);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
