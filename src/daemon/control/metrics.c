#include "daemon/control/impl.h"

static void
counter(GString *t, const char *name, const char *help, uint64_t v)
{
	g_string_append_printf(t,
	    "# HELP kumquatrock_%s %s\n# TYPE kumquatrock_%s counter\n"
	    "kumquatrock_%s %" G_GUINT64_FORMAT "\n",
	    name, help, name, name, v);
}

static void
gauge(GString *t, const char *name, const char *help, int v)
{
	g_string_append_printf(t,
	    "# HELP kumquatrock_%s %s\n# TYPE kumquatrock_%s gauge\n"
	    "kumquatrock_%s %d\n",
	    name, help, name, name, v);
}

void
control_write_metrics(struct control *c, GString *t)
{
	const struct control_counters *n = &c->counters;
	struct member_counts m;

	member_counts(c->members, &m);
	counter(t, "datagrams_in_total", "Membership datagrams received",
	    n->datagrams_in);
	counter(t, "datagrams_out_total", "Membership datagrams sent",
	    n->datagrams_out);
	counter(t, "datagram_bytes_in_total", "Their bytes",
	    n->datagram_bytes_in);
	counter(t, "datagram_bytes_out_total", "Their bytes",
	    n->datagram_bytes_out);
	counter(t, "datagrams_refused_total",
	    "Forged, replayed, cut or misdirected datagrams",
	    n->datagrams_refused);
	counter(t, "target_reports_refused_total",
	    "Heartbeats and leaves that could not be read or are not of the "
	    "target beside this daemon",
	    n->reports_refused);
	counter(t, "objects_invalid_total",
	    "Objects that could not be used, or not in full, in answers with a "
	    "new one",
	    n->objects_invalid);
	gauge(t, "config_parts_invalid",
	    "Routes, services, organisations, keys and limits in force that "
	    "are invalid",
	    control_invalid_parts(c));
	counter(t, "platform_calls_total",
	    "Calls to the platform answered or "
	    "failed",
	    n->platform_calls);
	counter(t, "platform_failures_total", "Of these without an answer",
	    n->platform_failures);
	counter(t, "pulls_total", "Pulls of configuration from daemons",
	    n->pulls);
	counter(t, "pulls_served_total", "Pulls answered", n->pulls_served);
	counter(t, "config_differs_total",
	    "Versions of the configuration of which a member holds other "
	    "objects than this daemon",
	    n->config_differs);
	counter(t, "span_batches_lost_total",
	    "Batches of spans that could not be sent", c->span_batches_lost);
	counter(t, "log_lines_lost_total",
	    "Log lines that did not fit into the buffer", log_lines_lost());
	counter(t, "views_total", "Views given to the data task", n->views);
	counter(t, "pauses_total", "Times this daemon did not run for long",
	    n->pauses);
	counter(t, "member_probes_total", "Probes of members", m.probes);
	counter(t, "member_probes_failed_total", "Probes without an answer",
	    m.probes_failed);
	counter(t, "member_checks_total", "Checks of members found silent",
	    m.checks);
	counter(t, "member_checks_unconfirmed_total",
	    "Of these, checks without word of another member",
	    m.checks_unconfirmed);
	counter(t, "member_suspected_total", "Members suspected", m.suspected);
	counter(t, "member_refuted_total", "Suspicions of us refuted",
	    m.refuted);
	counter(t, "member_died_total", "Members held for dead", m.died);
	control_rollouts_write_metrics(c, t);
}
