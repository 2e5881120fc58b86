#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "admit.h"
#include "rng.h"

#define MS 1000
#define SECOND 1000000
#define SLOTS 12
#define COLD_LIMIT 3
#define RUNS_MAX 64

enum cold_kind {
	COLD_RESTART, /* restarts and announces it */
	COLD_RESET, /* restarts, which shows only as reset connections */
	COLD_IDLE, /* cold after a long time without requests */
	COLD_LATENCY, /* slower, without any other sign */
	COLD_FAILURES, /* fails some requests, then is cold */
	COLD_STALL, /* completes nothing for a while, then is cold */
	COLD_KINDS
};

struct run {
	struct admit_run run;
	int64_t end;
	int64_t deadline;
	int reset;
	int fails;
};

/**
 * struct fake - a simulated target and the admission of its daemon
 * @completed: good completions since it turned cold; its capacity is COLD_LIMIT
 *	requests in flight until these are cold_calls, and one more for each
 *	COLD_LIMIT after that
 * @detectable: when admission could first detect that the target is cold, or
 *	INT64_MAX
 * @over_after: requests started above the capacity after @detectable
 * @over_before: most requests in flight above the capacity before @detectable
 */
struct fake {
	struct admit *admit;
	struct rng rng;
	struct run run[RUNS_MAX];
	int n;
	int cold;
	int fails_left;
	int64_t stall_until;
	double completed;
	int64_t detectable;
	uint64_t over_after;
	int over_before;
	uint64_t good_in_time;
	uint64_t sent;
	int64_t deadline_of[64];
	uint32_t next_tag;
};

static struct admit_config config = { SLOTS, 260, COLD_LIMIT, 0, 20 * MS,
	500 * MS, 32, 0, 0, 0 };

static struct fake fake;

static double
exponential(struct rng *r, double mean)
{
	return -mean * log(1 - rng_unit(r));
}

static int
capacity(const struct fake *f)
{
	double more = f->completed - config.cold_calls;
	int n = COLD_LIMIT;

	if (!f->cold)
		n = SLOTS;
	else if (more > 0)
		n += (int)(more / COLD_LIMIT);
	return n < SLOTS ? n : SLOTS;
}

/** Starts a request at the target, which counts its requests in flight
 * independently of admission. */
static void
start_request(struct fake *f, int64_t now, const struct admit_run *run,
    int64_t deadline)
{
	struct run *r = &f->run[f->n++];
	double us = 500 + exponential(&f->rng, 1500);
	int over = f->n - capacity(f);

	if (f->n > SLOTS || f->n != admit_in_flight(f->admit))
		ck_abort_msg("%d requests in flight at the target", f->n);
	if (over > 0 && now > f->detectable)
		f->over_after++;
	else if (over > f->over_before)
		f->over_before = over;
	if (f->cold)
		us = over > 0 ? 60 * MS + us : 2 * us;
	r->run = *run;
	r->deadline = deadline;
	r->reset = 0;
	r->fails = f->fails_left > 0;
	if (r->fails)
		us = 300;
	r->end = now + (int64_t)us;
	if (f->stall_until > r->end)
		r->end = f->stall_until + (int64_t)us;
}

static void
pop_all(struct fake *f, int64_t now)
{
	struct admit_item item;
	enum admit_pop p;

	while ((p = admit_pop(f->admit, now, &item)) != ADMIT_POP_NONE) {
		if (p == ADMIT_POP_RUN)
			start_request(f, now, &item.run,
			    f->deadline_of[item.tag]);
	}
}

static void
send_request(struct fake *f, int64_t now, int64_t deadline)
{
	struct admit_run run;
	enum admit_reason why;
	uint32_t handle;
	uint32_t tag = f->next_tag++ % 64;

	f->sent++;
	switch (
	    admit_request(f->admit, now, deadline, tag, &run, &handle, &why)) {
	case ADMIT_RUN:
		start_request(f, now, &run, deadline);
		break;
	case ADMIT_WAIT:
		f->deadline_of[tag] = deadline;
		break;
	case ADMIT_REFUSE:
		break;
	}
}

