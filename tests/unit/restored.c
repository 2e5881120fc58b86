#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

/* A platform's store that comes back from an older copy, as the table sees it.
 */

#define ERA 2
#define V(revision) config_version(ERA, revision)
#define BEFORE(revision) config_version(ERA - 1, revision)

static struct config_object
object(int kind, const char *name, uint64_t version, const char *value)
{
	struct config_object o = { .kind = kind, .version = version };

	g_strlcpy(o.name, name, sizeof o.name);
	if (value)
		o.value = g_bytes_new(value, strlen(value));
	else
		o.removed = 1;
	return o;
}

/* Applies a list of all objects of one kind from the platform, as complete up
 * to @version. */
static void
apply_list(struct config_table *t, int kind, uint64_t version, int hold,
    struct config_object *o, int n)
{
	struct config_batch b = { .upto = version,
		.kinds = 1u << kind,
		.hold = hold,
		.nobject = n,
		.object = o };
	struct config_batch advance = { .after = config_complete_version(t),
		.upto = version,
		.complete = version };
	struct kq_error e;
	int i;

	config_apply_batch(t, &b, &e);
	config_apply_batch(t, &advance, &e);
	for (i = 0; i < n; i++)
		if (o[i].value)
			g_bytes_unref(o[i].value);
}

static void
check_value(struct config_table *t, int kind, const char *name,
    const char *value)
{
	const struct config_object *o = config_find(t, kind, name);

	if (!value) {
		ck_assert(!o || o->removed);
		return;
	}
	ck_assert(o && !o->removed);
	ck_assert_int_eq(g_bytes_get_size(o->value), strlen(value));
	ck_assert_mem_eq(g_bytes_get_data(o->value, NULL), value,
	    strlen(value));
}

START_TEST(version_holds_era_and_revision)
{
	ck_assert_uint_eq(config_version(0, 17), 17);
	ck_assert_uint_eq(config_version_era(V(17)), ERA);
	ck_assert_uint_eq(config_version_revision(V(17)), 17);
	ck_assert_uint_gt(V(1), BEFORE(1000000));
}
END_TEST

START_TEST(revision_that_is_given_out_again_is_a_new_version)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o;

	o = object(CONFIG_ROUTING, "main", BEFORE(18), "before");
	apply_list(t, CONFIG_ROUTING, BEFORE(18), 0, &o, 1);
	o = object(CONFIG_ROUTING, "main", V(17), "again");
	apply_list(t, CONFIG_ROUTING, V(17), 0, &o, 1);
	check_value(t, CONFIG_ROUTING, "main", "again");
	o = object(CONFIG_ROUTING, "main", V(18), "later");
	apply_list(t, CONFIG_ROUTING, V(18), 0, &o, 1);
	check_value(t, CONFIG_ROUTING, "main", "later");
	ck_assert_uint_eq(config_complete_version(t), V(18));
	/* a late answer of the era before */
	o = object(CONFIG_ROUTING, "main", BEFORE(18), "before");
	apply_list(t, CONFIG_ROUTING, BEFORE(18), 0, &o, 1);
	check_value(t, CONFIG_ROUTING, "main", "later");
	config_free(t);
}
END_TEST

static struct config_object
routing(uint64_t version, uint64_t serial, const char *value)
{
	struct config_object o = object(CONFIG_ROUTING, "main", version, value);

	o.serial = serial;
	return o;
}

START_TEST(older_copy_of_an_object_does_not_come_into_force)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o;

	o = routing(BEFORE(18), 12, "twelve");
	apply_list(t, CONFIG_ROUTING, BEFORE(18), 0, &o, 1);
	o = routing(V(5), 10, "ten");
	apply_list(t, CONFIG_ROUTING, V(16), 1, &o, 1);
	check_value(t, CONFIG_ROUTING, "main", "twelve");
	/* nor when the hold is over */
	o = routing(V(5), 10, "ten");
	apply_list(t, CONFIG_ROUTING, V(17), 0, &o, 1);
	check_value(t, CONFIG_ROUTING, "main", "twelve");
	o = routing(V(18), 12, "twelve");
	apply_list(t, CONFIG_ROUTING, V(18), 0, &o, 1);
	o = routing(V(19), 13, "thirteen");
	apply_list(t, CONFIG_ROUTING, V(19), 0, &o, 1);
	check_value(t, CONFIG_ROUTING, "main", "thirteen");
	config_free(t);
}
END_TEST

START_TEST(member_passes_on_what_the_copy_lacks)
{
	struct config_table *a = config_new(NULL, NULL);
	struct config_table *b = config_new(NULL, NULL);
	struct config_object o;
	struct config_pull pull;
	struct config_batch page;
	struct kq_error e;

	o = routing(BEFORE(18), 12, "twelve");
	apply_list(a, CONFIG_ROUTING, BEFORE(18), 0, &o, 1);
	o = routing(V(5), 10, "ten");
	apply_list(a, CONFIG_ROUTING, V(16), 1, &o, 1);
	/* a member that started from the copy, and knows less of its era */
	o = routing(V(5), 10, "ten");
	apply_list(b, CONFIG_ROUTING, V(5), 0, &o, 1);
	config_next_pull(b, 1, &pull);
	pull.after = 0;
	config_read_page(a, 1, &pull, 65536, &page);
	config_apply_batch(b, &page, &e);
	config_batch_clear(&page);
	check_value(b, CONFIG_ROUTING, "main", "twelve");
	config_free(a);
	config_free(b);
}
END_TEST

