#include <string.h>

#include "wire.h"

static int
decode_string(XDR *x, char **s, struct wire_arena *a)
{
	uint32_t n;

	if (!xdr_uint32_t(x, &n) || n >= WIRE_STRING_MAX)
		return 0;
	if (n + 1 > a->size - a->used)
		return 0;
	*s = a->base + a->used;
	if (!xdr_opaque(x, *s, n) || memchr(*s, 0, n))
		return 0;
	(*s)[n] = 0;
	a->used += n + 1;
	return 1;
}

/* Same encoding as xdr_string(); decodes into the arena instead of allocating
 * each string. */
int
wire_string(XDR *x, char **s, struct wire_arena *a)
{
	uint32_t n;

	if (x->x_op == XDR_DECODE)
		return decode_string(x, s, a);
	n = *s ? strlen(*s) : 0;
	if (n >= WIRE_STRING_MAX)
		return 0;
	return xdr_uint32_t(x, &n) && xdr_opaque(x, *s, n);
}
