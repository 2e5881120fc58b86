#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

static struct config_object
object(const char *name, uint64_t version, const char *value)
{
	struct config_object o = { .kind = CONFIG_SERVICE, .version = version };

	g_strlcpy(o.name, name, sizeof o.name);
	o.removed = !value;
	o.value = value ? g_bytes_new_static(value, strlen(value)) : NULL;
	return o;
}

/* Applies one object as a batch of its own. */
static enum config_outcome
apply(struct config_table *t, uint64_t source, uint64_t after, uint64_t upto,
    struct config_object o)
{
	struct config_batch b = { .source = source,
		.after = after,
		.upto = upto,
		.complete = upto,
		.nobject = 1,
		.object = &o };
	struct kq_error e;
	enum config_outcome r = config_apply(t, &b, &e);

	if (o.value)
		g_bytes_unref(o.value);
	return r;
}

static enum config_outcome
list(struct config_table *t, uint64_t version, struct config_object *o, int n)
{
	struct config_batch b = { .upto = version,
		.complete = version,
		.full = 1,
		.nobject = n,
		.object = o };
	struct kq_error e;
	enum config_outcome r = config_apply(t, &b, &e);
	int i;

	for (i = 0; i < n; i++)
		g_bytes_unref(o[i].value);
	return r;
}

START_TEST(versions_only_rise)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_counts c;

	ck_assert_int_eq(apply(t, 0, 0, 5, object("a", 5, "five")),
	    CONFIG_APPLIED);
	ck_assert_int_eq(apply(t, 0, 0, 5, object("a", 5, "five")), CONFIG_OLD);
	ck_assert_int_eq(apply(t, 7, 0, 3, object("a", 3, "x")), CONFIG_OLD);
	ck_assert_int_eq(apply(t, 0, 9, 12, object("a", 12, "y")), CONFIG_GAP);
	ck_assert_uint_eq(config_complete(t), 5);
	ck_assert_uint_eq(config_highest(t), 12);
	ck_assert_int_eq(apply(t, 0, 5, 9, object("b", 9, "z")),
	    CONFIG_APPLIED);
	ck_assert_int_eq(apply(t, 0, 9, 12, object("a", 12, "y")),
	    CONFIG_APPLIED);
	ck_assert_uint_eq(config_complete(t), 12);
	ck_assert_uint_eq(config_find(t, CONFIG_SERVICE, "a")->version, 12);
	config_counts(t, &c);
	ck_assert_uint_eq(c.taken, 3);
	ck_assert_uint_eq(c.old, 3);
	ck_assert_uint_eq(c.gaps, 1);
	config_free(t);
}
END_TEST

START_TEST(removal_is_a_version)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_snapshot *before, *after;

	apply(t, 0, 0, 1, object("a", 1, "one"));
	before = config_snapshot_new(t);
	apply(t, 0, 1, 2, object("a", 2, NULL));
	after = config_snapshot_new(t);
	ck_assert_int_eq(apply(t, 3, 0, 1, object("a", 1, "one")), CONFIG_OLD);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 1);
	ck_assert_ptr_nonnull(
	    config_snapshot_find(before, CONFIG_SERVICE, "a"));
	ck_assert_ptr_null(config_snapshot_find(after, CONFIG_SERVICE, "a"));
	ck_assert_ptr_null(
	    config_snapshot_find(before, CONFIG_DATACENTRE, "a"));
	apply(t, 0, 2, 3, object("a", 3, "back"));
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 0);
	config_snapshot_free(before);
	config_snapshot_free(after);
	config_free(t);
}
END_TEST

START_TEST(platform_that_went_back_is_refused)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o = object("b", 4, "other");
	struct config_counts c;

	apply(t, 0, 0, 9, object("a", 9, "nine"));
	ck_assert_int_eq(list(t, 4, &o, 1), CONFIG_WENT_BACK);
	ck_assert_int_eq(apply(t, 0, 9, 4, object("b", 4, "x")),
	    CONFIG_WENT_BACK);
	ck_assert_ptr_null(config_find(t, CONFIG_SERVICE, "b"));
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 0);
	ck_assert_int_eq(apply(t, 0, 9, 9, object("a", 9, "NINE")),
	    CONFIG_CONFLICT);
	config_counts(t, &c);
	ck_assert_uint_eq(c.went_back, 2);
	ck_assert_uint_eq(c.conflicts, 1);
	ck_assert_uint_eq(config_complete(t), 9);
	config_free(t);
}
END_TEST

