#include "target.h"

#include <stdlib.h>
#include <string.h>

#define PLAIN "Content-Type: text/plain\r\n"
#define JSON "Content-Type: application/json\r\n"

static struct report
current_report(const struct target *t)
{
	struct report r;

	r.inflight = job_inflight(t);
	r.healthy = io_now(t->loop) >= t->fell_until && !t->leaving;
	return r;
}

/* Counts a request to /health or /load and writes it to the history. */
static void
record_probe(struct conn *c, const char *kind, long *count)
{
	struct target *t = c->target;

	(*count)++;
	history_write(&t->history, io_clock(),
	    "measure service=%s dc=%s kind=%s inflight=%d conn=%d", t->service,
	    t->dc, kind, job_inflight(t), c->id);
}

/* The report as the knobs report_lag_ms and report_lie have it. */
static struct report
given_report(const struct target *t)
{
	struct report r =
	    t->knobs.report_lag_ms > 0 ? t->shown : current_report(t);

	if (t->knobs.report_lie >= 0) {
		r.inflight = (int)t->knobs.report_lie;
		r.healthy = 1;
	}
	return r;
}

static void
serve_health(struct conn *c)
{
	record_probe(c, "health", &c->target->counts.health);
	if (given_report(c->target).healthy)
		answer_text(c, 200, PLAIN, "ok\n");
	else
		answer_text(c, 503, PLAIN, "unwell\n");
}

static void
serve_load(struct conn *c)
{
	struct target *t = c->target;
	char b[128];

	record_probe(c, "load", &t->counts.load);
	g_snprintf(b, sizeof b, "{\"inflight\":%d,\"start\":\"%s\"}\n",
	    given_report(t).inflight, t->start_id);
	answer_text(c, 200, JSON, b);
}

static void
serve_set(struct conn *c)
{
	struct target *t = c->target;
	char *query = strchr(c->path, '?');
	char **pair = g_strsplit(query ? query + 1 : "", "&", -1);
	char *eq;
	int i, bad = 0;

	for (i = 0; pair[i]; i++) {
		eq = strchr(pair[i], '=');
		if (eq)
			*eq = '\0';
		if (!eq ||
		    knobs_set(&t->knobs, pair[i], strtol(eq + 1, NULL, 10)) < 0)
			bad = 1;
	}
	g_strfreev(pair);
	if (t->knobs.cold == 0)
		t->cold_done = 0;
	answer_text(c, bad || i == 0 ? 400 : 200, PLAIN, "");
}

static void
serve_counts(struct conn *c)
{
	const struct target *t = c->target;
	const struct counts *n = &t->counts;
	GString *s = g_string_new(NULL);

	g_string_append_printf(s,
	    "calls %ld\nruns %ld\nduplicates %ld\nduplicates_once %ld\n"
	    "cancelled %ld\nshed %ld\nexpired %ld\nfell %ld\n",
	    n->calls, n->runs, n->duplicates, n->duplicates_once, n->cancelled,
	    n->shed, n->expired, n->fell);
	g_string_append_printf(s,
	    "inflight %d\nmax_inflight %ld\nmax_inflight_cold %ld\ncold %ld\n"
	    "health %ld\nload %ld\n",
	    job_inflight(t), n->max_inflight, n->max_inflight_cold,
	    t->knobs.cold, n->health, n->load);
	g_string_append_printf(s,
	    "connections %u\nconnections_total %ld\nconnections_max %ld\n"
	    "connections_refused %ld\nflooding %ld\n",
	    t->conns.length, n->connections, n->connections_max,
	    n->connections_refused, n->flooding);
	answer_text(c, 200, PLAIN, s->str);
	g_string_free(s, TRUE);
}

int
admin_serve(struct conn *c)
{
	if (strcmp(c->path, "/health") == 0)
		serve_health(c);
	else if (strcmp(c->path, "/load") == 0)
		serve_load(c);
	else if (strcmp(c->path, "/fake/counts") == 0)
		serve_counts(c);
	else if (g_str_has_prefix(c->path, "/fake/set"))
		serve_set(c);
	else
		return 0;
	return 1;
}

/* A report that lags is between one and two periods old. */
static void
shift_report(void *ctx, int64_t now)
{
	struct target *t = ctx;
	long ms = t->knobs.report_lag_ms;

	t->shown = t->next;
	t->next = current_report(t);
	io_timer_set(t->loop, &t->report_timer,
	    now + (ms > 0 ? ms : 100) * 1000);
}

void
admin_report_start(struct target *t)
{
	t->shown = t->next = current_report(t);
	t->report_timer.fire = shift_report;
	t->report_timer.ctx = t;
	shift_report(t, io_now(t->loop));
}
