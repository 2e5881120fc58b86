#include "check.h"

#include <stdio.h>
#include <string.h>

struct tally {
	GArray *through; /* us of each whole answer */
	GArray *straight;
	GHashTable *final; /* "who id": outcome of the latest answer */
	GHashTable *measured; /* target: requests */
};

static gint
by_value(gconstpointer p, gconstpointer q)
{
	int64_t a = *(const int64_t *)p, b = *(const int64_t *)q;

	return a < b ? -1 : a > b;
}

/* Smallest value at or above a share of them, ms. */
static double
quantile(GArray *v, unsigned percent)
{
	guint rank = (v->len * percent + 99) / 100;

	if (!v->len)
		return 0;
	g_array_sort(v, by_value);
	return (double)g_array_index(v, int64_t, MAX(rank, 1) - 1) / 1000;
}

static void
note_answer(const struct check *c, struct tally *t, const struct event *e)
{
	int64_t us = event_number(e, "us");
	GArray *v = check_straight(c, e) ? t->straight : t->through;

	if (!strcmp(event_get(e, "outcome"), "whole"))
		g_array_append_val(v, us);
}

static void
note(const struct check *c, struct tally *t, const struct event *e)
{
	const char *outcome = event_get(e, "outcome");
	guint n;

	if (event_is(e, "measure")) {
		n = GPOINTER_TO_UINT(g_hash_table_lookup(t->measured, e->who));
		g_hash_table_insert(t->measured, (void *)e->who,
		    GUINT_TO_POINTER(n + 1));
	}
	if (event_is(e, "answer"))
		note_answer(c, t, e);
	if (check_straight(c, e) ||
	    (!event_is(e, "call") && !event_is(e, "answer")))
		return;
	g_hash_table_insert(t->final,
	    g_strdup_printf("%s %s", e->who, event_get(e, "id")),
	    (void *)(event_is(e, "call") ? "broken" : outcome));
}

static uint32_t
count(const struct tally *t, const char *outcome)
{
	GHashTableIter i;
	uint32_t n = 0;
	gpointer v;

	g_hash_table_iter_init(&i, t->final);
	while (g_hash_table_iter_next(&i, NULL, &v))
		n += !strcmp(v, outcome);
	return n;
}

static double
most_measured(const struct check *c, const struct tally *t)
{
	const struct event *last = check_event(c, c->events->len - 1);
	const struct event *e;
	double rate, most = 0;
	uint32_t i, n;

	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		n = GPOINTER_TO_UINT(g_hash_table_lookup(t->measured, e->who));
		if (!event_is(e, "start") || last->at <= e->at)
			continue;
		rate = (double)n * SECOND / (double)(last->at - e->at);
		most = MAX(most, rate);
	}
	return most;
}

static uint32_t
print(const struct check *c, const struct tally *t)
{
	uint32_t whole = count(t, "whole");

	printf("%-36s %8u\n", "calls", g_hash_table_size(t->final));
	printf("%-36s %8u\n", "whole answers", whole);
	printf("%-36s %8u\n", "not run", count(t, "not-run"));
	printf("%-36s %8u\n", "unknown", count(t, "unknown"));
	printf("%-36s %8u\n", "failed", count(t, "failed"));
	printf("%-36s %8u\n", "broken or wrong",
	    count(t, "broken") + count(t, "bad"));
	printf("%-36s %8.2f ms\n", "p50", quantile(t->through, 50));
	printf("%-36s %8.2f ms\n", "p99", quantile(t->through, 99));
	if (t->straight->len)
		printf("%-36s %8.2f ms\n", "p99 added",
		    quantile(t->through, 99) - quantile(t->straight, 99));
	printf("%-36s %8.2f requests/s\n", "measuring, most per target",
	    most_measured(c, t));
	return whole;
}

uint32_t
figures(const struct check *c)
{
	struct tally t = { g_array_new(FALSE, FALSE, sizeof(int64_t)),
		g_array_new(FALSE, FALSE, sizeof(int64_t)),
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		g_hash_table_new(g_str_hash, g_str_equal) };
	uint32_t i, whole;

	for (i = 0; i < c->events->len; i++)
		note(c, &t, check_event(c, i));
	whole = print(c, &t);
	g_array_free(t.through, TRUE);
	g_array_free(t.straight, TRUE);
	g_hash_table_destroy(t.final);
	g_hash_table_destroy(t.measured);
	return whole;
}