START_TEST(list_resync_removes_what_it_lacks)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o[2];
	const struct config_pull from_2 = { .after = 2 };
	struct config_batch page;
	struct kq_error e;

	apply(t, 0, 0, 1, object("a", 1, "a"));
	apply(t, 0, 1, 2, object("b", 2, "b"));
	apply(t, 5, 20, 30, object("c", 30, "ahead"));
	o[0] = object("a", 1, "a");
	o[1] = object("d", 7, "d");
	ck_assert_int_eq(list(t, 8, o, 2), CONFIG_APPLIED);
	ck_assert_uint_eq(config_complete(t), 8);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 0);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "b")->removed, 1);
	ck_assert_uint_eq(config_find(t, CONFIG_SERVICE, "b")->version, 8);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "c")->removed, 0);
	/* Removals before 8 that we never saw can't be passed on one by one. */
	config_changes(t, 1, &from_2, 1000, &page);
	ck_assert_int_eq(page.full, 1);
	ck_assert_uint_eq(page.after, 0);
	config_batch_clear(&page);
	ck_assert_int_eq(config_apply(t, &page, &e), CONFIG_OLD);
	config_free(t);
}
END_TEST

START_TEST(bad_objects_are_counted)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o[4];
	struct config_batch b = { .upto = 9, .complete = 9, .object = o };
	struct config_counts c;
	struct kq_error e;
	int i;

	for (i = 0; i < 4; i++)
		o[i] = object("a", 1, "v");
	o[0].kind = CONFIG_KINDS;
	o[1].version = 0;
	o[2].name[0] = '\0';
	memset(o[3].name, 'x', sizeof o[3].name);
	b.nobject = 4;
	ck_assert_int_eq(config_apply(t, &b, &e), CONFIG_APPLIED);
	config_counts(t, &c);
	ck_assert_uint_eq(c.bad, 4);
	ck_assert_uint_eq(config_highest(t), 0);
	for (i = 0; i < 4; i++)
		g_bytes_unref(o[i].value);
	config_free(t);
}
END_TEST

/* The oldest tombstones go; an asker from before them gets a full list. */
START_TEST(tombstones_are_bounded)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_pull pull = { .after = 5 };
	struct config_batch page;
	uint64_t v;

	for (v = 1; v <= CONFIG_TOMBSTONES_MAX + 1; v++) {
		char name[CONFIG_NAME_MAX];

		snprintf(name, sizeof name, "n%d", (int)v);
		apply(t, 0, v - 1, v, object(name, v, NULL));
	}
	ck_assert_ptr_null(config_find(t, CONFIG_SERVICE, "n1"));
	ck_assert_int_eq(apply(t, 9, 0, 1, object("n1", 1, "x")), CONFIG_OLD);
	config_changes(t, 1, &pull, 100, &page);
	ck_assert_int_eq(page.full, 1);
	ck_assert_int_eq(page.more, 1);
	config_batch_clear(&page);
	pull.after = v - 3;
	config_changes(t, 1, &pull, 100, &page);
	ck_assert_int_eq(page.full, 0);
	ck_assert_int_eq(page.nobject, 2);
	config_batch_clear(&page);
	config_free(t);
}
END_TEST

/* A page has room for so many objects, however small they are. */
START_TEST(pages_are_bounded_in_objects)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_pull pull = { 0 };
	struct config_batch page;
	uint64_t v, n = 2 * CONFIG_PAGE_OBJECTS + 10;

	for (v = 1; v <= n; v++) {
		char name[CONFIG_NAME_MAX];

		snprintf(name, sizeof name, "n%d", (int)v);
		apply(t, 0, v - 1, v, object(name, v, "x"));
	}
	for (v = 0; v < n; v = pull.after) {
		config_changes(t, 1, &pull, 1 << 20, &page);
		ck_assert_int_gt(page.nobject, 0);
		ck_assert_int_le(page.nobject, CONFIG_PAGE_OBJECTS);
		ck_assert_int_eq(page.more, page.upto < n);
		pull.after = page.upto;
		config_batch_clear(&page);
	}
	config_free(t);
}
END_TEST

/* ---- random runs against a model of the platform ---- */

#define NAMES 12
#define TABLES 5
#define STEPS 4000
#define HELD_BACK 8

struct history {
	uint64_t version;
	uint64_t at[NAMES][STEPS + 1]; /* latest version up to each */
	int removed[STEPS + 1];
};

struct world {
	GRand *rand;
	struct history past;
	struct config_table *table[TABLES];
	struct config_batch late[HELD_BACK]; /* answers on their way */
	int late_to[HELD_BACK];
};

static struct config_object
version_of(const struct world *w, int name, uint64_t version)
{
	char text[CONFIG_NAME_MAX];
	struct config_object o = { .kind = name % CONFIG_KINDS };

	snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, version);
	snprintf(o.name, sizeof o.name, "n%d", name);
	o.version = version;
	o.removed = w->past.removed[version];
	o.value = o.removed ? NULL : g_bytes_new(text, strlen(text) + 1);
	return o;
}

static void
write_one(struct world *w)
{
	struct history *h = &w->past;
	int i, name = g_rand_int_range(w->rand, 0, NAMES);
	uint64_t v = ++h->version;

	for (i = 0; i < NAMES; i++)
		h->at[i][v] = h->at[i][v - 1];
	h->at[name][v] = v;
	h->removed[v] = g_rand_int_range(w->rand, 0, 4) == 0;
}

