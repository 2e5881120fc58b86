#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once.h"

#define SELF 0xfeed
#define SEEDS 60 /* without SEEDS in the environment */
#define STEPS 4000
#define CALLS 400
#define MS INT64_C(1000)

/* What the reference knows of one id. */
struct call {
	char id[ONCE_ID_LEN + 1];
	uint64_t birth;
	uint64_t entry; /* in progress */
	int64_t deadline;
	int arrived, sent, done, shed, refused;
	int waiting;
};

struct world {
	struct once *once;
	struct once_limits limits;
	GRand *rand;
	int64_t now;
	struct call call[CALLS];
	int ncall;
	int replies;
	int ran;
};

static void
check_said(struct call *c, enum once_outcome said, const struct once_answer *a)
{
	ck_assert_int_eq(said == ONCE_ANSWER, a != NULL);
	if (said == ONCE_ANSWER || said == ONCE_RAN)
		ck_assert(c->sent && c->done && !c->shed);
	if (a) {
		ck_assert_int_eq(a->body_len % ONCE_ID_LEN, 0);
		ck_assert_mem_eq(a->body, c->id, ONCE_ID_LEN);
		ck_assert_str_eq(a->field[1].value, c->id);
		ck_assert_int_eq(a->status, 201);
	}
	if (said == ONCE_NOT_RUN) {
		ck_assert(!c->sent || c->shed);
		c->refused = 1;
	}
}

static void
on_reply(void *ctx, void *arg, enum once_outcome said,
    const struct once_answer *a)
{
	struct world *w = ctx;
	struct call *c = arg;

	check_said(c, said, a);
	c->waiting--;
	w->replies++;
	ck_assert_int_ge(c->waiting, 0);
}

static void
mint(struct world *w)
{
	struct once_clock clock = { 0 };
	uint8_t random[ONCE_RANDOM_LEN];
	struct call *c;
	struct once_id id;
	int i;

	if (w->ncall == CALLS)
		return;
	c = &w->call[w->ncall++];
	for (i = 0; i < ONCE_RANDOM_LEN; i++)
		random[i] = (uint8_t)g_rand_int(w->rand);
	/* The stamp was up to 20 ms on its way. */
	once_clock_stamp(&clock, w->now - g_rand_int_range(w->rand, 0, 20) * MS,
	    w->now + 77);
	once_id_mint(&id, SELF, &clock, w->now + 77, random);
	c->birth = id.birth;
	once_id_format(&id, c->id);
}

static void
check_arrival(struct world *w, struct call *c, enum once_outcome said,
    int64_t deadline, uint64_t evictions)
{
	struct once_stats s;

	once_stats(w->once, &s);
	if (said == ONCE_RUN) {
		ck_assert(!c->arrived && !c->sent && !c->refused);
		ck_assert_int_lt(w->now, deadline);
	}
	/* Exact: what was surely never seen is never refused as unknown. */
	if (said == ONCE_UNKNOWN && !c->arrived)
		ck_assert(evictions > 0 && c->birth <= s.horizon);
	ck_assert(said < ONCE_ELSEWHERE);
}

static void
arrive(struct world *w, struct call *c)
{
	int64_t deadline = w->now + g_rand_int_range(w->rand, -20, 300) * MS;
	struct once_request r = { c->id, deadline, c };
	const struct once_answer *a;
	struct once_stats s;
	enum once_outcome said;
	uint64_t h;

	once_stats(w->once, &s);
	said = once_arrive(w->once, &r, w->now, &h, &a);
	ck_assert_int_eq(said == ONCE_RUN || said == ONCE_WAIT, h != 0);
	check_arrival(w, c, said, deadline, s.ids_evicted);
	check_said(c, said, a);
	c->arrived = 1;
	if (said == ONCE_RUN) {
		c->entry = h;
		c->deadline = deadline;
	}
	if (said == ONCE_WAIT) {
		c->waiting++;
		ck_assert_int_lt(w->now, deadline);
	}
	if (said == ONCE_WAIT && g_rand_int_range(w->rand, 0, 8) == 0) {
		once_forget(w->once, h);
		once_forget(w->once, h);
		c->waiting--;
	}
}

static void
send_to_target(struct world *w, struct call *c)
{
	if (g_rand_int_range(w->rand, 0, 4) == 0) /* paused meanwhile */
		w->now += g_rand_int_range(w->rand, 0, 400) * MS;
	if (once_may_send(w->once, c->entry, w->now)) {
		ck_assert(!c->sent && !c->refused);
		ck_assert_int_lt(w->now, c->deadline);
		c->sent = 1;
		w->ran++;
	} else if (!c->sent) {
		c->refused = 1;
		c->entry = 0;
	}
}

static void
answer(struct world *w, struct call *c)
{
	const struct once_field f[] = { { "Kind", "x" }, { "Id", c->id } };
	int i, n = g_rand_int_range(w->rand, 1, 12);

	if (g_rand_int_range(w->rand, 0, 10))
		once_keep_head(w->once, c->entry, 201, f, 2);
	for (i = 0; i < n; i++)
		once_keep_body(w->once, c->entry, c->id, ONCE_ID_LEN);
	c->done = 1;
	once_done(w->once, c->entry);
	once_done(w->once, c->entry);
}

