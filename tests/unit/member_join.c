#include <check.h>
#include <stdlib.h>

#include "fleet.h"

#define SECOND_US 1000000LL
#define LOSS 0.1
#define SEEDS 24
#define MEMBERS 200
#define KNOWN_US (6 * SECOND_US) /* until each member knows all others */

#define FEW 12
#define FEW_SEEDS 400
#define START_STEP_US 10000 /* at most, between two services found */
#define SERVICE_US SECOND_US /* until each member knows all services */

/* Pairs of members of which the first does not know the second. */
static int
unknown(const struct fleet *f)
{
	int i, k, n = 0;

	for (i = 0; i < f->n; i++)
		for (k = 0; k < f->n; k++)
			n += member_find(f->node[i].table,
				 f->node[k].info.id) == MEMBER_NONE;
	return n;
}

/* Guards against a member that stays unknown to another one after all joined at
 * the same time: what was gossiped too few times comes only with a page, which
 * takes up to a minute. */
START_TEST(members_that_join_at_once_know_each_other)
{
	struct member_address seed;
	struct fleet *f;
	int i, n = 0;
	guint32 k;

	for (k = 1; k <= SEEDS; k++) {
		f = fleet_new(MEMBERS, LOSS, k, 0);
		seed = f->node[0].info.address;
		for (i = 1; i < f->n; i++)
			member_join(f->node[i].table, &seed, 1, f->now);
		fleet_run(f, f->now + KNOWN_US);
		n += unknown(f);
		fleet_free(f);
	}
	ck_assert_int_eq(n, 0);
}
END_TEST

/* Has all members join through the first one, each with the service of its
 * target known at another moment. */
static struct fleet *
fleet_starts(guint32 seed)
{
	struct fleet *f = fleet_new(FEW, 0, seed, 0);
	struct member_address at = f->node[0].info.address;
	GRand *rand = g_rand_new_with_seed(seed);
	int i;

	for (i = 1; i < f->n; i++)
		member_join(f->node[i].table, &at, 1, f->now);
	for (i = 0; i < f->n; i++) {
		fleet_run(f, f->now + g_rand_int_range(rand, 0, START_STEP_US));
		member_set_service(f->node[i].table, "codebook", f->now);
	}
	g_rand_free(rand);
	return f;
}

/* Guards against daemons that start together, of which one does not know a
 * target for seconds, since all sends of its service went to others. */
START_TEST(services_of_members_that_start_at_once_are_known)
{
	const struct member *m;
	struct fleet *f;
	int h, i, n = 0;
	guint32 k;

	for (k = 1; k <= FEW_SEEDS; k++) {
		f = fleet_starts(k);
		fleet_run(f, f->now + SERVICE_US);
		for (i = 0; i < f->n; i++) {
			for (h = 0; h < f->n; h++) {
				m = member_at(f->node[i].table, h);
				n += !m || !*m->info.service;
			}
		}
		fleet_free(f);
	}
	ck_assert_int_le(n, FEW_SEEDS / 100);
}
END_TEST

/* ---- one table that joins, and gets messages from the test ---- */

#define SELF 1
#define SEED 2
#define NEXT_ROW 7

static void
on_send(void *ctx, const struct member_address *to,
    const struct member_message *msg)
{
	struct member_message *last_pull = ctx;

	(void)to;
	if (msg->kind == MEMBER_PULL)
		*last_pull = *msg;
}

static void
on_event(void *ctx, int handle, enum member_event event)
{
	(void)ctx;
	(void)handle;
	(void)event;
}

static void
on_behind(void *ctx, int handle, uint64_t digest)
{
	(void)ctx;
	(void)handle;
	(void)digest;
}

/* Gives the table a message of the seed, without rows. */
static void
deliver(struct member_table *t, enum member_kind kind, uint32_t seq,
    uint32_t cursor)
{
	struct member_message *m = g_new0(struct member_message, 1);

	m->kind = kind;
	m->from = SEED;
	m->to = SELF;
	m->seq = seq;
	m->cursor = cursor;
	m->view_seq = MEMBER_VIEW_NONE;
	member_receive(t, m, 0);
	g_free(m);
}

/* Guards against a join that a page which the seed pushes to all members by
 * turns ends, so that the other pages are never asked for. */
START_TEST(pushed_page_does_not_end_a_join)
{
	static const struct member_limits limits = MEMBER_LIMITS_DEFAULT;
	static const struct member_ops ops = { on_send, on_event, on_behind,
		NULL, NULL };
	struct member_info info = { .id = SELF };
	struct member_address seed = { .ip = SEED };
	struct member_message *pull = g_new0(struct member_message, 1);
	struct member_table *t = member_new(&info, &limits, 1, &ops, pull, 0);

	member_join(t, &seed, 1, 0);
	member_tick(t, 0);
	deliver(t, MEMBER_WELCOME, 0, 0);
	ck_assert_int_eq(pull->kind, MEMBER_PULL);
	deliver(t, MEMBER_PAGE, 0, 0);
	deliver(t, MEMBER_PAGE, pull->seq, NEXT_ROW);
	ck_assert_uint_eq(pull->cursor, NEXT_ROW);
	member_free(t);
	g_free(pull);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("member_join");
	TCase *c = tcase_create("join");
	SRunner *r;
	int failed;

	tcase_set_timeout(c, 240);
	tcase_add_test(c, members_that_join_at_once_know_each_other);
	tcase_add_test(c, services_of_members_that_start_at_once_are_known);
	tcase_add_test(c, pushed_page_does_not_end_a_join);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
