#include "core/config/table_impl.h"

#include <string.h>

/* FNV-1a, 64 bits (Fowler, Noll, Vo): differing texts are told apart, forged
 * ones are not. */
#define FNV_OFFSET UINT64_C(0xcbf29ce484222325)
#define FNV_PRIME UINT64_C(0x100000001b3)

static uint64_t
add_bytes(uint64_t h, const void *p, size_t n)
{
	const unsigned char *b = p;
	size_t i;

	for (i = 0; i < n; i++)
		h = (h ^ b[i]) * FNV_PRIME;
	return h;
}

uint64_t
config_object_digest(const struct config_object *o)
{
	unsigned char kind = (unsigned char)o->kind;
	uint64_t h = add_bytes(FNV_OFFSET, &kind, sizeof kind);
	const void *value;
	gsize n;

	if (o->removed)
		return 0;
	h = add_bytes(h, o->name, strlen(o->name) + 1);
	value = g_bytes_get_data(o->value, &n);
	return add_bytes(h, value, n);
}

uint64_t
config_digest(const struct config_table *t)
{
	if (!t->complete || config_highest_version(t) > t->complete)
		return 0;
	return t->digest ? t->digest : 1;
}