static int
first_end(const struct fake *f)
{
	int best = -1;
	int i;

	for (i = 0; i < f->n; i++)
		if (best < 0 || f->run[i].end < f->run[best].end)
			best = i;
	return best;
}

static void
end_request(struct fake *f, int i)
{
	struct run r = f->run[i];
	enum admit_outcome o = ADMIT_GOOD;
	int slow = r.end - r.run.started > config.cold_good_us;

	f->run[i] = f->run[--f->n];
	if (r.reset)
		o = ADMIT_RESET;
	else if (r.fails)
		o = ADMIT_FAILED;
	if (r.fails && f->fails_left > 0)
		f->fails_left--;
	if (f->cold && (o != ADMIT_GOOD || slow) && r.end < f->detectable)
		f->detectable = r.end;
	if (f->cold && o == ADMIT_GOOD && !slow)
		f->completed++;
	if (o == ADMIT_GOOD && r.end <= r.deadline)
		f->good_in_time++;
	admit_done(f->admit, r.end, &r.run, o);
	pop_all(f, r.end);
}

/** Ends the requests that are due by @now, and calls admit_pop() when
 * admit_timer() says so. */
static void
advance(struct fake *f, int64_t now)
{
	for (;;) {
		int i = first_end(f);
		int64_t at = admit_timer(f->admit, now);

		if (i >= 0 && f->run[i].end <= now && f->run[i].end <= at) {
			end_request(f, i);
		} else if (at <= now) {
			pop_all(f, at);
			if (admit_timer(f->admit, at) <= at)
				ck_abort_msg("admit_timer() does not advance");
		} else {
			return;
		}
	}
}

static void
reset_all(struct fake *f, int64_t now)
{
	int i;

	for (i = 0; i < f->n; i++) {
		f->run[i].reset = 1;
		f->run[i].end = now;
	}
}

static void
turn_cold(struct fake *f, int64_t now, enum cold_kind kind)
{
	int i;

	f->cold = 1;
	f->completed = 0;
	f->detectable = INT64_MAX;
	switch (kind) {
	case COLD_RESTART:
		admit_restarted(f->admit, now);
		f->detectable = now;
		reset_all(f, now);
		break;
	case COLD_RESET:
		reset_all(f, now);
		break;
	case COLD_IDLE:
		f->detectable = now;
		break;
	case COLD_LATENCY:
		for (i = 0; i < f->n; i++)
			f->run[i].end += 60 * MS;
		break;
	case COLD_FAILURES:
		f->fails_left = 8;
		for (i = 0; i < f->n; i++)
			f->run[i].fails = 1;
		break;
	case COLD_STALL:
		f->stall_until = now + 300 * MS;
		/* as a stall: no completion since @now */
		f->detectable = now + 30 * MS;
		for (i = 0; i < f->n; i++)
			f->run[i].end += 300 * MS;
		break;
	case COLD_KINDS:
		break;
	}
}

static void
init_fake(struct fake *f, uint64_t seed)
{
	*f = (struct fake){ .detectable = 0, .cold = 1 };
	rng_seed(&f->rng, seed);
	f->admit = admit_new(&config, 0);
	ck_assert_ptr_nonnull(f->admit);
}

/** Sends @per_s requests a second from @now on for @span microseconds, each
 * with a deadline of 50 ms. Return: the end of the span */
static int64_t
send_load(struct fake *f, int64_t now, int64_t span, double per_s)
{
	int64_t until = now + span;

	for (;;) {
		now += (int64_t)exponential(&f->rng, SECOND / per_s) + 1;
		if (now > until)
			break;
		advance(f, now);
		send_request(f, now, now + 50 * MS);
	}
	advance(f, until);
	return until;
}

