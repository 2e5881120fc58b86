#include "wire.h"

int
wire_call(XDR *x, struct wire_call *c, struct wire_arena *a)
{
	return xdr_uint64_t(x, &c->config_version) &&
	       xdr_uint64_t(x, &c->incarnation) &&
	       xdr_uint32_t(x, &c->left_us) &&
	       xdr_uint32_t(x, &c->objective_us) &&
	       xdr_uint32_t(x, &c->flags) &&
	       xdr_uint32_t(x, &c->retries_left) &&
	       xdr_uint32_t(x, &c->depth) && wire_string(x, &c->service, a) &&
	       wire_string(x, &c->method, a) && wire_string(x, &c->path, a) &&
	       wire_string(x, &c->id, a) && wire_string(x, &c->trace, a) &&
	       xdr_int64_t(x, &c->length) &&
	       wire_fields(x, &c->nfield, c->field, a) &&
	       wire_blob(x, &c->body, &c->body_len, WIRE_CHUNK_MAX);
}

uint32_t
wire_window_flags(size_t window)
{
	return (uint32_t)(window / WIRE_CALL_WINDOW_UNIT)
	       << WIRE_CALL_WINDOW_SHIFT;
}

size_t
wire_window(uint32_t flags)
{
	size_t n =
	    (size_t)(flags >> WIRE_CALL_WINDOW_SHIFT) * WIRE_CALL_WINDOW_UNIT;

	if (!n || n > WIRE_WINDOW)
		return WIRE_WINDOW;
	return n < WIRE_CHUNK_MAX ? WIRE_CHUNK_MAX : n;
}