static void
finish(struct world *w, struct call *c)
{
	int how = g_rand_int_range(w->rand, 0, 8);
	enum once_outcome said;

	if (how >= 3 && c->sent) {
		answer(w, c);
	} else if (how == 0 && c->sent) {
		c->shed = 1;
		check_said(c, once_shed(w->once, c->entry), NULL);
	} else {
		said = how == 1 ? once_lost(w->once, c->entry)
				: once_not_run(w->once, c->entry);
		ck_assert_int_eq(said, c->sent ? ONCE_UNKNOWN : ONCE_NOT_RUN);
		check_said(c, said, NULL);
	}
	ck_assert_int_eq(c->waiting, 0);
	c->entry = 0;
}

static void
step(struct world *w)
{
	struct call *c;

	w->now += g_rand_int_range(w->rand, 0, 3000);
	if (g_rand_int_range(w->rand, 0, 8) == 0)
		mint(w);
	/* Mostly recent ids, now and then any. */
	c = &w->call[g_rand_int_range(w->rand,
	    g_rand_int_range(w->rand, 0, 4) ? MAX(0, w->ncall - 12) : 0,
	    w->ncall)];
	if (c->entry && g_rand_int_range(w->rand, 0, 2)) {
		if (!c->sent)
			send_to_target(w, c);
		else
			finish(w, c);
	} else if (c->entry && g_rand_int_range(w->rand, 0, 16) == 0) {
		finish(w, c);
	} else {
		arrive(w, c);
	}
	once_expire(w->once, w->now);
	if (once_next_due(w->once) <= w->now)
		ck_abort_msg("a waiter is overdue");
}

static void
check_bounds(const struct world *w)
{
	uint32_t waiting = 0, progress = 0;
	struct once_stats s;
	int i;

	once_stats(w->once, &s);
	for (i = 0; i < w->ncall; i++) {
		waiting += (uint32_t)w->call[i].waiting;
		progress += w->call[i].entry != 0;
	}
	ck_assert_int_eq(s.waiters, waiting);
	ck_assert_int_eq(s.in_progress, progress);
	ck_assert_int_le(s.entries, w->limits.entries);
	ck_assert_int_le(s.bytes, w->limits.bytes);
	ck_assert_int_le(s.waiters, w->limits.waiters);
}

START_TEST(random_orders)
{
	struct world *w = g_new0(struct world, 1);
	static const uint32_t entries[] = { 6, 12, 64, 1000 };
	static const size_t bytes[] = { 500, 700, 3000, 3000 };
	struct once_limits limits = { entries[_i % 4], bytes[_i % 4], 500, 6, 3,
		5 * MS };
	struct once_stats s;
	int i;

	w->limits = limits;
	w->rand = g_rand_new_with_seed((guint32)_i);
	w->now = 1000 * MS;
	w->once = once_new(SELF, &limits, on_reply, w);
	mint(w);
	for (i = 0; i < STEPS; i++) {
		step(w);
		if (i % 16 == 0)
			check_bounds(w);
	}
	once_stats(w->once, &s);
	ck_assert_int_eq(s.runs, w->ran);
	ck_assert_int_gt(w->ran, 20);
	ck_assert_int_gt(w->replies, 5);
	if (limits.entries > CALLS)
		ck_assert_int_gt(s.answers_evicted, 0);
	ck_assert_int_eq(s.ids_evicted > 0, limits.entries < CALLS);
	once_free(w->once);
	g_rand_free(w->rand);
	g_free(w);
}
END_TEST

static enum once_outcome
arrive_at(struct once *o, const char *id, int64_t now, uint64_t *h)
{
	struct once_request r = { id, 1000 * MS, NULL };
	const struct once_answer *a;

	return once_arrive(o, &r, now, h, &a);
}

START_TEST(ids_that_are_not_run)
{
	struct once_limits limits = ONCE_LIMITS_DEFAULT;
	struct once *o = once_new(SELF, &limits, NULL, NULL);
	uint64_t h;

	ck_assert_int_eq(ONCE_BAD_ID, arrive_at(o, "", 0, &h));
	ck_assert_int_eq(ONCE_BAD_ID,
	    arrive_at(o, "000000000000feed-00000000000000000000000000000000x",
		0, &h));
	ck_assert_int_eq(ONCE_BAD_ID,
	    arrive_at(o, "000000000000FEED-00000000000000000000000000000000", 0,
		&h));
	/* Born 2001 ms ahead. */
	ck_assert_int_eq(ONCE_BAD_ID,
	    arrive_at(o, "000000000000feed-0000000007d100000000000000000000", 0,
		&h));
	ck_assert_int_eq(ONCE_RUN,
	    arrive_at(o, "000000000000feed-0000000007d000000000000000000000", 0,
		&h));
	ck_assert_int_eq(ONCE_ELSEWHERE,
	    arrive_at(o, "000000000000feee-00000000000000000000000000000000", 0,
		&h));
	once_free(o);
}
END_TEST

START_TEST(only_one_send)
{
	struct once_limits limits = ONCE_LIMITS_DEFAULT;
	struct once *o = once_new(SELF, &limits, NULL, NULL);
	uint64_t h;

	ck_assert_int_eq(ONCE_RUN,
	    arrive_at(o, "000000000000feed-00000000000100000000000000000000", 0,
		&h));
	ck_assert(once_may_send(o, h, 0));
	ck_assert(!once_may_send(o, h, 0));
	ck_assert_int_eq(once_not_run(o, h), ONCE_UNKNOWN);
	ck_assert(!once_may_send(o, h, 0));
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
	tcase_add_test(c, ids_that_are_not_run);
	tcase_add_test(c, only_one_send);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
