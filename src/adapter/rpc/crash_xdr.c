#include "crash_codec.h"

#include <rpc/rpc.h>
#include <string.h>

static int
xdr_news(XDR *x, struct crash_news *n)
{
	uint32_t kind = n->kind, count = (uint32_t)n->n;
	int i;

	if (!xdr_uint32_t(x, &kind) || kind < CRASH_ENDED ||
	    kind > CRASH_REFUSED || !xdr_uint64_t(x, &n->start) ||
	    !xdr_uint32_t(x, &count) || count > CRASH_GROUP_MAX)
		return 0;
	n->kind = kind;
	n->n = (int)count;
	for (i = 0; i < n->n; i++)
		if (!xdr_uint64_t(x, &n->request[i]))
			return 0;
	return 1;
}

size_t
crash_news_encode(const struct crash_news *n, unsigned char *buf, size_t size)
{
	XDR x;
	size_t used = 0;

	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_ENCODE);
	/* The cast is safe: XDR_ENCODE does not modify the news. */
	if (xdr_news(&x, (struct crash_news *)n))
		used = xdr_getpos(&x);
	xdr_destroy(&x);
	return used;
}

int
crash_news_decode(struct crash_news *n, const unsigned char *buf, size_t size)
{
	XDR x;
	int ok;

	memset(n, 0, sizeof *n);
	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_DECODE);
	ok = xdr_news(&x, n) && xdr_getpos(&x) == size;
	xdr_destroy(&x);
	return ok ? 0 : -1;
}
