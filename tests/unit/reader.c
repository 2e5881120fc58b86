#include <check.h>
#include <stdlib.h>

#include "reader.h"

#define MS INT64_C(1000)
#define SECOND (1000 * MS)
#define TOP_RANKS 3

/* Readings of a fleet, of which some daemons are answered by the platform. */
struct play {
	int n;
	int answered_from; /* daemons from this one on are answered */
	int64_t answer_us; /* time that an answer takes */
	int64_t spread_us; /* time until all know of a reading */
	struct reader reader[1000];
	int64_t busy_until[1000]; /* a try without an answer ends then */
	int64_t read_at;
	int64_t oldest; /* greatest age of the newest reading */
	int tries;
};

static double
draw(void)
{
	return rand() / (RAND_MAX + 1.0);
}

static void
play_init(struct play *p, int n, int answered_from, unsigned seed)
{
	int i;

	*p = (struct play){ .n = n,
		.answered_from = answered_from,
		.answer_us = 4 * MS,
		.spread_us = 50 * MS };
	srand(seed);
	for (i = 0; i < n; i++)
		p->reader[i].draw = draw();
}

static void
step(struct play *p, int64_t now)
{
	int i, rank;

	for (i = 0; i < p->n; i++) {
		int own = p->reader[i].own_at == p->read_at;

		if (p->busy_until[i] > now ||
		    (!own && now < p->read_at + p->spread_us))
			continue;
		rank = i < TOP_RANKS ? i : READER_NO_RANK;
		if (reader_due(&p->reader[i], p->read_at, rank, p->n) > now)
			continue;
		p->tries++;
		if (i >= p->answered_from) {
			p->read_at = now + p->answer_us;
			reader_succeeded(&p->reader[i], p->read_at,
			    p->answer_us);
			p->busy_until[i] = p->read_at;
		} else {
			reader_failed(&p->reader[i], draw(), now);
			p->busy_until[i] = now + SECOND;
		}
	}
}

static void
run(struct play *p, int64_t from, int64_t until)
{
	int64_t now;

	for (now = from; now < until; now += 5 * MS) {
		step(p, now);
		if (now - p->read_at > p->oldest)
			p->oldest = now - p->read_at;
	}
}

static const int sizes[] = { 13, 77, 295, 990 };

/* At rest one daemon of the fleet reads once a second, whatever its size. */
START_TEST(one_daemon_reads_at_rest)
{
	static struct play p;

	play_init(&p, sizes[_i], 0, 1);
	run(&p, 0, 20 * SECOND);
	ck_assert_int_ge(p.tries, 18);
	ck_assert_int_le(p.tries, 21);
	ck_assert_int_le(p.oldest, 1300 * MS);
}
END_TEST

/* The platform turns away 0.6 of the daemons, all verifiers and the last reader
 * among them: the next reading comes within 2 s of the last one, with few
 * tries, and then one daemon goes on as at rest. */
START_TEST(others_take_over_from_daemons_that_are_turned_away)
{
	static struct play p;
	unsigned seed;

	for (seed = 1; seed <= 20; seed++) {
		play_init(&p, sizes[_i], sizes[_i] * 6 / 10, seed);
		run(&p, 0, 3 * SECOND);
		ck_assert_int_le(p.oldest, 2000 * MS);
		ck_assert_int_le(p.tries, 20);
		p.tries = 0;
		p.oldest = 0;
		run(&p, 3 * SECOND, 10 * SECOND);
		ck_assert_int_le(p.oldest, 1100 * MS);
		ck_assert_int_le(p.tries, 8);
	}
}
END_TEST

/* Nobody is answered: the calls of a fleet of any size stay few. */
START_TEST(calls_stay_few_while_nobody_is_answered)
{
	static struct play p;

	play_init(&p, sizes[_i], sizes[_i], 3);
	run(&p, 0, 30 * SECOND);
	ck_assert_int_le(p.tries, 30 * 30);
}
END_TEST

/* A platform that takes 2 s to answer is not asked by ever more daemons. */
START_TEST(a_slow_platform_is_asked_by_few)
{
	static struct play p;

	play_init(&p, sizes[_i], 0, 4);
	run(&p, 0, 5 * SECOND);
	p.answer_us = 2 * SECOND;
	run(&p, 5 * SECOND, 10 * SECOND);
	p.tries = 0;
	run(&p, 10 * SECOND, 40 * SECOND);
	ck_assert_int_le(p.tries, 30);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("reader");
	TCase *c = tcase_create("reader");
	SRunner *r = srunner_create(s);
	int n = sizeof sizes / sizeof *sizes, failed;

	tcase_set_timeout(c, 30);
	tcase_add_loop_test(c, one_daemon_reads_at_rest, 0, n);
	tcase_add_loop_test(c,
	    others_take_over_from_daemons_that_are_turned_away, 0, n);
	tcase_add_loop_test(c, calls_stay_few_while_nobody_is_answered, 0, n);
	tcase_add_loop_test(c, a_slow_platform_is_asked_by_few, 0, n);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
