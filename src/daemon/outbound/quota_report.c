#include <stdlib.h>
#include <string.h>

#include "daemon/outbound/outbound.h"

#define NAMED_MAX 32 /* organisations with metrics of their own */
#define OTHERS "others"

/* Metrics of limits of organisations: the most refused by name, the others
 * together. */

struct metric {
	const char *name;
	const char *type;
	const char *help;
	double (*value)(const struct quota_figures *, int64_t now);
};

static double
is_limited(const struct quota_figures *f, int64_t now)
{
	return f->limited;
}

static double
limited_seconds(const struct quota_figures *f, int64_t now)
{
	return f->limited ? (double)(now - f->limited_since) / G_USEC_PER_SEC
			  : 0;
}

static double
unanswered(const struct quota_figures *f, int64_t now)
{
	return f->limited && f->unanswered;
}

static double
admitted(const struct quota_figures *f, int64_t now)
{
	return (double)f->admitted;
}

static double
refused(const struct quota_figures *f, int64_t now)
{
	return (double)f->refused;
}

static double
extra(const struct quota_figures *f, int64_t now)
{
	return (double)f->extra;
}

static double
waited(const struct quota_figures *f, int64_t now)
{
	return (double)f->waited;
}

static double
rate(const struct quota_figures *f, int64_t now)
{
	return f->rate_per_s;
}

static double
held(const struct quota_figures *f, int64_t now)
{
	return f->held;
}

static double
stock(const struct quota_figures *f, int64_t now)
{
	return f->stock;
}

static const struct metric metrics[] = {
	{ "limited", "gauge", "1 while requests are refused here", is_limited },
	{ "limited_seconds", "gauge", "Time since the first of these refusals",
	    limited_seconds },
	{ "grantor_silent", "gauge",
	    "1 if the last refusal was for want of an answer of the grantor",
	    unanswered },
	{ "admitted_total", "counter", "Requests admitted here", admitted },
	{ "refused_total", "counter", "Requests refused here", refused },
	{ "extra_total", "counter", "Retries and hedges sent here", extra },
	{ "waited_total", "counter", "Requests that waited for tokens here",
	    waited },
	{ "rate_per_s", "gauge", "Limit at all daemons together", rate },
	{ "held_tokens", "gauge", "Requests that can be admitted at once here",
	    held },
	{ "stock_tokens", "gauge",
	    "Tokens that this daemon can grant, as the grantor", stock },
};

static void
collect(void *ctx, const struct quota_figures *f)
{
	g_array_append_vals(ctx, f, 1);
}

/* Limited ones first, then by requests refused and admitted. */
static int
by_interest(const void *a, const void *b)
{
	const struct quota_figures *x = a, *y = b;

	if (x->limited != y->limited)
		return y->limited - x->limited;
	if (x->refused != y->refused)
		return x->refused < y->refused ? 1 : -1;
	if (x->admitted != y->admitted)
		return x->admitted < y->admitted ? 1 : -1;
	return strcmp(x->name, y->name);
}

static void
write_line(GString *t, const char *metric, const char *name, double value)
{
	g_string_append_printf(t,
	    "kumquatrock_quota_%s{organisation=\"%s\"} %.10g\n", metric, name,
	    value);
}

static void
write_metric(GString *t, const struct metric *m, const GArray *all, int64_t now)
{
	const struct quota_figures *f;
	double others = 0;
	guint i;

	g_string_append_printf(t,
	    "# HELP kumquatrock_quota_%s %s\n# TYPE kumquatrock_quota_%s %s\n",
	    m->name, m->help, m->name, m->type);
	for (i = 0; i < all->len; i++) {
		f = &g_array_index(all, struct quota_figures, i);
		if (i < NAMED_MAX)
			write_line(t, m->name, f->name, m->value(f, now));
		else if (m->value == limited_seconds)
			others = MAX(others, m->value(f, now));
		else
			others += m->value(f, now);
	}
	if (all->len > NAMED_MAX)
		write_line(t, m->name, OTHERS, others);
}

static void
write_totals(struct data *d, GString *t)
{
	static const char *const kinds[] = { NULL, "poll", "lend", "ask",
		"grant" };
	struct quota_totals n;
	size_t i;

	quota_totals(d->quota, &n);
	g_string_append(t,
	    "# HELP kumquatrock_quota_notices_total Notices sent\n"
	    "# TYPE kumquatrock_quota_notices_total counter\n");
	for (i = 1; i < G_N_ELEMENTS(kinds); i++)
		g_string_append_printf(t,
		    "kumquatrock_quota_notices_total{kind=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    kinds[i], n.sent[i]);
	g_string_append_printf(t,
	    "# HELP kumquatrock_quota_waits_over_total Requests refused as the "
	    "grantor did not answer\n"
	    "# TYPE kumquatrock_quota_waits_over_total counter\n"
	    "kumquatrock_quota_waits_over_total %" G_GUINT64_FORMAT "\n"
	    "# HELP kumquatrock_quota_rows Daemons known at organisations that "
	    "this daemon is the grantor of\n"
	    "# TYPE kumquatrock_quota_rows gauge\n"
	    "kumquatrock_quota_rows %" G_GUINT64_FORMAT "\n",
	    n.waits_over, n.rows);
}

void
outbound_write_quota(struct data *d, GString *t)
{
	GArray *all;
	size_t i;

	if (!quota_any(d->quota))
		return;
	all = g_array_new(FALSE, FALSE, sizeof(struct quota_figures));
	quota_each(d->quota, collect, all, data_now(d));
	g_array_sort(all, by_interest);
	for (i = 0; i < G_N_ELEMENTS(metrics); i++)
		write_metric(t, &metrics[i], all, data_now(d));
	g_array_unref(all);
	write_totals(d, t);
}
