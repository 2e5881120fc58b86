#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "admit.h"
#include "rng.h"

#define MS 1000
#define SECOND 1000000
#define SLOTS 12
#define SERVICE_US 2000
#define DEADLINE_US (50 * MS)

/**
 * struct target - behaviour of a simulated target, apart from its slots
 * @knee: requests in flight beyond which its latency rises
 * @noise: factor of the latency in one of four periods of 5 ms, at random
 * @slowdown: factor of the latency from 2 s on, whatever is in flight
 */
struct target {
	const char *name;
	int knee;
	double noise;
	double slowdown;
};

struct run {
	struct admit_run run;
	int64_t end;
	int64_t deadline;
};

struct fake {
	const struct target *target;
	struct admit *admit;
	struct rng rng;
	double noise;
	int64_t noise_until;
	struct run run[SLOTS];
	int n;
	int64_t deadline[64];
	uint32_t next_tag;
	int in_time;
};

static double
latency(struct fake *f, int64_t now)
{
	double us = SERVICE_US / 4.0;
	double product = 1;
	int i;

	for (i = 0; i < 4; i++)
		product *= 1 - rng_unit(&f->rng);
	us *= -log(product);
	if (now >= f->noise_until) {
		f->noise = rng_below(&f->rng, 4) ? 1 : f->target->noise;
		f->noise_until = now + 5 * MS;
	}
	if (f->n > f->target->knee)
		us *= pow((double)f->n / f->target->knee, 1.5);
	if (now >= 2 * SECOND)
		us *= f->target->slowdown;
	return us * f->noise;
}

static void
start_request(struct fake *f, int64_t now, const struct admit_run *run,
    int64_t deadline)
{
	struct run *r;

	if (f->n == SLOTS)
		ck_abort_msg("more requests in flight than slots");
	r = &f->run[f->n++];
	r->run = *run;
	r->deadline = deadline;
	r->end = now + 1 + (int64_t)latency(f, now);
}

static void
pop_all(struct fake *f, int64_t now)
{
	struct admit_item item;
	enum admit_pop p;

	while ((p = admit_pop(f->admit, now, &item)) != ADMIT_POP_NONE)
		if (p == ADMIT_POP_RUN)
			start_request(f, now, &item.run, f->deadline[item.tag]);
}

static void
advance(struct fake *f, int64_t now)
{
	for (;;) {
		struct run r;
		int best = -1;
		int i;

		for (i = 0; i < f->n; i++)
			if (best < 0 || f->run[i].end < f->run[best].end)
				best = i;
		if (best < 0 || f->run[best].end > now)
			return;
		r = f->run[best];
		f->run[best] = f->run[--f->n];
		f->in_time += r.end <= r.deadline;
		admit_done(f->admit, r.end, &r.run, ADMIT_GOOD);
		pop_all(f, r.end);
	}
}

static void
send_request(struct fake *f, int64_t now)
{
	uint32_t tag = f->next_tag++ % 64;
	struct admit_run run;
	enum admit_reason why;
	enum admit_verdict v;
	uint32_t handle;

	v = admit_request(f->admit, now, now + DEADLINE_US, tag, &run, &handle,
	    &why);
	if (v == ADMIT_RUN)
		start_request(f, now, &run, now + DEADLINE_US);
	if (v == ADMIT_WAIT)
		f->deadline[tag] = now + DEADLINE_US;
}

/** Answers in time per second between 3 s and 8 s, with @per_s requests a
 * second from 1 s on. */
static double
goodput(const struct target *target, double per_s, uint64_t seed)
{
	static const struct admit_config config = { SLOTS, 260, 3, 0, 20 * MS,
		0, 32, 0, 0, 0 };
	static struct fake f;
	int64_t now = 0;
	int before = 0;

	f = (struct fake){ .target = target, .noise = 1 };
	rng_seed(&f.rng, seed);
	f.admit = admit_new(&config, 0);
	while (now < 8 * SECOND) {
		double rate = now < SECOND ? 1500 : per_s;

		now += 1 - (int64_t)(SECOND / rate * log(1 - rng_unit(&f.rng)));
		advance(&f, now);
		if (now < 3 * SECOND)
			before = f.in_time;
		send_request(&f, now);
	}
	admit_free(f.admit);
	return (f.in_time - before) / 5.0;
}

/** Checks the goodput at 0.8, 1, 2 and 4 times @capacity, in requests a second,
 * against the shares of it in @least. */
static void
check_overload(const struct target *target, double capacity,
    const double *least)
{
	static const double times[] = { 0.8, 1, 2, 4 };
	uint64_t seed;
	int i;

	for (seed = 1; seed <= 4; seed++) {
		printf("%s, capacity %.0f/s, goodput:", target->name, capacity);
		for (i = 0; i < 4; i++) {
			double got = goodput(target, times[i] * capacity, seed);

			printf(" %.0f", got);
			ck_assert_double_ge(got, least[i] * capacity);
		}
		printf("\n");
	}
}

START_TEST(all_slots_usable)
{
	static const struct target target = { "no knee", SLOTS, 1, 1 };
	static const double least[] = { 0.78, 0.95, 0.97, 0.97 };

	check_overload(&target, 6000, least);
}
END_TEST

/** With all twelve slots in use this target would answer 2120 requests a
 * second, 0.71 of its capacity. */
START_TEST(slots_twice_the_knee)
{
	static const struct target target = { "knee at 6 slots", 6, 1, 1 };
	static const double least[] = { 0.78, 0.8, 0.8, 0.8 };

	check_overload(&target, 3000, least);
}
END_TEST

/** The mean latency is 1.5 times as long, so the capacity is 4000 requests a
 * second; in some of the periods of 5 ms slots are idle, in others there are
 * too few. */
START_TEST(noisy_latency_keeps_goodput)
{
	static const struct target target = { "noisy latency", SLOTS, 3, 1 };
	static const double least[] = { 0.78, 0.9, 0.97, 0.97 };

	check_overload(&target, 4000, least);
}
END_TEST

START_TEST(slower_target_keeps_goodput)
{
	static const struct target target = { "slower after 2 s", SLOTS, 1, 3 };
	static const double least[] = { 0.78, 0.9, 0.95, 0.95 };

	check_overload(&target, 2000, least);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("limit");
	TCase *c = tcase_create("limit");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_set_timeout(c, 60);
	tcase_add_test(c, all_slots_usable);
	tcase_add_test(c, slots_twice_the_knee);
	tcase_add_test(c, noisy_latency_keeps_goodput);
	tcase_add_test(c, slower_target_keeps_goodput);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
