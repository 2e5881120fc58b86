#include <string.h>
#include <strings.h>

#include "daemon/outbound/outbound.h"

static const struct refusal refusals[ROUTE_ACCESSES] = {
	[ROUTE_KEY_MISSING] = { 401, "no-key",
	    "the request needs the key of an organisation\n" },
	[ROUTE_KEY_SEVERAL] = { 401, "several-keys",
	    "the request has more than one key\n" },
	[ROUTE_KEY_UNKNOWN] = { 401, "unknown-key",
	    "the key of the request belongs to no organisation\n" },
	[ROUTE_KEY_UNCONFIRMED] = { 503, "no-configuration",
	    "no confirmed configuration has reached this instance yet\n" },
};

/* Counts the fields of a name, and gets the value of the first one. */
static int
count_fields(const struct http_head *h, const char *name, const char **value)
{
	int i, n = 0;

	*value = NULL;
	for (i = 0; i < h->nfield; i++) {
		if (strcasecmp(h->field[i].name, name))
			continue;
		if (!n++)
			*value = h->field[i].value;
	}
	return n;
}

int
outbound_hides_keys(const struct data *d)
{
	return d->dialect->key_field && d->view->routing &&
	       d->view->routing->needs_key;
}

const struct refusal *
outbound_check_key(struct data *d, const struct http_head *h,
    const struct route *t, char name[ORGANISATION_NAME_MAX])
{
	const struct routing *r = d->view->routing;
	enum route_access a;
	const char *key;
	int n, i;

	*name = '\0';
	if (!outbound_hides_keys(d))
		return NULL;
	n = count_fields(h, d->dialect->key_field, &key);
	a = routing_check_key(r, t, n, key, d->view->complete_version != 0, &i);
	if (a != ROUTE_OPEN) {
		d->counters.keys_refused[a]++;
		return &refusals[a];
	}
	if (i != ORGANISATION_NONE)
		g_strlcpy(name, r->organisation[i].name, ORGANISATION_NAME_MAX);
	return NULL;
}

void
outbound_write_keys(const struct data *d, GString *t)
{
	int i;

	g_string_append(t,
	    "# HELP kumquatrock_keys_refused_total Requests whose key names no "
	    "organisation, by reason\n"
	    "# TYPE kumquatrock_keys_refused_total counter\n");
	for (i = ROUTE_OPEN + 1; i < ROUTE_ACCESSES; i++)
		g_string_append_printf(t,
		    "kumquatrock_keys_refused_total{reason=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    refusals[i].reason, d->counters.keys_refused[i]);
}