/* Watch: every change after; list: what lives now. */
static void
ask_platform(const struct world *w, uint64_t after, int full,
    struct config_batch *b)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct config_object));
	uint64_t v, top = w->past.version;
	int i;

	memset(b, 0, sizeof *b);
	for (v = full ? 0 : after + 1; v <= top; v++) {
		for (i = 0; i < NAMES && v > 0; i++) {
			struct config_object o;

			if (w->past.at[i][v] != v ||
			    (full && (w->past.at[i][top] != v ||
					 w->past.removed[v])))
				continue;
			o = version_of(w, i, v);
			g_array_append_val(a, o);
		}
	}
	b->after = full ? 0 : after;
	b->full = full;
	b->upto = b->complete = top;
	b->nobject = (int)a->len;
	b->object = (struct config_object *)(void *)g_array_free(a, FALSE);
}

/* One table asks the platform or another table; the answer may come late. */
static void
ask(struct world *w)
{
	int slot = g_rand_int_range(w->rand, 0, HELD_BACK);
	int from = g_rand_int_range(w->rand, -1, TABLES);
	int to = g_rand_int_range(w->rand, 0, TABLES);
	struct config_batch *b = &w->late[slot];
	uint64_t source = (uint64_t)from + 1;
	struct config_pull pull;

	if (from == to)
		return;
	config_batch_clear(b);
	w->late_to[slot] = to;
	config_next(w->table[to], source, &pull);
	if (from >= 0)
		config_changes(w->table[from], source, &pull,
		    (size_t)g_rand_int_range(w->rand, 1, 120), b);
	else if (g_rand_int_range(w->rand, 0, 3) == 0)
		ask_platform(w, pull.after,
		    g_rand_int_range(w->rand, 0, 4) == 0, b);
}

/* What lives at or below the complete version must be just what the platform
 * had at that version; what is above may be any later version. */
static void
check_table(const struct world *w, int k)
{
	const struct config_table *t = w->table[k];
	uint64_t complete = config_complete(t);
	int i;

	ck_assert_uint_le(complete, w->past.version);
	for (i = 0; i < NAMES; i++) {
		struct config_object want =
		    version_of(w, i, w->past.at[i][complete]);
		const struct config_object *o =
		    config_find(t, want.kind, want.name);
		int lives = o && !o->removed;

		if (want.value)
			g_bytes_unref(want.value);
		if (lives)
			ck_assert_uint_eq(strtoull(g_bytes_get_data(o->value,
						       NULL),
					      NULL, 10),
			    o->version);
		if (o && o->version > complete)
			continue;
		ck_assert_msg(lives == (want.version && !want.removed),
		    "table %d, %s at %d", k, want.name, (int)complete);
		if (lives)
			ck_assert_uint_eq(o->version, want.version);
	}
}

static void
deliver(struct world *w)
{
	int slot = g_rand_int_range(w->rand, 0, HELD_BACK);
	int to = w->late_to[slot];
	uint64_t before = config_complete(w->table[to]);
	struct kq_error e;
	enum config_outcome r = config_apply(w->table[to], &w->late[slot], &e);

	ck_assert_int_ne(r, CONFIG_CONFLICT);
	ck_assert_uint_ge(config_complete(w->table[to]), before);
	check_table(w, to);
}

START_TEST(complete_means_complete)
{
	struct world *w = g_new0(struct world, 1);
	struct config_batch b;
	struct kq_error e;
	int i;

	w->rand = g_rand_new_with_seed(1000 + (guint32)_i);
	for (i = 0; i < TABLES; i++)
		w->table[i] = config_new(NULL, NULL);
	for (i = 0; i < STEPS; i++) {
		int what = g_rand_int_range(w->rand, 0, 10);

		if (what == 0)
			write_one(w);
		else if (what < 6)
			ask(w);
		else
			deliver(w);
	}
	for (i = 0; i < TABLES; i++) {
		ask_platform(w, config_complete(w->table[i]), 0, &b);
		config_apply(w->table[i], &b, &e);
		config_batch_clear(&b);
		ck_assert_uint_eq(config_complete(w->table[i]),
		    w->past.version);
		check_table(w, i);
		config_free(w->table[i]);
	}
	for (i = 0; i < HELD_BACK; i++)
		config_batch_clear(&w->late[i]);
	g_rand_free(w->rand);
	g_free(w);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("config");
	TCase *c = tcase_create("config");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(c, versions_only_rise);
	tcase_add_test(c, removal_is_a_version);
	tcase_add_test(c, platform_that_went_back_is_refused);
	tcase_add_test(c, list_resync_removes_what_it_lacks);
	tcase_add_test(c, bad_objects_are_counted);
	tcase_add_test(c, tombstones_are_bounded);
	tcase_add_test(c, pages_are_bounded_in_objects);
	tcase_add_loop_test(c, complete_means_complete, 0, 40);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
