#include "wire.h"

/* Encodes or decodes up to @max bytes, with their length. Decoded bytes are not
 * copied: *p points into the record. */
int
wire_blob(XDR *x, const void **p, uint32_t *len, uint32_t max)
{
	char *in;
	uint32_t padded;

	if (!xdr_uint32_t(x, len) || *len > max)
		return 0;
	if (x->x_op != XDR_DECODE)
		return xdr_opaque(x, (char *)*p, *len);
	if (!*len) {
		*p = "";
		return 1;
	}
	padded = (*len + 3) & ~3u;
	in = (char *)XDR_INLINE(x, padded);
	if (!in)
		return 0;
	*p = in;
	return 1;
}
