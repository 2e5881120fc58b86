#include "daemon/outbound/outbound.h"

#define NAMED_MAX 32 /* organisations counted by name; others together */

/* Name by which an organisation is counted: its own for the first ones that
 * were refused anything. */
static const char *
counted_name(struct data *d, const char *organisation)
{
	if (g_hash_table_contains(d->refused_names, organisation))
		return organisation;
	if (g_hash_table_size(d->refused_names) >= NAMED_MAX)
		return "others";
	g_hash_table_add(d->refused_names, g_strdup(organisation));
	return organisation;
}

void
outbound_count_refusal(struct data *d, const char *organisation,
    const char *reason)
{
	char *name, *labels;
	uint64_t *n;

	if (!*organisation)
		return;
	name = g_strescape(counted_name(d, organisation), NULL);
	labels =
	    g_strdup_printf("organisation=\"%s\",reason=\"%s\"", name, reason);
	g_free(name);
	n = g_hash_table_lookup(d->refusals, labels);
	if (!n) {
		n = g_new0(uint64_t, 1);
		g_hash_table_insert(d->refusals, labels, n);
	} else {
		g_free(labels);
	}
	++*n;
}

void
outbound_write_refusals(const struct data *d, GString *t)
{
	GHashTableIter it;
	gpointer labels, n;

	g_string_append(t,
	    "# HELP kumquatrock_organisation_refused_total Requests of "
	    "organisations that were refused, not run\n"
	    "# TYPE kumquatrock_organisation_refused_total counter\n");
	g_hash_table_iter_init(&it, d->refusals);
	while (g_hash_table_iter_next(&it, &labels, &n))
		g_string_append_printf(t,
		    "kumquatrock_organisation_refused_total{%s} "
		    "%" G_GUINT64_FORMAT "\n",
		    (const char *)labels, *(const uint64_t *)n);
}
