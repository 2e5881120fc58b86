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
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
