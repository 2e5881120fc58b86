#include <string.h>

#include "daemon/inbound/inbound.h"
#include "daemon/outbound/outbound.h"

static const char *const cold_cause_names[ADMIT_CAUSES] = { "new", "start-id",
	"reset", "failures", "latency", "stall", "idle" };

/* Reason why this daemon sends no calls to an instance; NULL if it may. */
static const char *
exclusion_reason(struct data *d, const struct view_instance *vi,
    const struct out_peer *p)
{
	if (!vi->live)
		return "dead";
	if (view_datacentre_out(d->view, vi->instance.datacentre))
		return "data-centre-out";
	if (!p || !p->service)
		return "not-a-candidate";
	if (!p->conn)
		return data_now(d) < p->connect_after ? "connect-failed" : NULL;
	return NULL;
}

static void
write_instance(struct data *d, struct out_service *s,
    const struct view_instance *vi, GString *t, int comma)
{
	const struct instance *in = &vi->instance;
	struct out_peer *p = g_hash_table_lookup(d->peers, &in->incarnation);
	const char *reason = exclusion_reason(d, vi, p);

	g_string_append_printf(t,
	    "%s\n    {\"incarnation\":\"%016" G_GINT64_MODIFIER
	    "x\",\"datacentre\":\"%s\",\"ip\":\"%s\",\"picked\":%s",
	    comma ? "," : "", in->incarnation, in->datacentre, in->ip,
	    reason ? "false" : "true");
	if (reason)
		g_string_append_printf(t, ",\"reason\":\"%s\"", reason);
	else if (p && p->service == s)
		g_string_append_printf(t, ",\"share\":%.2f,\"in_flight\":%u",
		    outbound_ramp_share(d, p->datacentre),
		    pick_in_flight(s->pick, p->handle));
	g_string_append(t, "}");
}

static void
write_service(struct data *d, struct out_service *s, GString *t, int comma)
{
	const struct view_instance *vi;
	int i, n = 0;

	g_string_append_printf(t,
	    "%s\n  {\"service\":\"%s\",\"version\":%" G_GUINT64_FORMAT
	    ",\"pressure\":%.3f,\"pressure_away\":%.3f,\"spill\":%.3f"
	    ",\"spill_target\":%.3f,\"retry_tokens\":%.1f"
	    ",\"instances\":[",
	    comma ? "," : "", s->conf.name, s->conf.version,
	    pick_pressure(s->pick), pick_pressure_away(s->pick),
	    pick_spill(s->pick), pick_spill_target(s->pick), s->retry.tokens);
	for (i = 0; i < d->view->ninstance; i++) {
		vi = &d->view->instance[i];
		if (!strcmp(vi->instance.service, s->conf.name))
			write_instance(d, s, vi, t, n++);
	}
	g_string_append(t, "]}");
}

static void
write_counts(GString *t, const char *key, const uint64_t *v, int n,
    const char *(*name)(int))
{
	int i, written = 0;

	g_string_append_printf(t, ",\"%s\":{", key);
	for (i = 0; i < n; i++)
		if (v[i])
			g_string_append_printf(t, "%s\"%s\":%" G_GUINT64_FORMAT,
			    written++ ? "," : "", name(i), v[i]);
	g_string_append(t, "}");
}

static const char *
cold_cause_name(int i)
{
	return cold_cause_names[i];
}

static const char *
reason_name(int i)
{
	return wire_reason_name(i);
}

/* Writes the admission state of this daemon's target, null without one. */
static void
write_target(struct data *d, GString *t)
{
	int64_t now = data_now(d);
	const struct admit_counters *n;

	if (!d->admit) {
		g_string_append(t, "null");
		return;
	}
	n = admit_counters(d->admit);
	g_string_append_printf(t,
	    "{\"service\":\"%s\",\"limit\":%d,\"slots\":%d,\"in_flight\":%d"
	    ",\"queued\":%d,\"cold\":%s,\"draining\":%s,\"suspended\":%s"
	    ",\"out\":%s",
	    d->target.service, admit_limit(d->admit, now), d->target.slots,
	    admit_in_flight(d->admit), admit_queued(d->admit),
	    admit_cold(d->admit, now) ? "true" : "false",
	    d->target_draining ? "true" : "false",
	    d->suspended || !d->view->may_act ? "true" : "false",
	    view_datacentre_out(d->view, d->settings.datacentre) ? "true"
								 : "false");
	write_counts(t, "turned_cold", n->turned_cold, ADMIT_CAUSES,
	    cold_cause_name);
	write_counts(t, "refused", d->counters.in_refused, WIRE_REASONS,
	    reason_name);
	g_string_append(t, "}");
}

void
data_write_explain(struct data *d, GString *t)
{
	GHashTableIter it;
	gpointer v;
	int n = 0;

	g_string_append(t, "{\"target\":");
	write_target(d, t);
	g_string_append(t, ",\n\"services\":[");
	g_hash_table_iter_init(&it, d->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		write_service(d, v, t, n++);
	g_string_append(t, "]}\n");
}
