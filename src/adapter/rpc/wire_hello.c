#include "wire.h"

int
wire_hello(XDR *x, struct wire_hello *h)
{
	return xdr_int64_t(x, &h->clock) && xdr_uint32_t(x, &h->key_id) &&
	       xdr_uint64_t(x, &h->incarnation) &&
	       xdr_opaque(x, (char *)h->nonce, sizeof h->nonce);
}
