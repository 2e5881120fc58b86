#include "routing.h"

struct routing *
routing_new(void)
{
	struct routing *r = g_new0(struct routing, 1);

	g_atomic_ref_count_init(&r->refs);
	return r;
}

struct routing *
routing_ref(struct routing *r)
{
	if (r)
		g_atomic_ref_count_inc(&r->refs);
	return r;
}

void
routing_unref(struct routing *r)
{
	if (!r || !g_atomic_ref_count_dec(&r->refs))
		return;
	g_free(r->route);
	g_free(r->service);
	g_free(r);
}
