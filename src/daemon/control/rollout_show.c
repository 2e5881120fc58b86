#include "daemon/control/rollout.h"
#include "json.h"

/* Orders as operators see them: status, and metrics. */

typedef void write_fn(GString *, const struct control_rollout *);

static void
for_each(const struct control *c, GString *t, write_fn *fn)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->rollouts->by_name);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct control_rollout *o = v;

		if (o->object.order.id)
			fn(t, o);
	}
}

static void
write_order(GString *t, const struct control_rollout *o)
{
	const struct rollout_order *order = &o->object.order;

	if (t->str[t->len - 1] == '}')
		g_string_append_c(t, ',');
	g_string_append(t, "{\"service\":");
	json_append_string(t, order->service);
	g_string_append(t, ",\"version\":");
	json_append_string(t, order->version);
	g_string_append_printf(t,
	    ",\"order\":\"%016" G_GINT64_MODIFIER
	    "x\",\"state\":\"%s\",\"share\":%.3f"
	    ",\"decider\":\"%016" G_GINT64_MODIFIER "x\"",
	    order->id, rollout_state_name(o->status.state), o->status.share,
	    o->decider);
	if (o->logged.state != ROLLOUT_NONE)
		g_string_append_printf(t, ",\"reason\":\"%s\"",
		    rollout_reason_name(o->reason));
	g_string_append_c(t, '}');
}

void
control_rollouts_write_status(const struct control *c, GString *t)
{
	if (!c->rollouts)
		return;
	g_string_append(t, ",\"rollouts\":[");
	for_each(c, t, write_order);
	g_string_append_c(t, ']');
}

static void
write_labels(GString *t, const char *name, const struct control_rollout *o)
{
	g_string_append_printf(t, "kumquatrock_rollout_%s{service=", name);
	json_append_string(t, o->object.order.service);
	g_string_append(t, ",version=");
	json_append_string(t, o->object.order.version);
}

static void
write_state(GString *t, const struct control_rollout *o)
{
	write_labels(t, "state", o);
	g_string_append_printf(t, "} %d\n", (int)o->status.state);
}

static void
write_share(GString *t, const struct control_rollout *o)
{
	write_labels(t, "share", o);
	g_string_append_printf(t, "} %.3f\n", o->status.share);
}

static void
write_counts(GString *t, const struct control_rollout *o, const char *name,
    const uint64_t count[2])
{
	static const char *const of[2] = { "old", "new" };
	int i;

	for (i = 0; i < 2; i++) {
		write_labels(t, name, o);
		g_string_append_printf(t, ",of=\"%s\"} %" G_GUINT64_FORMAT "\n",
		    of[i], count[i]);
	}
}

static void
write_answers(GString *t, const struct control_rollout *o)
{
	write_counts(t, o, "answers", o->totals.answers);
}

static void
write_bad(GString *t, const struct control_rollout *o)
{
	write_counts(t, o, "bad", o->totals.bad);
}

void
control_rollouts_write_metrics(const struct control *c, GString *t)
{
	static const struct {
		const char *name;
		const char *help;
		write_fn *write;
	} metrics[] = {
		{ "state",
		    "State of an order: 0 none, 1 running, 2 shifting, "
		    "3 completed, 4 rolled back",
		    write_state },
		{ "share", "Share of the requests for the new version",
		    write_share },
		{ "answers",
		    "Answers since the order, at the daemon that decides",
		    write_answers },
		{ "bad", "Of these, failed or slow ones", write_bad },
	};
	size_t i;

	for (i = 0; c->rollouts && i < G_N_ELEMENTS(metrics); i++) {
		g_string_append_printf(t,
		    "# HELP kumquatrock_rollout_%s %s\n"
		    "# TYPE kumquatrock_rollout_%s gauge\n",
		    metrics[i].name, metrics[i].help, metrics[i].name);
		for_each(c, t, metrics[i].write);
	}
}
