#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "io.h"

#define TIMERS 200

struct bed {
	GMainContext *main;
	struct io_loop *loop;
	int fired;
	int64_t last_due;
	int64_t late;
	struct io_watch watch[2];
	int pipe[2][2];
	struct io_timer timer[TIMERS];
};

static struct bed bed;

static void
setup(void)
{
	memset(&bed, 0, sizeof bed);
	bed.main = g_main_context_new();
	bed.loop = io_loop_new(bed.main);
	ck_assert_ptr_nonnull(bed.loop);
}

static void
teardown(void)
{
	io_loop_free(bed.loop);
	g_main_context_unref(bed.main);
}

static void
in_order(void *ctx, int64_t now)
{
	struct io_timer *t = ctx;

	ck_assert_int_le(t->due, now);
	ck_assert_int_ge(t->due, bed.last_due);
	bed.last_due = t->due;
	bed.fired++;
}

START_TEST(timers_fire_in_order_and_cleared_ones_never)
{
	int64_t now = io_now(bed.loop);
	unsigned seed = 7;
	int i;

	for (i = 0; i < TIMERS; i++) {
		bed.timer[i].fire = in_order;
		bed.timer[i].ctx = &bed.timer[i];
		seed = seed * 1103515245 + 12345;
		io_timer_set(bed.loop, &bed.timer[i], now + seed % 20000);
	}
	for (i = 0; i < TIMERS; i += 4)
		io_timer_clear(bed.loop, &bed.timer[i]);
	for (i = 1; i < TIMERS; i += 4)
		io_timer_set(bed.loop, &bed.timer[i], now + 30000 - i);
	while (bed.fired < TIMERS * 3 / 4)
		g_main_context_iteration(bed.main, TRUE);
	for (i = 0; i < TIMERS; i++)
		ck_assert_int_eq(bed.timer[i].pos, 0);
}
END_TEST

static void
again(void *ctx, int64_t now)
{
	bed.fired++;
	io_timer_set(bed.loop, ctx, now);
}

START_TEST(timer_set_by_itself_waits_for_the_next_iteration)
{
	bed.timer[0].fire = again;
	bed.timer[0].ctx = &bed.timer[0];
	io_timer_set(bed.loop, &bed.timer[0], io_now(bed.loop));
	g_main_context_iteration(bed.main, TRUE);
	ck_assert_int_eq(bed.fired, 1);
	g_main_context_iteration(bed.main, TRUE);
	ck_assert_int_eq(bed.fired, 2);
	io_timer_clear(bed.loop, &bed.timer[0]);
}
END_TEST

#define SHORT_US 300
#define SHORT_TIMERS 200

static void
on_time(void *ctx, int64_t now)
{
	struct io_timer *t = ctx;

	ck_assert_int_ge(now, t->due);
	bed.late += now - t->due;
	if (++bed.fired < SHORT_TIMERS)
		io_timer_set(bed.loop, t, now + SHORT_US);
}

/* Rounding to milliseconds would make them more than SHORT_US late on average;
 * a busy machine may do so as well, hence the attempts. */
START_TEST(timers_are_finer_than_milliseconds)
{
	int i;

	bed.timer[0].fire = on_time;
	bed.timer[0].ctx = &bed.timer[0];
	for (i = 0; i < 20; i++) {
		bed.fired = 0;
		bed.late = 0;
		io_timer_set(bed.loop, &bed.timer[0],
		    io_now(bed.loop) + SHORT_US);
		while (bed.fired < SHORT_TIMERS)
			g_main_context_iteration(bed.main, TRUE);
		if (bed.late / SHORT_TIMERS < SHORT_US)
			return;
	}
	ck_abort_msg("late by %d us", (int)(bed.late / SHORT_TIMERS));
}
END_TEST

static void
remove_other(void *ctx, int ready)
{
	int other = ctx == &bed.watch[0];

	ck_assert(ready & IO_READ);
	bed.fired++;
	if (bed.watch[other].slot == 0)
		return;
	io_watch_remove(bed.loop, &bed.watch[other]);
	/* a new watch may take the slot at once */
	memset(&bed.watch[other], 0, sizeof bed.watch[other]);
	io_watch_add(bed.loop, &bed.watch[other], bed.pipe[other][0], 0,
	    remove_other, NULL);
}

START_TEST(watch_removed_in_the_same_batch_is_not_called)
{
	int i;

	for (i = 0; i < 2; i++) {
		ck_assert_int_eq(pipe(bed.pipe[i]), 0);
		ck_assert_int_eq(write(bed.pipe[i][1], "x", 1), 1);
		ck_assert_int_eq(io_watch_add(bed.loop, &bed.watch[i],
				     bed.pipe[i][0], IO_READ, remove_other,
				     &bed.watch[i]),
		    0);
	}
	g_main_context_iteration(bed.main, TRUE);
	ck_assert_int_eq(bed.fired, 1);
	for (i = 0; i < 2; i++) {
		io_watch_remove(bed.loop, &bed.watch[i]);
		close(bed.pipe[i][0]);
		close(bed.pipe[i][1]);
	}
}
END_TEST

START_TEST(bad_addresses_are_refused)
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
	tcase_add_test(c, timers_fire_in_order_and_cleared_ones_never);
	tcase_add_test(c, timer_set_by_itself_waits_for_the_next_iteration);
	tcase_add_test(c, timers_are_finer_than_milliseconds);
	tcase_add_test(c, watch_removed_in_the_same_batch_is_not_called);
	tcase_add_test(c, bad_addresses_are_refused);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
