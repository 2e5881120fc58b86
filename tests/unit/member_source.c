#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "member.h"

#define SELF 1
#define NEAR_FIRST 2
#define NEAR_LAST 4
#define FAR 5
#define OLD 5 /* version here */
#define NEW 6
#define SEEDS 40

static void
on_send(void *ctx, const struct member_address *to,
    const struct member_message *m)
{
	(void)ctx;
	(void)to;
	(void)m;
}

static void
on_event(void *ctx, int handle, enum member_event event)
{
	(void)ctx;
	(void)handle;
	(void)event;
}

static void
on_digest(void *ctx, int handle, uint64_t digest)
{
	(void)ctx;
	(void)handle;
	(void)digest;
}

static void
announce(struct member_table *t, uint64_t from, uint64_t version)
{
	struct member_message *m = g_new0(struct member_message, 1);

	m->kind = MEMBER_GOSSIP;
	m->from = from;
	m->to = SELF;
	m->config_version = version;
	m->view_seq = MEMBER_VIEW_NONE;
	member_receive(t, m, 0);
	g_free(m);
}

/* Three members of our data centre and one of another, all with NEW. */
static struct member_table *
table_new(uint64_t seed)
{
	static const struct member_limits limits = MEMBER_LIMITS_DEFAULT;
	static const struct member_ops ops = { on_send, on_event, on_digest,
		on_digest, NULL };
	struct member_info info = { .id = SELF, .datacentre = "estrie" };
	struct member_table *t =
	    member_new(&info, &limits, seed, &ops, NULL, 0);

	member_set_config_version(t, OLD, 0, 0);
	for (info.id = NEAR_FIRST; info.id <= FAR; info.id++) {
		if (info.id == FAR)
			strcpy(info.datacentre, "mauricie");
		member_add_registered(t, &info, 0);
		announce(t, info.id, NEW);
	}
	return t;
}

static uint64_t
source(struct member_table *t, uint64_t version)
{
	int h = member_source(t, version);

	return h == MEMBER_NONE ? 0 : member_at(t, h)->info.id;
}

START_TEST(pull_leaves_a_data_centre_whose_members_fail)
{
	struct member_table *t = table_new((uint64_t)_i + 1);
	uint64_t id = source(t, OLD);

	ck_assert_uint_le(id, NEAR_LAST);
	member_source_failed(t, id, OLD);
	ck_assert_uint_eq(source(t, OLD), FAR);
	member_free(t);
}
END_TEST

START_TEST(failed_sources_come_last)
{
	struct member_table *t = table_new((uint64_t)_i + 1);
	uint64_t id;
	int asked = 0, n;

	for (n = NEAR_FIRST; n <= FAR; n++) {
		id = source(t, OLD);
		ck_assert_uint_ne(id, 0);
		ck_assert_int_eq(asked & 1 << id, 0);
		asked |= 1 << id;
		member_source_failed(t, id, OLD);
	}
	/* A pull that is refused at once is not tried without end. */
	ck_assert_uint_eq(source(t, OLD), 0);
	ck_assert_uint_ne(source(t, OLD), 0);
	member_free(t);
}
END_TEST

START_TEST(failure_counts_for_one_version)
{
	struct member_table *t = table_new((uint64_t)_i + 1);
	uint64_t id;

	for (id = NEAR_FIRST; id <= NEAR_LAST; id++)
		member_source_failed(t, id, OLD);
	for (id = NEAR_FIRST; id <= FAR; id++)
		announce(t, id, NEW + 1);
	ck_assert_uint_le(source(t, NEW), NEAR_LAST);
	member_free(t);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("member-source");
	TCase *c = tcase_create("source");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(c, pull_leaves_a_data_centre_whose_members_fail, 0,
	    SEEDS);
	tcase_add_loop_test(c, failed_sources_come_last, 0, SEEDS);
	tcase_add_loop_test(c, failure_counts_for_one_version, 0, SEEDS);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
