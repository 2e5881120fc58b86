#include <check.h>
#include <stdlib.h>

#include "fleet.h"
#include "member_codec.h"

#define SECOND INT64_C(1000000)
#define TOUCH_US (3 * SECOND) /* news must be everywhere within this time */

static struct member_note
note_of(uint64_t id, uint32_t keep_ms)
{
	struct member_note n = { .id = id, .keep_ms = keep_ms, .len = 208 };

	return n;
}

static const struct {
	int n;
	double loss;
} fleets[] = { { 2, 0 }, { 13, 0.05 }, { 300, 0.05 } };

START_TEST(note_reaches_all_members_once)
{
	int n = fleets[_i].n, k;
	struct fleet *f = fleet_new(n, fleets[_i].loss, 3, 1);
	struct member_note note = note_of(1, 0);
	int64_t told;

	fleet_run(f, 2 * SECOND);
	told = f->now;
	member_tell(f->node[0].table, &note, f->now);
	member_tell(f->node[0].table, &note, f->now);
	fleet_run(f, told + 20 * SECOND);
	for (k = 1; k < n; k++) {
		ck_assert_int_eq(f->node[k].notes, 1);
		ck_assert_int_lt(f->node[k].note_at, told + TOUCH_US);
	}
	ck_assert_int_eq(f->node[0].notes, 0);
	ck_assert_uint_eq(f->false_deaths, 0);
	fleet_free(f);
}
END_TEST

/* Several targets may end at once. */
START_TEST(many_notes_fit_into_the_datagrams)
{
	struct fleet *f = fleet_new(13, 0.02, 5, 1);
	int64_t told;
	int i, k;

	fleet_run(f, 2 * SECOND);
	fleet_reset_counts(f);
	told = f->now;
	for (i = 0; i < 30; i++) {
		struct member_note note = note_of(100 + (uint64_t)i, 0);

		member_tell(f->node[i % 13].table, &note, f->now);
	}
	fleet_run(f, told + TOUCH_US);
	for (k = 0; k < 13; k++)
		ck_assert_int_eq(f->node[k].notes,
		    30 - 30 / 13 - (k < 30 % 13));
	ck_assert_uint_le(f->largest_datagram, DATAGRAM_MAX);
	fleet_free(f);
}
END_TEST

START_TEST(member_that_joins_later_gets_kept_notes)
{
	struct fleet *f = fleet_new(5, 0, 7, 1);
	struct member_note kept = note_of(1, 600000), other = note_of(2, 0);
	int64_t told;

	f->node[4].partition = 1;
	fleet_run(f, 2 * SECOND);
	told = f->now;
	member_tell(f->node[0].table, &kept, f->now);
	member_tell(f->node[0].table, &other, f->now);
	fleet_run(f, told + 40 * SECOND);
	ck_assert_int_eq(f->node[3].notes, 2);
	ck_assert_int_eq(f->node[4].notes, 0);
	f->node[4].partition = 0;
	member_join(f->node[4].table, &f->node[0].info.address, 1, f->now);
	fleet_run(f, f->now + 2 * SECOND);
	ck_assert_int_eq(f->node[4].notes, 1);
	fleet_free(f);
}
END_TEST

/* Members that forget a note at different times must not tell it each other for
 * ever. */
START_TEST(note_that_is_over_is_not_taken_again)
{
	struct fleet *f = fleet_new(5, 0, 9, 1);
	struct member_note kept = note_of(1, 10000);
	int64_t told;
	int k;

	f->node[4].partition = 1;
	fleet_run(f, 2 * SECOND);
	told = f->now;
	member_tell(f->node[0].table, &kept, f->now);
	fleet_run(f, told + 11 * SECOND);
	f->node[4].partition = 0;
	member_join(f->node[4].table, &f->node[0].info.address, 1, f->now);
	/* with each new note, members forget what is over */
	for (k = 0; k < 20; k++) {
		struct member_note note = note_of(100 + (uint64_t)k, 0);

		member_tell(f->node[k % 5].table, &note, f->now);
		fleet_run(f, f->now + 2 * SECOND);
	}
	ck_assert_int_eq(f->node[4].notes, 16);
	ck_assert_int_eq(f->node[1].notes, 17);
	fleet_free(f);
}
END_TEST

START_TEST(late_note_is_not_taken)
{
	struct fleet *f = fleet_new(2, 0, 11, 1);
	struct member_message m = { .kind = MEMBER_GOSSIP, .nnote = 1 };

	fleet_run(f, SECOND);
	m.from = f->node[1].info.id;
	m.to = f->node[0].info.id;
	m.note[0] = note_of(7, 10000);
	m.note[0].age_ms = 10001;
	member_receive(f->node[0].table, &m, f->now);
	ck_assert_int_eq(f->node[0].notes, 0);
	m.note[0].age_ms = 9999;
	member_receive(f->node[0].table, &m, f->now);
	ck_assert_int_eq(f->node[0].notes, 1);
	fleet_free(f);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("member_note");
	TCase *c = tcase_create("member_note");
	SRunner *r;
	int failed;

	tcase_set_timeout(c, 60);
	tcase_add_loop_test(c, note_reaches_all_members_once, 0,
	    sizeof fleets / sizeof *fleets);
	tcase_add_test(c, many_notes_fit_into_the_datagrams);
	tcase_add_test(c, member_that_joins_later_gets_kept_notes);
	tcase_add_test(c, note_that_is_over_is_not_taken_again);
	tcase_add_test(c, late_note_is_not_taken);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