START_TEST(object_that_the_copy_lacks_is_held)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o;

	o = object(CONFIG_DATACENTRE, "dc2", BEFORE(18), "out");
	apply_list(t, CONFIG_DATACENTRE, BEFORE(18), 0, &o, 1);
	apply_list(t, CONFIG_DATACENTRE, V(16), 1, NULL, 0);
	check_value(t, CONFIG_DATACENTRE, "dc2", "out");
	apply_list(t, CONFIG_DATACENTRE, V(17), 1, NULL, 0);
	check_value(t, CONFIG_DATACENTRE, "dc2", "out");
	/* written again, and removed later */
	o = object(CONFIG_DATACENTRE, "dc2", V(18), "out");
	apply_list(t, CONFIG_DATACENTRE, V(18), 1, &o, 1);
	apply_list(t, CONFIG_DATACENTRE, V(19), 0, NULL, 0);
	check_value(t, CONFIG_DATACENTRE, "dc2", NULL);
	config_free(t);
}
END_TEST

/* Guards against a full list of several pages that removes what is held. */
START_TEST(held_object_stays_between_pages)
{
	const struct config_pull first = { 0 };
	struct config_table *source = config_new(NULL, NULL);
	struct config_table *t = config_new(NULL, NULL);
	struct config_batch held = { .upto = V(47),
		.kinds = 1u << CONFIG_DATACENTRE,
		.hold = 1 };
	struct config_object o;
	struct config_batch page;
	struct config_pull next;
	struct kq_error e;

	o = object(CONFIG_DATACENTRE, "dc2", BEFORE(18), "out");
	apply_list(t, CONFIG_DATACENTRE, BEFORE(18), 0, &o, 1);
	o = object(CONFIG_DATACENTRE, "dc2", V(46), "out");
	apply_list(source, CONFIG_DATACENTRE, V(46), 0, &o, 1);
	o = routing(V(50), 12, "twelve");
	apply_list(source, CONFIG_ROUTING, V(50), 0, &o, 1);
	config_read_page(source, 7, &first, 1, &page);
	ck_assert_int_eq(page.more, 1);
	config_apply_batch(t, &page, &e);
	config_batch_clear(&page);
	config_apply_batch(t, &held, &e);
	config_next_pull(t, 7, &next);
	config_read_page(source, 7, &next, 1, &page);
	ck_assert_int_eq(config_apply_batch(t, &page, &e), CONFIG_APPLIED);
	config_batch_clear(&page);
	ck_assert_uint_eq(config_complete_version(t), V(50));
	check_value(t, CONFIG_DATACENTRE, "dc2", "out");
	config_free(source);
	config_free(t);
}
END_TEST

/* Guards against a stale object that gets a version by a restore, so that it is
 * passed on and stays. */
START_TEST(stale_object_gets_no_version_by_the_hold)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o = object(CONFIG_DATACENTRE, "dc2", 7, "out");
	struct config_batch stale = { .stale = 1, .nobject = 1, .object = &o };
	struct kq_error e;

	config_apply_batch(t, &stale, &e);
	g_bytes_unref(o.value);
	apply_list(t, CONFIG_DATACENTRE, V(16), 1, NULL, 0);
	ck_assert_uint_eq(config_find(t, CONFIG_DATACENTRE, "dc2")->version, 0);
	apply_list(t, CONFIG_DATACENTRE, V(16), 0, NULL, 0);
	check_value(t, CONFIG_DATACENTRE, "dc2", NULL);
	config_free(t);
}
END_TEST

START_TEST(object_not_written_again_is_removed_after_the_hold)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o;

	o = object(CONFIG_DATACENTRE, "dc2", BEFORE(18), "out");
	apply_list(t, CONFIG_DATACENTRE, BEFORE(18), 0, &o, 1);
	apply_list(t, CONFIG_DATACENTRE, V(16), 1, NULL, 0);
	apply_list(t, CONFIG_DATACENTRE, V(17), 0, NULL, 0);
	check_value(t, CONFIG_DATACENTRE, "dc2", NULL);
	config_free(t);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("restored");
	TCase *c = tcase_create("restored");
	SRunner *r;
	int failed;

	tcase_add_test(c, version_holds_era_and_revision);
	tcase_add_test(c, revision_that_is_given_out_again_is_a_new_version);
	tcase_add_test(c, older_copy_of_an_object_does_not_come_into_force);
	tcase_add_test(c, member_passes_on_what_the_copy_lacks);
	tcase_add_test(c, object_that_the_copy_lacks_is_held);
	tcase_add_test(c, held_object_stays_between_pages);
	tcase_add_test(c, stale_object_gets_no_version_by_the_hold);
	tcase_add_test(c, object_not_written_again_is_removed_after_the_hold);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
