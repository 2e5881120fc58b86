#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once.h"

#define SELF 0xfeed
#define SEEDS 60 /* unless the environment variable SEEDS is set */
#define STEPS 4000
#define IDS_MAX 400
#define MS INT64_C(1000)

/* What the test knows of one request id. */
struct test_id {
	char id[ONCE_ID_LEN + 1];
	uint64_t created_ms;
	uint64_t entry; /* handle while in progress, else 0 */
	int64_t deadline; /* of the arrival that runs */
	int arrived; /* at least once */
	int sent; /* to the target */
	int done; /* the target's answer is whole */
	int not_started; /* as the target said */
	int refused; /* not run, and never may be */
	int waiting; /* repeats that wait for an answer */
};

struct fixture {
	struct once *once;
	struct once_limits limits;
	GRand *rand;
	int64_t now;
	struct test_id id[IDS_MAX];
	int nid;
	int replies;
	int runs;
};

static void
check_outcome(struct test_id *t, enum once_outcome outcome,
    const struct once_answer *a)
{
	ck_assert_int_eq(outcome == ONCE_ANSWER, a != NULL);
	if (outcome == ONCE_ANSWER || outcome == ONCE_RAN)
		ck_assert(t->sent && t->done && !t->not_started);
	if (a) {
		ck_assert_int_eq(a->body_len % ONCE_ID_LEN, 0);
		ck_assert_mem_eq(a->body, t->id, ONCE_ID_LEN);
		ck_assert_str_eq(a->field[1].value, t->id);
		ck_assert_int_eq(a->status, 201);
	}
	if (outcome == ONCE_NOT_RUN) {
		ck_assert(!t->sent || t->not_started);
		t->refused = 1;
	}
}

static void
on_reply(void *ctx, void *arg, enum once_outcome outcome,
    const struct once_answer *a)
{
	struct fixture *f = ctx;
	struct test_id *t = arg;

	check_outcome(t, outcome, a);
	t->waiting--;
	f->replies++;
	ck_assert_int_ge(t->waiting, 0);
}

static void
mint_id(struct fixture *f)
{
	struct once_clock clock = { 0 };
	uint8_t random[ONCE_RANDOM_LEN];
	struct test_id *t;
	struct once_id id;
	int i;

	if (f->nid == IDS_MAX)
		return;
	t = &f->id[f->nid++];
	for (i = 0; i < ONCE_RANDOM_LEN; i++)
		random[i] = (uint8_t)g_rand_int(f->rand);
	/* The time of the other clock arrives up to 20 ms late. */
	once_clock_update(&clock,
	    f->now - g_rand_int_range(f->rand, 0, 20) * MS, f->now + 77);
	once_id_mint(&id, SELF, &clock, f->now + 77, random);
	t->created_ms = id.created_ms;
	once_id_format(&id, t->id);
}

static void
check_arrival(struct fixture *f, struct test_id *t, enum once_outcome outcome,
    int64_t deadline, uint64_t evictions)
{
	struct once_stats s;

	once_stats(f->once, &s);
	if (outcome == ONCE_RUN) {
		ck_assert(!t->arrived && !t->sent && !t->refused);
		ck_assert_int_lt(f->now, deadline);
	}
	/* An id that never arrived is unknown only if it may have been evicted,
	 * that is, if it is no newer than the newest evicted id. */
	if (outcome == ONCE_UNKNOWN && !t->arrived)
		ck_assert(evictions > 0 && t->created_ms <= s.horizon);
	ck_assert(outcome < ONCE_ELSEWHERE);
}

