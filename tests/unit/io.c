#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "io.h"

#define TIMERS 200
#define READY_MAX 300 /* more than one look at the descriptors finds */

struct fixture {
	GMainContext *context;
	struct io_loop *loop;
	int callbacks; /* timer and watch callbacks run so far */
	int64_t last_due;
	int64_t late_us; /* sum over all calls of measure_lateness() */
	struct io_watch watch[2];
	int pipe[2][2];
	struct io_timer timer[TIMERS];
};

static struct fixture fixture;

static void
setup(void)
{
	memset(&fixture, 0, sizeof fixture);
	fixture.context = g_main_context_new();
	fixture.loop = io_loop_new(fixture.context);
	ck_assert_ptr_nonnull(fixture.loop);
}

static void
teardown(void)
{
	io_loop_free(fixture.loop);
	g_main_context_unref(fixture.context);
}

static void
check_order(void *ctx, int64_t now)
{
	struct io_timer *t = ctx;

	ck_assert_int_le(t->due, now);
	ck_assert_int_ge(t->due, fixture.last_due);
	fixture.last_due = t->due;
	fixture.callbacks++;
}

START_TEST(a_stopped_loop_calls_back_nothing)
{
	struct io_timer *t = &fixture.timer[0];

	t->fire = check_order;
	t->ctx = t;
	io_timer_set(fixture.loop, t, io_now(fixture.loop));
	io_loop_stop(fixture.loop);
	io_timer_set(fixture.loop, &fixture.timer[1], io_now(fixture.loop));
	while (g_main_context_iteration(fixture.context, FALSE))
		;
	ck_assert_int_eq(fixture.callbacks, 0);
	io_timer_clear(fixture.loop, t);
	io_timer_clear(fixture.loop, &fixture.timer[1]);
}
END_TEST

START_TEST(timers_fire_in_order_and_cleared_ones_never)
{
	int64_t now = io_now(fixture.loop);
	unsigned seed = 7;
	int i;

	for (i = 0; i < TIMERS; i++) {
		fixture.timer[i].fire = check_order;
		fixture.timer[i].ctx = &fixture.timer[i];
		seed = seed * 1103515245 + 12345;
		io_timer_set(fixture.loop, &fixture.timer[i],
		    now + seed % 20000);
	}
	for (i = 0; i < TIMERS; i += 4)
		io_timer_clear(fixture.loop, &fixture.timer[i]);
	for (i = 1; i < TIMERS; i += 4)
		io_timer_set(fixture.loop, &fixture.timer[i], now + 30000 - i);
	while (fixture.callbacks < TIMERS * 3 / 4)
		g_main_context_iteration(fixture.context, TRUE);
	for (i = 0; i < TIMERS; i++)
		ck_assert_int_eq(fixture.timer[i].pos, 0);
}
END_TEST

static void
rearm(void *ctx, int64_t now)
{
	fixture.callbacks++;
	io_timer_set(fixture.loop, ctx, now);
}

START_TEST(timer_set_in_its_callback_fires_in_the_next_iteration)
{
	fixture.timer[0].fire = rearm;
	fixture.timer[0].ctx = &fixture.timer[0];
	io_timer_set(fixture.loop, &fixture.timer[0], io_now(fixture.loop));
	g_main_context_iteration(fixture.context, TRUE);
	ck_assert_int_eq(fixture.callbacks, 1);
	g_main_context_iteration(fixture.context, TRUE);
	ck_assert_int_eq(fixture.callbacks, 2);
	io_timer_clear(fixture.loop, &fixture.timer[0]);
}
END_TEST

#define SHORT_TIMER_US 300
#define SHORT_TIMER_RUNS 200

static void
measure_lateness(void *ctx, int64_t now)
{
	struct io_timer *t = ctx;

	ck_assert_int_ge(now, t->due);
	fixture.late_us += now - t->due;
	if (++fixture.callbacks < SHORT_TIMER_RUNS)
		io_timer_set(fixture.loop, t, now + SHORT_TIMER_US);
}

/* With expiry rounded up to milliseconds, the timer would be late by more than
 * SHORT_TIMER_US on average. A busy machine can delay it as much, so one good
 * run out of 20 is enough. */
