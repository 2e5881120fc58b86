#include <check.h>
#include <stdlib.h>

#include "fleet.h"

#define MS 1000LL
#define SEEDS 40
#define MEMBERS 12
#define SILENT 6
#define SILENT_US (20000 * MS)
#define LATE_US                                                       \
	(100 * MS) /* at most, that a live member handles events late \
		    */
#define FIRST_CALL_US (400 * MS) /* until a call met each silent member */

/* Half of a fleet is silent from @begun on. Each silent member leaves calls of
 * one live member unanswered, which has it checked at @asked_at. */
struct silence {
	struct fleet *f;
	GRand *rand;
	int64_t begun;
	int64_t asked_at[SILENT];
	int asked_by[SILENT];
	int unmet; /* the last one gets no call */
};

static struct silence
silence_new(guint32 seed, int unmet)
{
	struct silence s;
	int i;

	s.f = fleet_new(MEMBERS, 0, seed, 1);
	s.rand = g_rand_new_with_seed(seed);
	fleet_run(s.f, s.f->now + 2000 * MS);
	s.begun = s.f->now;
	s.unmet = unmet;
	for (i = 0; i < SILENT; i++) {
		fleet_pause(s.f, i, SILENT_US);
		s.asked_at[i] =
		    s.begun + g_rand_int_range(s.rand, 0, FIRST_CALL_US);
		s.asked_by[i] = g_rand_int_range(s.rand, SILENT, MEMBERS);
	}
	return s;
}

static void
silence_free(struct silence *s)
{
	g_rand_free(s->rand);
	fleet_free(s->f);
}

/* Makes each live member that runs late again, each time by another bound. */
static void
make_late(struct silence *s)
{
	int i;

	for (i = SILENT; i < MEMBERS; i++)
		if (s->f->node[i].paused_until <= s->f->now)
			fleet_pause(s->f, i,
			    g_rand_int_range(s->rand, 0, LATE_US));
}

static void
ask_checks(struct silence *s, int64_t step)
{
	struct fleet *f = s->f;
	int i;

	for (i = 0; i < SILENT - s->unmet; i++)
		if (s->asked_at[i] >= f->now && s->asked_at[i] < f->now + step)
			member_check(f->node[s->asked_by[i]].table,
			    f->node[i].info.id, f->now);
}

static void
silence_run(struct silence *s, int64_t until, int late)
{
	int64_t step = 10 * MS;

	while (s->f->now < until) {
		ask_checks(s, step);
		if (late)
			make_late(s);
		fleet_run(s->f, s->f->now + step);
	}
}

/* Live members that have @node as suspect or dead. */
static int
suspected_by(const struct fleet *f, int node)
{
	const struct member *m;
	int i, n = 0;

	for (i = SILENT; i < MEMBERS; i++) {
		m = member_at(f->node[i].table,
		    member_find(f->node[i].table, f->node[node].info.id));
		n += i != node && m->state != MEMBER_ALIVE;
	}
	return n;
}

/* Counts pairs of a live and a silent member of which the first does not
 * suspect the second @after the last check was asked for. */
static int
unaware(guint32 seed, int64_t after, int late)
{
	struct silence s = silence_new(seed, 0);
	int i, n = 0;

	silence_run(&s, s.begun + FIRST_CALL_US + after, late);
	for (i = 0; i < SILENT; i++)
		n += MEMBERS - SILENT - suspected_by(s.f, i);
	for (i = SILENT; i < MEMBERS; i++)
		ck_assert_int_eq(suspected_by(s.f, i), 0);
	silence_free(&s);
	return n;
}

/* Whether the live members handle their events late, and the time after the
 * last check at which one pair in a hundred may be unaware. */
static const struct {
	int late;
	int64_t after;
} cases[] = { { 0, 600 * MS }, { 1, 900 * MS } };

/* Guards against a suspicion that is told to silent members and never reaches
 * some live ones, and against checks that end without a result. */
START_TEST(one_check_is_enough_for_all)
{
	int n = 0;
	guint32 i;

	for (i = 1; i <= SEEDS; i++)
		n += unaware(i, cases[_i].after, cases[_i].late);
	ck_assert_int_le(n, SEEDS * SILENT * (MEMBERS - SILENT) / 100);
}
END_TEST

/* Guards against a silent member that gets no requests for long and is found
 * only when many go to it at once. */
START_TEST(member_without_calls_is_found)
{
	int n = 0;
	guint32 i;

	for (i = 1; i <= SEEDS; i++) {
		struct silence s = silence_new(i, 1);

		silence_run(&s, s.begun + FIRST_CALL_US + 800 * MS, 0);
		n += suspected_by(s.f, SILENT - 1) < MEMBERS - SILENT;
		silence_free(&s);
	}
	ck_assert_int_le(n, SEEDS / 10);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("member_silent");
	TCase *c = tcase_create("member_silent");
	SRunner *r;
	int failed;

	tcase_set_timeout(c, 60);
	tcase_add_loop_test(c, one_check_is_enough_for_all, 0,
	    (int)G_N_ELEMENTS(cases));
	tcase_add_test(c, member_without_calls_is_found);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