static void
receive_request(struct fixture *f, struct test_id *t)
{
	int64_t deadline = f->now + g_rand_int_range(f->rand, -20, 300) * MS;
	struct once_request r = { t->id, deadline, t };
	const struct once_answer *a;
	struct once_stats s;
	enum once_outcome outcome;
	uint64_t h;

	once_stats(f->once, &s);
	outcome = once_receive_request(f->once, &r, f->now, &h, &a);
	ck_assert_int_eq(outcome == ONCE_RUN || outcome == ONCE_WAIT, h != 0);
	check_arrival(f, t, outcome, deadline, s.ids_evicted);
	check_outcome(t, outcome, a);
	t->arrived = 1;
	if (outcome == ONCE_RUN) {
		t->entry = h;
		t->deadline = deadline;
	}
	if (outcome == ONCE_WAIT) {
		t->waiting++;
		ck_assert_int_lt(f->now, deadline);
	}
	if (outcome == ONCE_WAIT && g_rand_int_range(f->rand, 0, 8) == 0) {
		once_cancel_waiter(f->once, h);
		/* The handle is invalid now: no effect. */
		once_cancel_waiter(f->once, h);
		t->waiting--;
	}
}

static void
send_to_target(struct fixture *f, struct test_id *t)
{
	if (g_rand_int_range(f->rand, 0, 4) == 0) /* paused before the send */
		f->now += g_rand_int_range(f->rand, 0, 400) * MS;
	if (once_begin_send(f->once, t->entry, f->now)) {
		ck_assert(!t->sent && !t->refused);
		ck_assert_int_lt(f->now, t->deadline);
		t->sent = 1;
		f->runs++;
	} else if (!t->sent) {
		t->refused = 1;
		t->entry = 0;
	}
}

static void
answer_request(struct fixture *f, struct test_id *t)
{
	const struct once_field field[] = { { "Kind", "x" }, { "Id", t->id } };
	int i, n = g_rand_int_range(f->rand, 1, 12);

	if (g_rand_int_range(f->rand, 0, 10))
		once_store_head(f->once, t->entry, 201, field, 2);
	for (i = 0; i < n; i++)
		once_store_body(f->once, t->entry, t->id, ONCE_ID_LEN);
	t->done = 1;
	once_done(f->once, t->entry);
	/* The handle is invalid now: no effect. */
	once_done(f->once, t->entry);
}

static void
finish_request(struct fixture *f, struct test_id *t)
{
	int how = g_rand_int_range(f->rand, 0, 8);
	enum once_outcome outcome;

	if (how >= 3 && t->sent) {
		answer_request(f, t);
	} else if (how == 0 && t->sent) {
		t->not_started = 1;
		check_outcome(t, once_known_not_run(f->once, t->entry), NULL);
	} else {
		outcome = how == 1 ? once_answer_lost(f->once, t->entry)
				   : once_not_run(f->once, t->entry);
		ck_assert_int_eq(outcome,
		    t->sent ? ONCE_UNKNOWN : ONCE_NOT_RUN);
		check_outcome(t, outcome, NULL);
	}
	ck_assert_int_eq(t->waiting, 0);
	t->entry = 0;
}

static void
random_step(struct fixture *f)
{
	struct test_id *t;

	f->now += g_rand_int_range(f->rand, 0, 3000);
	if (g_rand_int_range(f->rand, 0, 8) == 0)
		mint_id(f);
	/* Three times out of four one of the 12 newest ids, otherwise any. */
	t = &f->id[g_rand_int_range(f->rand,
	    g_rand_int_range(f->rand, 0, 4) ? MAX(0, f->nid - 12) : 0, f->nid)];
	if (t->entry && g_rand_int_range(f->rand, 0, 2)) {
		if (!t->sent)
			send_to_target(f, t);
		else
			finish_request(f, t);
	} else if (t->entry && g_rand_int_range(f->rand, 0, 16) == 0) {
		finish_request(f, t);
	} else {
		receive_request(f, t);
	}
	once_expire_waiters(f->once, f->now);
	if (once_next_deadline(f->once) <= f->now)
		ck_abort_msg("a waiter past its deadline got no reply");
}

static void
check_bounds(const struct fixture *f)
{
	uint32_t waiting = 0, in_progress = 0;
	struct once_stats s;
	int i;

	once_stats(f->once, &s);
	for (i = 0; i < f->nid; i++) {
		waiting += (uint32_t)f->id[i].waiting;
		in_progress += f->id[i].entry != 0;
	}
	ck_assert_int_eq(s.waiters, waiting);
	ck_assert_int_eq(s.in_progress, in_progress);
	ck_assert_int_le(s.entries, f->limits.entries);
	ck_assert_int_le(s.bytes, f->limits.bytes);
	ck_assert_int_le(s.waiters, f->limits.waiters);
}