START_TEST(timers_have_submillisecond_resolution)
{
	int i;

	fixture.timer[0].fire = measure_lateness;
	fixture.timer[0].ctx = &fixture.timer[0];
	for (i = 0; i < 20; i++) {
		fixture.callbacks = 0;
		fixture.late_us = 0;
		io_timer_set(fixture.loop, &fixture.timer[0],
		    io_now(fixture.loop) + SHORT_TIMER_US);
		while (fixture.callbacks < SHORT_TIMER_RUNS)
			g_main_context_iteration(fixture.context, TRUE);
		if (fixture.late_us / SHORT_TIMER_RUNS < SHORT_TIMER_US)
			return;
	}
	ck_abort_msg("timer is late by %d us on average",
	    (int)(fixture.late_us / SHORT_TIMER_RUNS));
}
END_TEST

static void
remove_other(void *ctx, int ready)
{
	int other = ctx == &fixture.watch[0];

	ck_assert(ready & IO_READ);
	fixture.callbacks++;
	if (fixture.watch[other].slot == 0)
		return;
	io_watch_remove(fixture.loop, &fixture.watch[other]);
	/* The new watch may get the same slot. The event still pending for the
	 * removed watch must not reach it. */
	memset(&fixture.watch[other], 0, sizeof fixture.watch[other]);
	io_watch_add(fixture.loop, &fixture.watch[other],
	    fixture.pipe[other][0], 0, remove_other, NULL);
}

START_TEST(watch_removed_in_the_same_batch_is_not_called)
{
	int i;

	for (i = 0; i < 2; i++) {
		ck_assert_int_eq(pipe(fixture.pipe[i]), 0);
		ck_assert_int_eq(write(fixture.pipe[i][1], "x", 1), 1);
		ck_assert_int_eq(io_watch_add(fixture.loop, &fixture.watch[i],
				     fixture.pipe[i][0], IO_READ, remove_other,
				     &fixture.watch[i]),
		    0);
	}
	g_main_context_iteration(fixture.context, TRUE);
	ck_assert_int_eq(fixture.callbacks, 1);
	for (i = 0; i < 2; i++) {
		io_watch_remove(fixture.loop, &fixture.watch[i]);
		close(fixture.pipe[i][0]);
		close(fixture.pipe[i][1]);
	}
}
END_TEST

static void
count_ready(void *ctx, int ready)
{
	char c;

	ck_assert_int_eq(read(*(int *)ctx, &c, 1), 1);
	fixture.callbacks++;
}

static void
note_callbacks(void *ctx, int64_t now)
{
	*(int *)ctx = fixture.callbacks;
}

/* A timer may be the time limit of what has come in one of the descriptors. */
START_TEST(late_timers_fire_behind_all_that_is_ready)
{
	static struct io_watch watch[READY_MAX];
	static int fd[READY_MAX][2];
	int i, before = -1;
	struct io_timer t = { 0 };

	t.fire = note_callbacks;
	t.ctx = &before;
	for (i = 0; i < READY_MAX; i++) {
		ck_assert_int_eq(pipe(fd[i]), 0);
		ck_assert_int_eq(write(fd[i][1], "x", 1), 1);
		ck_assert_int_eq(io_watch_add(fixture.loop, &watch[i], fd[i][0],
				     IO_READ, count_ready, &fd[i][0]),
		    0);
	}
	io_timer_set(fixture.loop, &t, io_clock());
	while (before < 0)
		g_main_context_iteration(fixture.context, TRUE);
	ck_assert_int_eq(before, READY_MAX);
	for (i = 0; i < READY_MAX; i++) {
		io_watch_remove(fixture.loop, &watch[i]);
		close(fd[i][0]);
		close(fd[i][1]);
	}
}
END_TEST

START_TEST(invalid_addresses_are_rejected)
{
	ck_assert_int_eq(io_listen_tcp("localhost", 0), -1);
	ck_assert_int_eq(io_connect_tcp("127.0.0.1", 70000), -1);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("io");
	TCase *c = tcase_create("io");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_set_timeout(c, 60);
	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_test(c, a_stopped_loop_calls_back_nothing);
	tcase_add_test(c, timers_fire_in_order_and_cleared_ones_never);
	tcase_add_test(c,
	    timer_set_in_its_callback_fires_in_the_next_iteration);
	tcase_add_test(c, timers_have_submillisecond_resolution);
	tcase_add_test(c, watch_removed_in_the_same_batch_is_not_called);
	tcase_add_test(c, late_timers_fire_behind_all_that_is_ready);
	tcase_add_test(c, invalid_addresses_are_rejected);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
