#include "routing.h"

#define STRING_BLOCK_BYTES 1024 /* allocated at once for names */

struct routing *
routing_new(void)
{
	struct routing *r = g_new0(struct routing, 1);

	g_atomic_ref_count_init(&r->refs);
	r->strings = g_string_chunk_new(STRING_BLOCK_BYTES);
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
	int i;

	if (!r || !g_atomic_ref_count_dec(&r->refs))
		return;
	for (i = 0; i < r->nroute; i++)
		g_free(r->route[i].part);
	if (r->by_name)
		g_hash_table_destroy(r->by_name);
	routing_keys_free(r->keys);
	g_free(r->organisation);
	g_string_chunk_free(r->strings);
	g_free(r->route);
	g_free(r->service);
	g_free(r);
}
