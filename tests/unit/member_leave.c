#include <check.h>
#include <stdlib.h>

#include "fleet.h"

#define SECOND_US 1000000LL
#define LOSS 0.1
#define VERSIONS 10
#define LEAVER 4

static const int sizes[] = { 3, 12, 200 };

/* A member that has left and still runs learns of new configuration versions.
 */
START_TEST(leaver_follows_configuration)
{
	struct fleet *f = fleet_new(sizes[_i] + LEAVER, LOSS, 7, 1);
	const struct fleet_node *n = &f->node[LEAVER];
	int k;

	fleet_run(f, 3 * SECOND_US);
	member_leave(n->table, f->now);
	for (k = 1; k <= VERSIONS; k++) {
		fleet_run(f, f->now + SECOND_US);
		fleet_set_config_version(f, k % LEAVER, (uint64_t)k);
		fleet_run(f, f->now + 2 * SECOND_US);
		ck_assert_uint_eq(n->config_version, k);
	}
	ck_assert_uint_eq(f->false_deaths, 0);
	fleet_free(f);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("member_leave");
	TCase *c = tcase_create("member_leave");
	SRunner *r;
	int failed;

	tcase_set_timeout(c, 60);
	tcase_add_loop_test(c, leaver_follows_configuration, 0,
	    (int)G_N_ELEMENTS(sizes));
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
