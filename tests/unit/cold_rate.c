#include <check.h>
#include <stdlib.h>

#include "admit.h"
#include "rng.h"

#include <glib.h>

#define MS 1000
#define SECOND 1000000
#define RUN_S 6
#define STARTS_MAX 4096

static const struct admit_config config = { .slots = 18,
	.connections = 40,
	.cold_limit = 100000,
	.cold_good_us = SECOND,
	.queue_max = 64,
	.cold_per_s = 19,
	.cold_burst = 2 };

struct starts {
	int64_t at[STARTS_MAX];
	int n;
};

static void
run_request(struct admit *a, struct starts *s, int64_t now,
    struct admit_run *run)
{
	s->at[s->n++] = now;
	/* The request ends at once, so that the slots are never all in use. */
	admit_done(a, now, run, ADMIT_GOOD);
}

static void
pop_all(struct admit *a, struct starts *s, int64_t now)
{
	struct admit_item item;
	enum admit_pop p;

	while ((p = admit_pop(a, now, &item)) != ADMIT_POP_NONE)
		if (p == ADMIT_POP_RUN)
			run_request(a, s, now, &item.run);
}

/* Sends about @per_s requests a second for RUN_S seconds, in random groups of
 * none to two at a time. */
static void
send_load(struct admit *a, struct starts *s, int per_s, uint64_t seed)
{
	struct rng r;
	int64_t now = 10 * SECOND, end = now + RUN_S * SECOND, due;
	uint32_t handle, tag = 0;
	enum admit_reason why;
	struct admit_run run;
	int k;

	rng_seed(&r, seed);
	while (now < end) {
		due = admit_timer(a, now);
		if (due <= now)
			pop_all(a, s, now);
		for (k = rng_below(&r, 3); k > 0; k--)
			if (admit_request(a, now, now + SECOND, ++tag, &run,
				&handle, &why) == ADMIT_RUN)
				run_request(a, s, now, &run);
		pop_all(a, s, now);
		now += 1 + rng_below(&r, 2 * SECOND / per_s);
	}
}

/* Largest number of starts within any second. */
static int
most_per_second(const struct starts *s)
{
	int i, j = 0, most = 0;

	for (i = 0; i < s->n; i++) {
		while (s->at[i] - s->at[j] >= SECOND)
			j++;
		most = MAX(most, i - j + 1);
	}
	return most;
}

START_TEST(cold_rate_holds_in_any_second)
{
	struct admit *a = admit_new(&config, 10 * SECOND);
	static struct starts s;

	s.n = 0;
	admit_set_cold(a, 10 * SECOND, 100 * SECOND);
	send_load(a, &s, 200, (uint64_t)_i + 1);
	ck_assert_int_le(most_per_second(&s),
	    (int)config.cold_per_s + config.cold_burst);
	/* At least nine tenths of the rate are used. */
	ck_assert_int_ge(s.n, (int)(0.9 * config.cold_per_s * RUN_S));
	admit_free(a);
}
END_TEST

/* A cold target gets nine tenths of its rate at least, and in no second more
 * than its rate times its overshoot plus its slack. */
START_TEST(overshoot_is_used_but_not_exceeded)
{
	static const struct {
		double per_s, overshoot;
		int slack;
	} t[] = { { 19, 1.5, 5 }, { 15, 1.5, 8 }, { 4, 2, 0 }, { 100, 1, 10 } };
	static struct starts s;
	size_t i;

	for (i = 0; i < sizeof t / sizeof *t; i++) {
		struct admit_config c = config;
		struct admit *a;

		admit_set_cold_rate(&c, t[i].per_s, t[i].overshoot, t[i].slack);
		a = admit_new(&c, 10 * SECOND);
		s.n = 0;
		admit_set_cold(a, 10 * SECOND, 100 * SECOND);
		send_load(a, &s, 400, (uint64_t)_i + 1);
		ck_assert_int_le(most_per_second(&s),
		    (int)(t[i].per_s * t[i].overshoot) + MAX(t[i].slack, 1));
		ck_assert_int_ge(s.n, (int)(0.9 * t[i].per_s * RUN_S));
		admit_free(a);
	}
}
END_TEST