/* Random arrivals, sends, answers and failures of requests, in tables that are
 * too small for all ids or for all answers. */
START_TEST(random_orders)
{
	struct fixture *f = g_new0(struct fixture, 1);
	static const uint32_t entries[] = { 6, 12, 64, 1000 };
	static const size_t bytes[] = { 500, 700, 3000, 3000 };
	struct once_limits limits = { entries[_i % 4], bytes[_i % 4], 500, 6, 3,
		5 * MS };
	struct once_stats s;
	int i;

	f->limits = limits;
	f->rand = g_rand_new_with_seed((guint32)_i);
	f->now = 1000 * MS;
	f->once = once_new(SELF, &limits, on_reply, f);
	mint_id(f);
	for (i = 0; i < STEPS; i++) {
		random_step(f);
		if (i % 16 == 0)
			check_bounds(f);
	}
	once_stats(f->once, &s);
	ck_assert_int_eq(s.runs, f->runs);
	ck_assert_int_gt(f->runs, 20);
	ck_assert_int_gt(f->replies, 5);
	if (limits.entries > IDS_MAX)
		ck_assert_int_gt(s.answers_evicted, 0);
	ck_assert_int_eq(s.ids_evicted > 0, limits.entries < IDS_MAX);
	once_free(f->once);
	g_rand_free(f->rand);
	g_free(f);
}
END_TEST

static enum once_outcome
receive_id(struct once *o, const char *id, int64_t now, uint64_t *h)
{
	struct once_request r = { id, 1000 * MS, NULL };
	const struct once_answer *a;

	return once_receive_request(o, &r, now, h, &a);
}

START_TEST(invalid_and_foreign_ids_are_not_run)
{
	struct once_limits limits = ONCE_LIMITS_DEFAULT;
	struct once *o = once_new(SELF, &limits, NULL, NULL);
	uint64_t h;

	ck_assert_int_eq(ONCE_BAD_ID, receive_id(o, "", 0, &h));
	ck_assert_int_eq(ONCE_BAD_ID,
	    receive_id(o, "000000000000feed-00000000000000000000000000000000x",
		0, &h));
	ck_assert_int_eq(ONCE_BAD_ID,
	    receive_id(o, "000000000000FEED-00000000000000000000000000000000",
		0, &h));
	/* Created 2001 ms ahead of the clock; up to 2000 ms are allowed. */
	ck_assert_int_eq(ONCE_BAD_ID,
	    receive_id(o, "000000000000feed-0000000007d100000000000000000000",
		0, &h));
	ck_assert_int_eq(ONCE_RUN,
	    receive_id(o, "000000000000feed-0000000007d000000000000000000000",
		0, &h));
	ck_assert_int_eq(ONCE_ELSEWHERE,
	    receive_id(o, "000000000000feee-00000000000000000000000000000000",
		0, &h));
	once_free(o);
}
END_TEST

START_TEST(only_one_send)
{
	struct once_limits limits = ONCE_LIMITS_DEFAULT;
	struct once *o = once_new(SELF, &limits, NULL, NULL);
	uint64_t h;

	ck_assert_int_eq(ONCE_RUN,
	    receive_id(o, "000000000000feed-00000000000100000000000000000000",
		0, &h));
	ck_assert(once_begin_send(o, h, 0));
	ck_assert(!once_begin_send(o, h, 0));
	ck_assert_int_eq(once_not_run(o, h), ONCE_UNKNOWN);
	ck_assert(!once_begin_send(o, h, 0));
	once_free(o);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("once");
	TCase *c = tcase_create("once");
	SRunner *r = srunner_create(s);
	const char *seeds = g_getenv("SEEDS");
	int failed;

	tcase_set_timeout(c, 60);
	tcase_add_loop_test(c, random_orders, 0,
	    seeds ? (int)strtol(seeds, NULL, 10) : SEEDS);
	tcase_add_test(c, invalid_and_foreign_ids_are_not_run);
	tcase_add_test(c, only_one_send);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
