#include "daemon/inbound/inbound.h"
#include "daemon/outbound/outbound.h"

static void
write_counter(GString *t, const char *name, const char *help, uint64_t v)
{
	g_string_append_printf(t,
	    "# HELP kumquatrock_%s %s\n# TYPE kumquatrock_%s counter\n"
	    "kumquatrock_%s %" G_GUINT64_FORMAT "\n",
	    name, help, name, name, v);
}

static void
write_gauge(GString *t, const char *name, const char *help, double v)
{
	g_string_append_printf(t,
	    "# HELP kumquatrock_%s %s\n# TYPE kumquatrock_%s gauge\n"
	    "kumquatrock_%s %g\n",
	    name, help, name, name, v);
}

/* Writes a histogram of durations as cumulative counts by upper bound. */
static void
write_histogram(GString *t, const char *name, const char *help,
    const struct histogram *h)
{
	static const unsigned bounds_us[] = { 500, 1000, 2000, 5000, 10000,
		20000, 50000, 100000, 200000, 500000, 1000000, 2000000, 5000000,
		10000000 };
	size_t i;

	g_string_append_printf(t,
	    "# HELP kumquatrock_%s %s\n# TYPE kumquatrock_%s histogram\n", name,
	    help, name);
	for (i = 0; i < sizeof bounds_us / sizeof *bounds_us; i++)
		g_string_append_printf(t,
		    "kumquatrock_%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
		    name, bounds_us[i] / 1e6,
		    histogram_count_upto(h, bounds_us[i]));
	g_string_append_printf(t,
	    "kumquatrock_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
	    "\nkumquatrock_%s_sum %.6f\nkumquatrock_%s_count %" G_GUINT64_FORMAT
	    "\n",
	    name, h->count, name, h->sum / 1e6, name, h->count);
}

