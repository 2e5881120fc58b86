#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

/* Returns a service object, removed if @value is NULL. */
static struct config_object
object(const char *name, uint64_t version, const char *value)
{
	struct config_object o = { .kind = CONFIG_SERVICE, .version = version };

	g_strlcpy(o.name, name, sizeof o.name);
	o.removed = !value;
	o.value = value ? g_bytes_new_static(value, strlen(value)) : NULL;
	return o;
}

/* Applies a batch with one object, and frees the value. */
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
	enum config_outcome r = config_apply_batch(t, &b, &e);

	if (o.value)
		g_bytes_unref(o.value);
	return r;
}

/* Applies a full list from the platform, and frees the values. */
static enum config_outcome
apply_full_list(struct config_table *t, uint64_t version,
    struct config_object *o, int n)
{
	struct config_batch b = { .upto = version,
		.complete = version,
		.full = 1,
		.nobject = n,
		.object = o };
	struct kq_error e;
	enum config_outcome r = config_apply_batch(t, &b, &e);
	int i;

	for (i = 0; i < n; i++)
		g_bytes_unref(o[i].value);
	return r;
}

START_TEST(versions_only_increase)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_counts c;

	ck_assert_int_eq(apply(t, 0, 0, 5, object("a", 5, "five")),
	    CONFIG_APPLIED);
	ck_assert_int_eq(apply(t, 0, 0, 5, object("a", 5, "five")), CONFIG_OLD);
	ck_assert_int_eq(apply(t, 7, 0, 3, object("a", 3, "x")), CONFIG_OLD);
	ck_assert_int_eq(apply(t, 0, 9, 12, object("a", 12, "y")), CONFIG_GAP);
	ck_assert_uint_eq(config_complete_version(t), 5);
	ck_assert_uint_eq(config_highest_version(t), 12);
	ck_assert_int_eq(apply(t, 0, 5, 9, object("b", 9, "z")),
	    CONFIG_APPLIED);
	ck_assert_int_eq(apply(t, 0, 9, 12, object("a", 12, "y")),
	    CONFIG_APPLIED);
	ck_assert_uint_eq(config_complete_version(t), 12);
	ck_assert_uint_eq(config_find(t, CONFIG_SERVICE, "a")->version, 12);
	config_counts(t, &c);
	ck_assert_uint_eq(c.updated, 3);
	ck_assert_uint_eq(c.old, 3);
	ck_assert_uint_eq(c.gaps, 1);
	config_free(t);
}
END_TEST

START_TEST(removal_has_a_version)
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

START_TEST(lower_platform_version_is_rejected)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o = object("b", 4, "other");
	struct config_counts c;

	apply(t, 0, 0, 9, object("a", 9, "nine"));
	ck_assert_int_eq(apply_full_list(t, 4, &o, 1), CONFIG_WENT_BACK);
	ck_assert_int_eq(apply(t, 0, 9, 4, object("b", 4, "x")),
	    CONFIG_WENT_BACK);
	ck_assert_ptr_null(config_find(t, CONFIG_SERVICE, "b"));
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 0);
	ck_assert_int_eq(apply(t, 0, 9, 9, object("a", 9, "NINE")),
	    CONFIG_CONFLICT);
	config_counts(t, &c);
	ck_assert_uint_eq(c.went_back, 2);
	ck_assert_uint_eq(c.conflicts, 1);
	ck_assert_uint_eq(config_complete_version(t), 9);
	config_free(t);
}
END_TEST

/* Applies one object of a list that may be stale and names version 9. */
static void
apply_stale(struct config_table *t, struct config_object o)
{
	struct config_batch b = { .upto = 9,
		.complete = 9,
		.kinds = 1u << CONFIG_SERVICE,
		.stale = 1,
		.nobject = 1,
		.object = &o };
	struct kq_error e;

	config_apply_batch(t, &b, &e);
	g_bytes_unref(o.value);
}

