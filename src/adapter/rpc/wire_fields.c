#include <string.h>

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

static int
string_fits(const char *s)
{
	return strnlen(s, WIRE_STRING_MAX) < WIRE_STRING_MAX;
}

int
wire_head_fits(const char *method, const char *path, const struct http_field *f,
    int nfield)
{
	int i;

	if (!string_fits(method) || !string_fits(path))
		return 0;
	for (i = 0; i < nfield; i++)
		if (!string_fits(f[i].name) || !string_fits(f[i].value))
			return 0;
	return 1;
}
