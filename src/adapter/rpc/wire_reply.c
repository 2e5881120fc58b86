#include "wire.h"

int
wire_reply(XDR *x, struct wire_reply *r, struct wire_arena *a)
{
	return xdr_int64_t(x, &r->clock) && xdr_uint32_t(x, &r->retries_used) &&
	       xdr_uint32_t(x, &r->outcome) && xdr_uint32_t(x, &r->reason) &&
	       xdr_uint64_t(x, &r->config_version) && wire_load(x, &r->load) &&
	       xdr_uint32_t(x, &r->flags) && xdr_uint32_t(x, &r->status) &&
	       xdr_int64_t(x, &r->length) &&
	       wire_fields(x, &r->nfield, r->field, a) &&
	       wire_blob(x, &r->body, &r->body_len, WIRE_CHUNK_MAX);
}