/* The bound holds after an idle time as well, when the saved tokens are spent
 * at once. */
START_TEST(idle_time_earns_no_more_than_the_slack)
{
	struct admit_config c = config;
	struct admit *a;
	struct admit_run run;
	enum admit_reason why;
	uint32_t handle;
	int64_t now;
	int n = 0;

	admit_set_cold_rate(&c, 19, 1.5, 5);
	a = admit_new(&c, 10 * SECOND);
	admit_set_cold(a, 10 * SECOND, 100 * SECOND);
	for (now = 20 * SECOND; now < 21 * SECOND; now += 5 * MS) {
		if (admit_request(a, now, now + MS, 1, &run, &handle, &why) ==
		    ADMIT_RUN) {
			n++;
			admit_done(a, now, &run, ADMIT_GOOD);
		} else if (why == ADMIT_OK) {
			admit_cancel(a, handle);
		}
	}
	ck_assert_int_le(n, (int)(19 * 1.5) + 5);
	ck_assert_int_ge(n, 19);
	admit_free(a);
}
END_TEST

START_TEST(warm_target_has_no_rate_limit)
{
	struct admit *a = admit_new(&config, 10 * SECOND);
	static struct starts s;

	s.n = 0;
	admit_set_cold(a, 10 * SECOND, 9 * SECOND);
	send_load(a, &s, 200, (uint64_t)_i + 1);
	ck_assert_int_ge(most_per_second(&s), 4 * (int)config.cold_per_s);
	admit_free(a);
}
END_TEST

/* Repeated reports that a target is cold, as its heartbeats bring them, add no
 * tokens for a burst. */
START_TEST(repeated_cold_reports_add_no_tokens)
{
	struct admit *a = admit_new(&config, 0);
	struct admit_run run;
	enum admit_reason why;
	uint32_t handle;
	int64_t now;
	int n = 0;

	for (now = SECOND; now < 2 * SECOND; now += 10 * MS) {
		admit_set_cold(a, now, now + SECOND);
		if (admit_request(a, now, now + MS, 1, &run, &handle, &why) ==
		    ADMIT_RUN) {
			n++;
			admit_done(a, now, &run, ADMIT_GOOD);
		} else if (why == ADMIT_OK) {
			admit_cancel(a, handle);
		}
	}
	ck_assert_int_le(n, (int)config.cold_per_s);
	ck_assert_int_ge(n, (int)config.cold_per_s - 4);
	admit_free(a);
}
END_TEST

START_TEST(hold_delays_requests_until_it_ends)
{
	struct admit *a = admit_new(&config, 0);
	static struct starts s;
	struct admit_run run;
	enum admit_reason why;
	uint32_t handle;
	int i;

	s.n = 0;
	admit_set_hold(a, 50 * MS);
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(admit_request(a, 10 * MS, SECOND, 1, &run,
				     &handle, &why),
		    ADMIT_WAIT);
	pop_all(a, &s, 49 * MS);
	ck_assert_int_eq(s.n, 0);
	ck_assert_int_eq(admit_timer(a, 49 * MS), 50 * MS);
	pop_all(a, &s, 50 * MS);
	ck_assert_int_eq(s.n, 5);
	admit_free(a);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("cold_rate");
	TCase *c = tcase_create("cold_rate");
	SRunner *r;
	int failed;

	tcase_add_loop_test(c, cold_rate_holds_in_any_second, 0, 20);
	tcase_add_test(c, idle_time_earns_no_more_than_the_slack);
	tcase_add_loop_test(c, overshoot_is_used_but_not_exceeded, 0, 5);
	tcase_add_loop_test(c, warm_target_has_no_rate_limit, 0, 5);
	tcase_add_test(c, repeated_cold_reports_add_no_tokens);
	tcase_add_test(c, hold_delays_requests_until_it_ends);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