START_TEST(stale_objects_have_no_version)
{
	const struct config_pull first = { 0 };
	struct config_table *t = config_new(NULL, NULL);
	struct config_table *peer = config_new(NULL, NULL);
	struct config_batch page;
	struct kq_error e;

	apply(peer, 0, 0, 5, object("a", 5, "five"));
	apply(peer, 0, 5, 9, object("a", 9, "nine"));
	apply_stale(t, object("a", 5, "five"));
	apply_stale(t, object("gone", 3, "three"));
	ck_assert_uint_eq(config_complete_version(t), 0);
	ck_assert_uint_eq(config_digest(t), 0);
	ck_assert_uint_eq(config_find(t, CONFIG_SERVICE, "a")->version, 0);
	/* they are not passed on */
	config_read_page(t, 2, &first, 1000, &page);
	ck_assert_int_eq(page.nobject, 0);
	config_batch_clear(&page);
	/* the first page of a peer replaces them, and removes what it lacks */
	config_read_page(peer, 2, &first, 1000, &page);
	ck_assert_int_eq(config_apply_batch(t, &page, &e), CONFIG_APPLIED);
	config_batch_clear(&page);
	ck_assert_uint_eq(config_complete_version(t), 9);
	ck_assert_uint_eq(config_find(t, CONFIG_SERVICE, "a")->version, 9);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "gone")->removed, 1);
	ck_assert_uint_eq(config_digest(t), config_digest(peer));
	/* a late one is ignored */
	apply_stale(t, object("late", 9, "x"));
	ck_assert_ptr_null(config_find(t, CONFIG_SERVICE, "late"));
	config_free(t);
	config_free(peer);
}
END_TEST

/* Applies a current list of the services from the platform. */
static void
apply_list(struct config_table *t, uint64_t version, struct config_object *o,
    int n)
{
	struct config_batch b = { .upto = version,
		.kinds = 1u << CONFIG_SERVICE,
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
		g_bytes_unref(o[i].value);
}

/* Guards against a member that keeps an object which was removed before its
 * source began. */
START_TEST(list_does_not_hide_removals_from_members)
{
	const struct config_pull from_20 = { .after = 20 };
	struct config_table *source = config_new(NULL, NULL);
	struct config_table *behind = config_new(NULL, NULL);
	struct config_object o = object("a", 5, "a");
	struct config_batch page;
	struct kq_error e;

	apply(behind, 0, 0, 5, object("a", 5, "a"));
	apply(behind, 0, 5, 20, object("removed at 25", 20, "x"));
	apply_list(source, 30, &o, 1);
	config_read_page(source, 2, &from_20, 1000, &page);
	config_apply_batch(behind, &page, &e);
	config_batch_clear(&page);
	ck_assert_uint_eq(config_complete_version(behind), 30);
	ck_assert_int_eq(config_find(behind, CONFIG_SERVICE, "removed at 25")
			     ->removed,
	    1);
	ck_assert_uint_eq(config_digest(behind), config_digest(source));
	config_free(source);
	config_free(behind);
}
END_TEST

/* Guards against full lists to all members after each list that brings nothing.
 */
START_TEST(list_without_news_leaves_changes_to_members)
{
	const struct config_pull from_9 = { .after = 9 };
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o = object("a", 9, "a");
	struct config_batch page;

	apply(t, 0, 0, 9, object("a", 9, "a"));
	apply_list(t, 14, &o, 1);
	config_read_page(t, 2, &from_9, 1000, &page);
	ck_assert_int_eq(page.full, 0);
	ck_assert_int_eq(page.nobject, 0);
	config_batch_clear(&page);
	config_free(t);
}
END_TEST

/* Guards against a table that stays without an object which its complete
 * version names, although each list has it. */
START_TEST(list_brings_what_the_complete_version_lacks)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o[2];

	apply(t, 0, 0, 9, object("a", 5, "five"));
	ck_assert_uint_eq(config_complete_version(t), 9);
	o[0] = object("a", 8, "eight");
	o[1] = object("b", 7, "seven");
	apply_list(t, 9, o, 2);
	ck_assert_uint_eq(config_find(t, CONFIG_SERVICE, "a")->version, 8);
	ck_assert_ptr_nonnull(config_find(t, CONFIG_SERVICE, "b"));
	/* not one of an older version */
	o[0] = object("c", 6, "six");
	apply_list(t, 8, o, 1);
	ck_assert_ptr_null(config_find(t, CONFIG_SERVICE, "c"));
	config_free(t);
}
END_TEST

/* Guards against a removal that a member without the object has spread, and
 * that no list undoes. */