static void
write_refusals(struct data *d, GString *t)
{
	uint32_t r;

	g_string_append(t,
	    "# HELP kumquatrock_inbound_refused_total Calls not run, by reason\n"
	    "# TYPE kumquatrock_inbound_refused_total counter\n");
	for (r = 1; r < WIRE_REASONS; r++)
		g_string_append_printf(t,
		    "kumquatrock_inbound_refused_total{reason=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    wire_reason_name(r), d->counters.in_refused[r]);
}

static void
write_refused_conns(const struct data *d, GString *t)
{
	int i;

	g_string_append(t,
	    "# HELP kumquatrock_connections_refused_total Connections of "
	    "callers not served, by reason\n"
	    "# TYPE kumquatrock_connections_refused_total counter\n");
	for (i = 0; i < HTTP_REFUSALS; i++)
		g_string_append_printf(t,
		    "kumquatrock_connections_refused_total{reason=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    http_refusal_name((enum http_refusal)i),
		    d->counters.conns_refused[i]);
}

static void
write_crossings(struct data *d, GString *t)
{
	static const char *const causes[PICK_CROSSINGS] = { "spill",
		"no-target", "tried" };
	struct out_service *s;
	GHashTableIter it;
	gpointer v;
	uint64_t n;
	int i;

	g_string_append(t,
	    "# HELP kumquatrock_crossings_total Attempts at targets of other "
	    "data centres, by cause\n"
	    "# TYPE kumquatrock_crossings_total counter\n");
	for (i = 0; i < PICK_CROSSINGS; i++) {
		n = 0;
		g_hash_table_iter_init(&it, d->services);
		while (g_hash_table_iter_next(&it, NULL, &v)) {
			s = v;
			n += pick_crossed(s->pick, i);
		}
		g_string_append_printf(t,
		    "kumquatrock_crossings_total{cause=\"%s\"} %" G_GUINT64_FORMAT
		    "\n",
		    causes[i], n);
	}
}

void
data_write_metrics(struct data *d, GString *t)
{
	const struct peer_counters *p = peer_node_counters(d->node);
	const struct counters *c = &d->counters;

	write_counter(t, "calls_total", "Calls from callers", c->calls);
	write_counter(t, "whole_total", "Whole answers", c->whole);
	write_counter(t, "refused_total", "Answers not-run", c->refused);
	write_counter(t, "unknown_total", "Answers unknown", c->unknown);
	write_counter(t, "failed_total", "Answers failed or cut", c->failed);
	write_counter(t, "bad_total", "Requests at fault", c->bad_requests);
	write_counter(t, "connections_cut_total",
	    "Connections of callers that this daemon ended with requests "
	    "unanswered or bytes unsent",
	    c->conns_cut);
	write_counter(t, "connections_cut_requests_total",
	    "Requests unanswered on them", c->conns_cut_requests);
	write_counter(t, "connections_left_total",
	    "The same, ended by the caller", c->conns_left);
	write_refused_conns(d, t);
	outbound_write_keys(d, t);
	write_counter(t, "quota_refusals_total", "Answers 429",
	    c->quota_refused);
	outbound_write_quota(d, t);
	outbound_write_refusals(d, t);
	write_counter(t, "retries_total", "Attempts after the first",
	    c->retries);
	write_counter(t, "hedges_total", "Attempts beside a late one",
	    c->hedges);
	write_counter(t, "hedge_wins_total",
	    "Answers that a later attempt gave", c->hedge_wins);
	write_counter(t, "probes_total", "Probes sent to daemons", c->probes);
	write_counter(t, "measured_total", "Measuring requests to the target",
	    c->measure_requests);
	write_counter(t, "inbound_calls_total", "Calls from daemons",
	    c->in_calls);
	write_counter(t, "inbound_repeats_total",
	    "Repeats of a known request id", c->in_repeats);
	write_counter(t, "target_ends_total",
	    "Ends of the target while it ran requests", c->target_ends);
	write_counter(t, "crashing_refused_total",
	    "Requests refused as they crash targets", c->crash_refused);
	write_counter(t, "stop_refused_total",
	    "Calls not run, as they did not fit into the stop",
	    c->leave_refused);
	write_counter(t, "stop_ended_total",
	    "Calls in flight that the stop ended", c->leave_ended);
	write_counter(t, "inbound_stop_refused_total",
	    "Calls from daemons not run, as they did not fit into the stop",
	    c->in_leave_refused);
	write_counter(t, "inbound_stop_ended_total",
	    "Calls from daemons in flight that the stop ended",
	    c->in_leave_ended);
	write_counter(t, "stop_usual_ended_total",
	    "Of the calls that the stop ended, those that it had taken as they "
	    "usually take less time",
	    c->leave_usual_ended);
	write_gauge(t, "crashing_requests", "Requests known to crash targets",
	    crash_count(d->crashes, 1, data_now(d)));
	write_gauge(t, "suspect_requests",
	    "Requests that ran at a target that ended",
	    crash_count(d->crashes, 0, data_now(d)));
	write_refusals(d, t);
	write_crossings(d, t);
	write_histogram(t, "call_seconds", "Calls with a whole answer",
	    &d->call_us);
	write_histogram(t, "target_seconds", "Requests at the target",
	    &d->target_us);
	write_counter(t, "spans_left_out_total", "Spans over the rate",
	    d->traces.dropped);
	write_counter(t, "peer_records_in_total", "Records received",
	    p->records_in);
	write_counter(t, "peer_bytes_in_total", "Bytes received", p->bytes_in);
	write_counter(t, "peer_bytes_out_total", "Bytes sent", p->bytes_out);
	write_counter(t, "peer_records_refused_total",
	    "Records with a wrong code or form", p->records_rejected);
	write_gauge(t, "answer_bytes_held",
	    "Bytes of answers held until they are whole",
	    (double)d->held_bytes);
	write_gauge(t, "calls_open", "Calls in progress",
	    g_hash_table_size(d->out_calls));
	write_gauge(t, "call_bytes", "Bytes counted in limits.call_bytes",
	    (double)d->call_bytes.used);
	write_gauge(t, "call_bytes_ahead",
	    "Bytes of answers fetched ahead of callers that read slowly",
	    (double)d->ahead.used);
	data_write_held(d, t);
	write_gauge(t, "config_version", "Version in force",
	    (double)d->view->complete_version);
	if (!d->admit)
		return;
	write_gauge(t, "target_in_flight", "Requests in flight at the target",
	    admit_in_flight(d->admit));
	write_gauge(t, "target_queued", "Requests that wait for the target",
	    admit_queued(d->admit));
	write_gauge(t, "target_limit", "Requests in flight allowed",
	    admit_limit(d->admit, data_now(d)));
	write_gauge(t, "target_cold", "1 while the target is cold",
	    admit_cold(d->admit, data_now(d)));
}

static void
write_target(struct out_service *s, struct out_peer *p, GString *t, int comma)
{
	g_string_append_printf(t,
	    "%s\n{\"service\":\"%s\",\"incarnation\":\"%016" G_GINT64_MODIFIER
	    "x\",\"datacentre\":\"%s\",\"ip\":\"%s\",\"peer_port\":%d,"
	    "\"connected\":%s,\"in_flight\":%u,\"pressure\":%.3f}",
	    comma ? "," : "", s->conf.name, p->incarnation, p->datacentre,
	    p->ip, p->port, p->conn && peer_is_open(p->conn) ? "true" : "false",
	    pick_in_flight(s->pick, p->handle), pick_pressure(s->pick));
}

void
data_write_targets(struct data *d, GString *t)
{
	GHashTableIter it;
	struct out_peer *p;
	int n = 0;
	gpointer v;

	g_string_append(t, "[");
	g_hash_table_iter_init(&it, d->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		p = v;
		if (p->service)
			write_target(p->service, p, t, n++);
	}
	g_string_append(t, "]\n");
}
