#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "fleet.h"

#define LOSS 0.1
#define SECOND_US 1000000LL
#define SETTLE_US (10 * SECOND_US)
#define STEADY_US (60 * SECOND_US)
#define DETECT_US (30 * SECOND_US)
#define KILLS 5
#define PAUSES 5
#define PUBLICATIONS 20

static void
report(int n, const char *what, double value, const char *unit)
{
	printf("member_%d_%s %.3f %s\n", n, what, value, unit);
}

static void
report_times(int n, const char *what, GArray *times)
{
	char name[64];

	fleet_sort_times(times);
	snprintf(name, sizeof name, "%s_p50", what);
	report(n, name, (double)fleet_quantile(times, 0.5) / SECOND_US, "s");
	snprintf(name, sizeof name, "%s_p99", what);
	report(n, name, (double)fleet_quantile(times, 0.99) / SECOND_US, "s");
	snprintf(name, sizeof name, "%s_max", what);
	report(n, name, (double)fleet_quantile(times, 1) / SECOND_US, "s");
}

/* Runs the fleet for @time while one member reads the platform each second.
 * Returns the share of members that know of a reading after 300 ms. */
static double
run_with_readings(struct fleet *f, int64_t time)
{
	int64_t until = f->now + time;
	int i, known = 0, all = 0;

	while (f->now < until) {
		int64_t at = f->now;

		member_set_reading(f->node[0].table, at, at);
		fleet_run(f, at + 3 * SECOND_US / 10);
		for (i = 0; i < f->n; i++)
			known += member_reading_at(f->node[i].table) >= at;
		all += f->n;
		fleet_run(f, at + SECOND_US);
	}
	return (double)known / all;
}

static void
bench_steady(struct fleet *f)
{
	double known, cpu_s, members = f->n * (double)STEADY_US / SECOND_US;
	uint64_t bytes = 0, messages = 0, max_bytes = 0;
	clock_t start;
	int i;

	fleet_run(f, f->now + SETTLE_US);
	fleet_reset_counts(f);
	start = clock();
	known = run_with_readings(f, STEADY_US);
	cpu_s = (double)(clock() - start) / CLOCKS_PER_SEC;
	for (i = 0; i < f->n; i++) {
		bytes += f->node[i].bytes;
		messages += f->node[i].messages;
		max_bytes = MAX(max_bytes, f->node[i].bytes);
	}
	report(f->n, "bytes", (double)bytes / members, "B/s");
	report(f->n, "bytes_most",
	    (double)max_bytes * SECOND_US / (double)STEADY_US, "B/s");
	report(f->n, "messages", (double)messages / members, "1/s");
	report(f->n, "processor", cpu_s / members * 1e6, "us/s");
	report(f->n, "reading_known_300ms", known, "share");
	report(f->n, "suspicions", (double)f->suspicions / members, "1/s");
	report(f->n, "false_deaths", (double)f->false_deaths, "events");
}

static void
bench_detect(struct fleet *f)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *first = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int i, k;

	for (k = 1; k <= KILLS && k < f->n - 1; k++) {
		int64_t killed = f->now, earliest = INT64_MAX;

		fleet_kill(f, k);
		fleet_run(f, f->now + DETECT_US);
		for (i = 0; i < f->n; i++) {
			int64_t time = f->node[i].declared_dead_at[k] - killed;

			if (f->node[i].killed)
				continue;
			if (time < 0)
				time = DETECT_US;
			earliest = MIN(earliest, time);
			g_array_append_val(times, time);
		}
		g_array_append_val(first, earliest);
	}
	report_times(f->n, "detect", times);
	report_times(f->n, "detect_first", first);
	g_array_free(times, TRUE);
	g_array_free(first, TRUE);
}

static void
bench_pause(struct fleet *f, int64_t time)
{
	char name[64];
	uint64_t false_before = f->false_deaths;
	int i, k, died = 0, recovered = 0, may_act = 0;

	for (k = 0; k < PAUSES; k++) {
		int node = f->n - 1 - k;
		int64_t start = f->now;
		int declared_dead = 0, alive = 0;

		fleet_pause(f, node, time);
		fleet_run(f, f->now + time + DETECT_US);
		for (i = 0; i < f->n; i++) {
			const struct member_table *t = f->node[i].table;
			const struct member *m;

			if (f->node[i].killed || i == node)
				continue;
			declared_dead |=
			    f->node[i].declared_dead_at[node] > start;
			m = member_at(t, member_find(t, f->node[node].info.id));
			alive += m && m->state == MEMBER_ALIVE;
		}
		died += declared_dead;
		recovered += alive >= member_count(f->node[0].table) - 1;
		may_act += member_may_act(f->node[node].table);
	}
	snprintf(name, sizeof name, "pause_%.1fs_died",
	    (double)time / SECOND_US);
	report(f->n, name, (double)died / PAUSES, "share");
	snprintf(name, sizeof name, "pause_%.1fs_back",
	    (double)time / SECOND_US);
	report(f->n, name, (double)recovered / PAUSES, "share");
	snprintf(name, sizeof name, "pause_%.1fs_may_act",
	    (double)time / SECOND_US);
	report(f->n, name, (double)may_act / PAUSES, "share");
	snprintf(name, sizeof name, "pause_%.1fs_others_died",
	    (double)time / SECOND_US);
	report(f->n, name, (double)(f->false_deaths - false_before), "events");
}

static void
bench_spread(struct fleet *f)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int i, k;

	for (k = 1; k <= PUBLICATIONS; k++) {
		int64_t start = f->now;

		fleet_set_config_version(f, k % f->n, (uint64_t)k);
		fleet_run(f, f->now + 10 * SECOND_US);
		for (i = 0; i < f->n; i++) {
			int64_t time =
			    f->node[i].config_version == (uint64_t)k
				? f->node[i].config_version_at - start
				: 10 * SECOND_US;

			g_array_append_val(times, time);
		}
	}
	report_times(f->n, "spread", times);
	g_array_free(times, TRUE);
}

static void
bench_size(int n)
{
	static const int64_t pauses[] = { 100000, 500000, 1000000, 2000000,
		5000000, 10000000 };
	struct fleet *f = fleet_new(n, LOSS, (guint32)n, 1);
	size_t i;

	bench_steady(f);
	bench_spread(f);
	for (i = 0; i < sizeof pauses / sizeof pauses[0]; i++)
		bench_pause(f, pauses[i]);
	bench_detect(f);
	fleet_free(f);
}

int
main(int argc, char **argv)
{
	static const int sizes[] = { 10, 50, 200, 990 };
	size_t i;

	if (argc > 1)
		bench_size((int)strtol(argv[1], NULL, 10));
	for (i = 0; argc == 1 && i < sizeof sizes / sizeof sizes[0]; i++)
		bench_size(sizes[i]);
	return 0;
}