START_TEST(list_undoes_the_removal_of_what_it_shows)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o = object("a", 5, "five");
	struct config_batch lacking = { .source = 7,
		.full = 1,
		.upto = 30,
		.complete = 30 };
	struct kq_error e;

	apply(t, 0, 0, 20, object("a", 5, "five"));
	config_apply_batch(t, &lacking, &e);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 1);
	apply_list(t, 30, &o, 1);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 0);
	/* not a later removal, nor by a list of an older version */
	apply(t, 0, 39, 40, object("a", 40, NULL));
	o = object("a", 5, "five");
	apply_list(t, 30, &o, 1);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 1);
	o = object("a", 5, "five");
	apply_list(t, 39, &o, 1);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 1);
	config_free(t);
}
END_TEST

/* Guards against a full list of several pages that removes the objects of its
 * first page. */
START_TEST(list_between_pages_removes_nothing)
{
	const struct config_pull first = { 0 };
	struct config_table *source = config_new(NULL, NULL);
	struct config_table *t = config_new(NULL, NULL);
	struct config_object o = object("x", 2, "x");
	struct config_batch b = { .upto = 2,
		.kinds = 1u << CONFIG_ROUTING,
		.nobject = 1,
		.object = &o };
	struct config_batch page;
	struct config_pull next;
	struct kq_error e;

	apply(source, 0, 0, 1, object("a", 1, "a"));
	apply(source, 0, 1, 9, object("b", 9, "b"));
	config_read_page(source, 7, &first, 1, &page);
	ck_assert_int_eq(page.more, 1);
	config_apply_batch(t, &page, &e);
	config_batch_clear(&page);
	o.kind = CONFIG_ROUTING;
	config_apply_batch(t, &b, &e);
	g_bytes_unref(o.value);
	config_next_pull(t, 7, &next);
	config_read_page(source, 7, &next, 1, &page);
	ck_assert_int_eq(config_apply_batch(t, &page, &e), CONFIG_APPLIED);
	config_batch_clear(&page);
	ck_assert_uint_eq(config_complete_version(t), 9);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 0);
	config_free(source);
	config_free(t);
}
END_TEST

START_TEST(digest_tells_what_is_held)
{
	struct config_table *t = config_new(NULL, NULL);
	struct config_table *u = config_new(NULL, NULL);

	ck_assert_uint_eq(config_digest(t), 0);
	apply(t, 0, 0, 1, object("a", 1, "one"));
	apply(t, 0, 1, 2, object("b", 2, "two"));
	apply(u, 0, 0, 1, object("b", 1, "two"));
	ck_assert_uint_ne(config_digest(t), config_digest(u));
	apply(u, 0, 1, 2, object("a", 2, "one"));
	ck_assert_uint_eq(config_digest(t), config_digest(u));
	apply(u, 0, 2, 3, object("a", 3, "eno"));
	ck_assert_uint_ne(config_digest(t), config_digest(u));
	apply(u, 0, 3, 4, object("a", 4, NULL));
	apply(t, 0, 2, 3, object("a", 3, NULL));
	ck_assert_uint_eq(config_digest(t), config_digest(u));
	/* what is newer than the complete version is not compared */
	apply(t, 0, 8, 9, object("c", 9, "three"));
	ck_assert_uint_eq(config_digest(t), 0);
	config_free(t);
	config_free(u);
}
END_TEST

START_TEST(full_list_removes_missing_objects)
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
	ck_assert_int_eq(apply_full_list(t, 8, o, 2), CONFIG_APPLIED);
	ck_assert_uint_eq(config_complete_version(t), 8);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "a")->removed, 0);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "b")->removed, 1);
	ck_assert_uint_eq(config_find(t, CONFIG_SERVICE, "b")->version, 8);
	ck_assert_int_eq(config_find(t, CONFIG_SERVICE, "c")->removed, 0);
	/* Removals up to version 8 that the table did not see one by one can't
	 * be passed on, so that the page starts a full list. */
	config_read_page(t, 1, &from_2, 1000, &page);
	ck_assert_int_eq(page.full, 1);
	ck_assert_uint_eq(page.after, 0);
	config_batch_clear(&page);
	ck_assert_int_eq(config_apply_batch(t, &page, &e), CONFIG_OLD);
	config_free(t);
}
END_TEST

