#include "wire.h"

int
wire_fields(XDR *x, uint32_t *n, struct http_field *f, struct wire_arena *a)
{
	uint32_t i;

	if (!xdr_uint32_t(x, n) || *n > HTTP_FIELDS_MAX)
		return 0;
	for (i = 0; i < *n; i++) {
		if (!wire_string(x, (char **)&f[i].name, a))
			return 0;
		if (!wire_string(x, (char **)&f[i].value, a))
			return 0;
	}
	return 1;
}
