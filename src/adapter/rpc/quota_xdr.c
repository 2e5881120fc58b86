#include <rpc/rpc.h>
#include <string.h>

#include "quota_codec.h"

static int
xdr_entry(XDR *x, struct quota_entry *e)
{
	return xdr_uint64_t(x, &e->id) && xdr_int32_t(x, &e->tokens) &&
	       xdr_uint32_t(x, &e->used) && xdr_uint32_t(x, &e->want) &&
	       xdr_uint32_t(x, &e->ahead) && xdr_uint32_t(x, &e->refused);
}

static int
xdr_message(XDR *x, struct quota_message *m)
{
	uint32_t kind = m->kind, i;

	if (!xdr_uint32_t(x, &kind) || kind < QUOTA_POLL ||
	    kind > QUOTA_GRANT || !xdr_uint64_t(x, &m->number) ||
	    !xdr_uint32_t(x, &m->members) || !xdr_uint32_t(x, &m->ms) ||
	    !xdr_uint32_t(x, &m->ngrantor) || m->ngrantor > QUOTA_GRANTORS)
		return 0;
	m->kind = kind;
	for (i = 0; i < m->ngrantor; i++)
		if (!xdr_uint64_t(x, &m->grantor[i]))
			return 0;
	if (!xdr_uint32_t(x, &m->n) || m->n > QUOTA_ENTRIES_MAX)
		return 0;
	for (i = 0; i < m->n; i++)
		if (!xdr_entry(x, &m->entry[i]))
			return 0;
	return 1;
}

size_t
quota_encode(const struct quota_message *m, unsigned char *buf, size_t size)
{
	XDR x;
	size_t used = 0;

	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_ENCODE);
	/* The cast is safe: XDR_ENCODE does not modify the notice. */
	if (xdr_message(&x, (struct quota_message *)m))
		used = xdr_getpos(&x);
	xdr_destroy(&x);
	return used;
}

int
quota_decode(struct quota_message *m, const unsigned char *buf, size_t size)
{
	XDR x;
	int ok;

	memset(m, 0, sizeof *m);
	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_DECODE);
	ok = xdr_message(&x, m) && xdr_getpos(&x) == size;
	xdr_destroy(&x);
	return ok ? 0 : -1;
}