START_TEST(invalid_objects_are_counted)
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
	ck_assert_int_eq(config_apply_batch(t, &b, &e), CONFIG_APPLIED);
	config_counts(t, &c);
	ck_assert_uint_eq(c.invalid, 4);
	ck_assert_uint_eq(config_highest_version(t), 0);
	for (i = 0; i < 4; i++)
		g_bytes_unref(o[i].value);
	config_free(t);
}
END_TEST

/* The oldest tombstones are dropped; a pull after a version below that of a
 * dropped one is answered with a full list. */
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
	config_read_page(t, 1, &pull, 100, &page);
	ck_assert_int_eq(page.full, 1);
	ck_assert_int_eq(page.more, 1);
	config_batch_clear(&page);
	pull.after = v - 3;
	config_read_page(t, 1, &pull, 100, &page);
	ck_assert_int_eq(page.full, 0);
	ck_assert_int_eq(page.nobject, 2);
	config_batch_clear(&page);
	config_free(t);
}
END_TEST

/* A page has at most CONFIG_PAGE_OBJECTS objects, however small they are. */
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
		config_read_page(t, 1, &pull, 1 << 20, &page);
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
#define REPLIES 8

/**
 * struct history - all changes on the platform
 * @version: of the last change
 * @at: of each object, its version as of each version of the platform
 * @removed: whether the change of each version removed the object
 */
struct history {
	uint64_t version;
	uint64_t at[NAMES][STEPS + 1];
	int removed[STEPS + 1];
};

/**
 * struct fixture - tables that pull from the platform and from each other
 * @reply: latest replies, each delivered late, repeatedly or never
 * @asker: table that each reply goes to
 */
struct fixture {
	GRand *rand;
	struct history history;
	struct config_table *table[TABLES];
	struct config_batch reply[REPLIES];
	int asker[REPLIES];
};

/* Returns object number @name as the platform's change to @version left it. */
static struct config_object
platform_object(const struct fixture *f, int name, uint64_t version)
{
	char text[CONFIG_NAME_MAX];
	struct config_object o = { .kind = name % CONFIG_KINDS };

	snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, version);
	snprintf(o.name, sizeof o.name, "n%d", name);
	o.version = version;
	o.removed = f->history.removed[version];
	o.value = o.removed ? NULL : g_bytes_new(text, strlen(text) + 1);
	return o;
}

static void
change_object(struct fixture *f)
{
	struct history *h = &f->history;
	int i, name = g_rand_int_range(f->rand, 0, NAMES);
	uint64_t v = ++h->version;

	for (i = 0; i < NAMES; i++)
		h->at[i][v] = h->at[i][v - 1];
	h->at[name][v] = v;
	h->removed[v] = g_rand_int_range(f->rand, 0, 4) == 0;
}

/* Fills in the platform's reply: a full list of the objects in force, or else
 * all changes after a version, as for a watch. */
static void
platform_reply(const struct fixture *f, uint64_t after, int full,
    struct config_batch *b)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct config_object));
	uint64_t v, top = f->history.version;
	int i;

	memset(b, 0, sizeof *b);
	for (v = full ? 0 : after + 1; v <= top; v++) {
		for (i = 0; i < NAMES && v > 0; i++) {
			struct config_object o;

			if (f->history.at[i][v] != v ||
			    (full && (f->history.at[i][top] != v ||
					 f->history.removed[v])))
				continue;
			o = platform_object(f, i, v);
			g_array_append_val(a, o);
		}
	}
	b->after = full ? 0 : after;
	b->full = full;
	b->upto = b->complete = top;
	b->nobject = (int)a->len;
	b->object = (struct config_object *)(void *)g_array_free(a, FALSE);
}

/* A random table asks the platform or another table for changes; the reply may
 * be delivered later, by deliver_reply(). */
