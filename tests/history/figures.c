#include "check.h"

#include <stdio.h>
#include <string.h>

struct tally {
	GArray *via_daemon; /* us of each whole answer through a daemon */
	GArray *direct; /* us of each whole answer to options.direct */
	GHashTable *outcomes; /* "who id" of a call: its latest outcome */
	GHashTable *measure_count; /* target: measuring requests to it */
};

static gint
compare_value(gconstpointer p, gconstpointer q)
{
	int64_t a = *(const int64_t *)p, b = *(const int64_t *)q;

	return a < b ? -1 : a > b;
}

/* Percentile by the nearest-rank method, us to ms; 0 without values. Sorts the
 * values. */
static double
quantile(GArray *v, unsigned percent)
{
	guint rank = (v->len * percent + 99) / 100;

	if (!v->len)
		return 0;
	g_array_sort(v, compare_value);
	return (double)g_array_index(v, int64_t, MAX(rank, 1) - 1) / 1000;
}

static void
add_latency(const struct check *c, struct tally *t, const struct event *e)
{
	int64_t us = event_number(e, "us");
	GArray *v = check_is_direct(c, e) ? t->direct : t->via_daemon;

	if (!strcmp(event_get(e, "outcome"), "whole"))
		g_array_append_val(v, us);
}

static void
add_event(const struct check *c, struct tally *t, const struct event *e)
{
	const char *outcome = event_get(e, "outcome");
	guint n;

	if (event_is(e, "measure")) {
		n = GPOINTER_TO_UINT(
		    g_hash_table_lookup(t->measure_count, e->who));
		g_hash_table_insert(t->measure_count, (void *)e->who,
		    GUINT_TO_POINTER(n + 1));
	}
	if (event_is(e, "answer"))
		add_latency(c, t, e);
	if (check_is_direct(c, e) ||
	    (!event_is(e, "call") && !event_is(e, "answer")))
		return;
	/* A call counts as broken until its answer is read. */
	g_hash_table_insert(t->outcomes,
	    g_strdup_printf("%s %s", e->who, event_get(e, "id")),
	    (void *)(event_is(e, "call") ? "broken" : outcome));
}

static uint32_t
count_outcome(const struct tally *t, const char *outcome)
{
	GHashTableIter i;
	uint32_t n = 0;
	gpointer v;

	g_hash_table_iter_init(&i, t->outcomes);
	while (g_hash_table_iter_next(&i, NULL, &v))
		n += !strcmp(v, outcome);
	return n;
}

/* Highest rate of measuring requests to one target, a second, from a start of
 * the target to the end of the run. All requests to a target count for each of
 * its starts, so a restarted target's rate comes out too high. */
static double
max_measure_rate(const struct check *c, const struct tally *t)
{
	const struct event *last = check_event(c, c->events->len - 1);
	const struct event *e;
	double rate, max_rate = 0;
	uint32_t i, n;

	for (i = 0; i < c->events->len; i++) {
		e = check_event(c, i);
		n = GPOINTER_TO_UINT(
		    g_hash_table_lookup(t->measure_count, e->who));
		if (!event_is(e, "start") || last->at <= e->at)
			continue;
		rate = (double)n * SECOND / (double)(last->at - e->at);
		max_rate = MAX(max_rate, rate);
	}
	return max_rate;
}

static uint32_t
print_tally(const struct check *c, const struct tally *t)
{
	uint32_t whole = count_outcome(t, "whole");

	printf("%-36s %8u\n", "calls", g_hash_table_size(t->outcomes));
	printf("%-36s %8u\n", "whole answers", whole);
	printf("%-36s %8u\n", "not run", count_outcome(t, "not-run"));
	printf("%-36s %8u\n", "unknown", count_outcome(t, "unknown"));
	printf("%-36s %8u\n", "failed", count_outcome(t, "failed"));
	printf("%-36s %8u\n", "broken or wrong",
	    count_outcome(t, "broken") + count_outcome(t, "bad"));
	printf("%-36s %8.2f ms\n", "p50", quantile(t->via_daemon, 50));
	printf("%-36s %8.2f ms\n", "p99", quantile(t->via_daemon, 99));
	if (t->direct->len)
		printf("%-36s %8.2f ms\n", "p99 added",
		    quantile(t->via_daemon, 99) - quantile(t->direct, 99));
	printf("%-36s %8.2f requests/s\n", "measuring, most per target",
	    max_measure_rate(c, t));
	return whole;
}

uint32_t
print_figures(const struct check *c)
{
	struct tally t = { g_array_new(FALSE, FALSE, sizeof(int64_t)),
		g_array_new(FALSE, FALSE, sizeof(int64_t)),
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		g_hash_table_new(g_str_hash, g_str_equal) };
	uint32_t i, whole;

	for (i = 0; i < c->events->len; i++)
		add_event(c, &t, check_event(c, i));
	whole = print_tally(c, &t);
	g_array_free(t.via_daemon, TRUE);
	g_array_free(t.direct, TRUE);
	g_hash_table_destroy(t.outcomes);
	g_hash_table_destroy(t.measure_count);
	return whole;
}
