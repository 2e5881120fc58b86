#include "wire.h"

int
wire_body(XDR *x, struct wire_body *b)
{
	return xdr_uint32_t(x, &b->call_xid) && xdr_uint32_t(x, &b->flags) &&
	       wire_blob(x, &b->body, &b->body_len, WIRE_CHUNK_MAX);
}

int
wire_notice(XDR *x, struct wire_notice *n)
{
	return xdr_uint32_t(x, &n->kind) &&
	       wire_blob(x, &n->content, &n->len, WIRE_NOTICE_MAX);
}

int
wire_credit(XDR *x, struct wire_credit *c)
{
	return xdr_uint32_t(x, &c->call_xid) && xdr_uint32_t(x, &c->flags) &&
	       xdr_uint32_t(x, &c->bytes);
}