static void
pull_changes(struct fixture *f)
{
	int slot = g_rand_int_range(f->rand, 0, REPLIES);
	int from = g_rand_int_range(f->rand, -1, TABLES);
	int to = g_rand_int_range(f->rand, 0, TABLES);
	struct config_batch *b = &f->reply[slot];
	uint64_t source = (uint64_t)from + 1;
	struct config_pull pull;

	if (from == to)
		return;
	config_batch_clear(b);
	f->asker[slot] = to;
	config_next_pull(f->table[to], source, &pull);
	if (from >= 0)
		config_read_page(f->table[from], source, &pull,
		    (size_t)g_rand_int_range(f->rand, 1, 120), b);
	else if (g_rand_int_range(f->rand, 0, 3) == 0)
		platform_reply(f, pull.after,
		    g_rand_int_range(f->rand, 0, 4) == 0, b);
}

/* The objects in force at versions up to the table's complete version must be
 * those that the platform had at that version; an object above it may be at any
 * later version. */
static void
check_table(const struct fixture *f, int k)
{
	const struct config_table *t = f->table[k];
	uint64_t complete = config_complete_version(t);
	int i;

	ck_assert_uint_le(complete, f->history.version);
	for (i = 0; i < NAMES; i++) {
		struct config_object want =
		    platform_object(f, i, f->history.at[i][complete]);
		const struct config_object *o =
		    config_find(t, want.kind, want.name);
		int in_force = o && !o->removed;

		if (want.value)
			g_bytes_unref(want.value);
		if (in_force)
			ck_assert_uint_eq(strtoull(g_bytes_get_data(o->value,
						       NULL),
					      NULL, 10),
			    o->version);
		if (o && o->version > complete)
			continue;
		ck_assert_msg(in_force == (want.version && !want.removed),
		    "table %d: object %s at version %d", k, want.name,
		    (int)complete);
		if (in_force)
			ck_assert_uint_eq(o->version, want.version);
	}
}

static void
deliver_reply(struct fixture *f)
{
	int slot = g_rand_int_range(f->rand, 0, REPLIES);
	int to = f->asker[slot];
	uint64_t before = config_complete_version(f->table[to]);
	struct kq_error e;
	enum config_outcome r =
	    config_apply_batch(f->table[to], &f->reply[slot], &e);

	ck_assert_int_ne(r, CONFIG_CONFLICT);
	ck_assert_uint_ge(config_complete_version(f->table[to]), before);
	check_table(f, to);
}

/* Tables that pull in random order from each other and from the platform hold
 * all changes up to their complete versions, which never decrease. */
START_TEST(complete_version_lacks_no_change)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct config_batch b;
	struct kq_error e;
	int i;

	f->rand = g_rand_new_with_seed(1000 + (guint32)_i);
	for (i = 0; i < TABLES; i++)
		f->table[i] = config_new(NULL, NULL);
	for (i = 0; i < STEPS; i++) {
		int action = g_rand_int_range(f->rand, 0, 10);

		if (action == 0)
			change_object(f);
		else if (action < 6)
			pull_changes(f);
		else
			deliver_reply(f);
	}
	for (i = 0; i < TABLES; i++) {
		platform_reply(f, config_complete_version(f->table[i]), 0, &b);
		config_apply_batch(f->table[i], &b, &e);
		config_batch_clear(&b);
		ck_assert_uint_eq(config_complete_version(f->table[i]),
		    f->history.version);
		check_table(f, i);
		config_free(f->table[i]);
	}
	for (i = 0; i < REPLIES; i++)
		config_batch_clear(&f->reply[i]);
	g_rand_free(f->rand);
	g_free(f);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("config");
	TCase *c = tcase_create("config");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(c, versions_only_increase);
	tcase_add_test(c, removal_has_a_version);
	tcase_add_test(c, lower_platform_version_is_rejected);
	tcase_add_test(c, stale_objects_have_no_version);
	tcase_add_test(c, list_does_not_hide_removals_from_members);
	tcase_add_test(c, list_without_news_leaves_changes_to_members);
	tcase_add_test(c, list_brings_what_the_complete_version_lacks);
	tcase_add_test(c, list_undoes_the_removal_of_what_it_shows);
	tcase_add_test(c, list_between_pages_removes_nothing);
	tcase_add_test(c, digest_tells_what_is_held);
	tcase_add_test(c, full_list_removes_missing_objects);
	tcase_add_test(c, invalid_objects_are_counted);
	tcase_add_test(c, tombstones_are_bounded);
	tcase_add_test(c, pages_are_bounded_in_objects);
	tcase_add_loop_test(c, complete_version_lacks_no_change, 0, 40);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