static int64_t
finish_all(struct fake *f, int64_t now)
{
	advance(f, now + SECOND);
	ck_assert_int_eq(f->n, 0);
	ck_assert_int_eq(admit_in_flight(f->admit), 0);
	return now + SECOND;
}

/** Warms up under load, turns cold and serves load again, several times. */
START_TEST(cold_target_not_loaded_above_capacity)
{
	enum cold_kind kind = (enum cold_kind)(_i % COLD_KINDS);
	int over_before = 0;
	uint64_t transitions = 0;
	uint64_t seed;

	config.cold_calls = _i / COLD_KINDS * 20;
	for (seed = 1; seed <= 40; seed++) {
		int64_t now = 0;
		int k;

		init_fake(&fake, seed * 1000 + (uint64_t)kind);
		for (k = 0; k < 6; k++) {
			double per_s = 1000 + 9000 * rng_unit(&fake.rng);

			now = send_load(&fake, now, 800 * MS, per_s);
			fake.cold = 0;
			now = send_load(&fake, now, 200 * MS, per_s);
			if (kind == COLD_IDLE)
				now = finish_all(&fake, now);
			turn_cold(&fake, now, kind);
			transitions++;
			now = send_load(&fake, now, 600 * MS, per_s);
			if (fake.over_before > over_before)
				over_before = fake.over_before;
			fake.over_before = 0;
		}
		ck_assert_uint_eq(fake.over_after, 0);
		admit_free(fake.admit);
	}
	printf("cold kind %d, cold_calls %d: cold %d times, no request above "
	       "capacity once detectable, at most %d before\n",
	    (int)kind, config.cold_calls, (int)transitions, over_before);
	if (kind == COLD_RESTART || kind == COLD_IDLE)
		ck_assert_int_eq(over_before, 0);
}
END_TEST

/** Answers in time per second at @times the capacity of 6000/s. */
static double
goodput(double times, uint64_t seed)
{
	int64_t now;
	uint64_t before;

	init_fake(&fake, seed);
	now = send_load(&fake, 0, SECOND, 3000);
	fake.cold = 0;
	now = send_load(&fake, now, 2 * SECOND, times * 6000);
	before = fake.good_in_time;
	send_load(&fake, now, 4 * SECOND, times * 6000);
	return (double)(fake.good_in_time - before) / 4;
}

START_TEST(goodput_through_overload)
{
	static const double times[] = { 0.8, 1, 1.2, 2, 4 };
	double rate[5];
	double peak = 0;
	int i;

	for (i = 0; i < 5; i++) {
		rate[i] = goodput(times[i], 3);
		admit_free(fake.admit);
		peak = rate[i] > peak ? rate[i] : peak;
	}
	printf("goodput at 0.8, 1, 1.2, 2, 4 times the capacity: %.0f %.0f "
	       "%.0f %.0f %.0f\n",
	    rate[0], rate[1], rate[2], rate[3], rate[4]);
	ck_assert_double_ge(rate[1], 0.9 * peak);
	ck_assert_double_ge(rate[3], 0.9 * peak);
	ck_assert_double_ge(rate[4], 0.9 * peak);
	goodput(4, 3);
	send_load(&fake, 7 * SECOND, 500 * MS, 3000);
	fake.good_in_time = 0;
	fake.sent = 0;
	send_load(&fake, 7500 * MS, SECOND, 3000);
	printf("half load, 0.5 s after four times the capacity: %d of %d in "
	       "time\n",
	    (int)fake.good_in_time, (int)fake.sent);
	ck_assert_double_ge((double)fake.good_in_time,
	    0.99 * (double)fake.sent);
	admit_free(fake.admit);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("admit");
	TCase *c = tcase_create("admit");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_set_timeout(c, 30);
	tcase_add_loop_test(c, cold_target_not_loaded_above_capacity, 0,
	    2 * COLD_KINDS);
	tcase_add_test(c, goodput_through_overload);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
