#include <string.h>

#include "routing.h"

int
routing_find_organisation(const struct routing *r, const char *name)
{
	gpointer i;

	if (!r->by_name ||
	    !g_hash_table_lookup_extended(r->by_name, name, NULL, &i))
		return ORGANISATION_NONE;
	return GPOINTER_TO_INT(i);
}

int
routing_add_organisation(struct routing *r,
    const struct routing_organisation *o)
{
	if (routing_find_organisation(r, o->name) != ORGANISATION_NONE)
		return -1;
	if (!r->by_name)
		r->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	r->organisation = g_renew(struct routing_organisation, r->organisation,
	    r->norganisation + 1);
	r->organisation[r->norganisation] = *o;
	g_hash_table_insert(r->by_name, (gpointer)o->name,
	    GINT_TO_POINTER(r->norganisation));
	return r->norganisation++;
}

enum route_access
routing_check_key(const struct routing *r, const struct route *t, int nkey,
    const char *key, int confirmed, int *organisation)
{
	*organisation = ORGANISATION_NONE;
	if (!r->needs_key)
		return ROUTE_OPEN;
	if (nkey == 1)
		*organisation = routing_find_key(r, key);
	if (t->anonymous)
		return ROUTE_OPEN;
	if (!confirmed)
		return ROUTE_KEY_UNCONFIRMED;
	if (*organisation != ORGANISATION_NONE)
		return ROUTE_OPEN;
	if (nkey > 1)
		return ROUTE_KEY_SEVERAL;
	return nkey && *key ? ROUTE_KEY_UNKNOWN : ROUTE_KEY_MISSING;
}
