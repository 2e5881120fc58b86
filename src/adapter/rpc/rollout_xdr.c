#include "rollout_codec.h"

#include <rpc/rpc.h>
#include <string.h>

/* First word of news of a roll-out. News of crashing requests begin with a
 * small number (enum crash_kind), so that neither is taken for the other. */
#define NEWS_TYPE 0x726f6c6cu

enum { REPORT_NEW = 1, REPORT_WARM = 2 };

static int
xdr_route(XDR *x, struct rollout_route *r)
{
	int i;

	if (!xdr_uint32_t(x, &r->route) || !xdr_uint32_t(x, &r->failed))
		return 0;
	for (i = 0; i < ROLLOUT_TIMES; i++)
		if (!xdr_uint32_t(x, &r->time[i]))
			return 0;
	return 1;
}

static int
xdr_flags(XDR *x, struct rollout_report *r)
{
	uint32_t flags =
	    (r->is_new ? REPORT_NEW : 0) | (r->warm ? REPORT_WARM : 0);

	if (!xdr_uint32_t(x, &flags) ||
	    flags & ~(uint32_t)(REPORT_NEW | REPORT_WARM))
		return 0;
	r->is_new = (flags & REPORT_NEW) != 0;
	r->warm = (flags & REPORT_WARM) != 0;
	return 1;
}

static int
xdr_report(XDR *x, struct rollout_report *r)
{
	uint32_t n = (uint32_t)r->nroute;
	int i;

	if (!xdr_uint64_t(x, &r->order) || !xdr_uint64_t(x, &r->reporter) ||
	    !xdr_uint64_t(x, &r->target) || !xdr_uint64_t(x, &r->start) ||
	    !xdr_uint32_t(x, &r->sequence) || !xdr_flags(x, r) ||
	    !xdr_uint32_t(x, &r->started) || !xdr_uint32_t(x, &r->in_flight) ||
	    !xdr_uint32_t(x, &n) || n > ROLLOUT_ROUTES_MAX || !r->order ||
	    !r->reporter)
		return 0;
	r->nroute = (int)n;
	for (i = 0; i < r->nroute; i++)
		if (!xdr_route(x, &r->route[i]))
			return 0;
	return 1;
}

static int
xdr_text(XDR *x, char *text, size_t size)
{
	uint32_t n = x->x_op == XDR_ENCODE ? (uint32_t)strlen(text) : 0;

	if (!xdr_uint32_t(x, &n) || n >= size || !xdr_opaque(x, text, n))
		return 0;
	if (x->x_op == XDR_DECODE)
		text[n] = '\0';
	return strlen(text) == n;
}

static int
xdr_news(XDR *x, struct rollout_news *n)
{
	uint32_t type = NEWS_TYPE, state = n->state;

	if (!xdr_uint32_t(x, &type) || type != NEWS_TYPE ||
	    !xdr_uint64_t(x, &n->order) || !n->order ||
	    !xdr_uint32_t(x, &state) || state < ROLLOUT_COMPLETED ||
	    state > ROLLOUT_ROLLED_BACK)
		return 0;
	n->state = state;
	return xdr_text(x, n->service, sizeof n->service) &&
	       xdr_text(x, n->version, sizeof n->version);
}

size_t
rollout_report_encode(const struct rollout_report *r, unsigned char *buf,
    size_t size)
{
	XDR x;
	size_t used = 0;

	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_ENCODE);
	/* The cast is safe: XDR_ENCODE does not modify the report. */
	if (xdr_report(&x, (struct rollout_report *)r))
		used = xdr_getpos(&x);
	xdr_destroy(&x);
	return used;
}

int
rollout_report_decode(struct rollout_report *r, const unsigned char *buf,
    size_t size)
{
	XDR x;
	int ok;

	memset(r, 0, sizeof *r);
	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_DECODE);
	ok = xdr_report(&x, r) && xdr_getpos(&x) == size;
	xdr_destroy(&x);
	return ok ? 0 : -1;
}

size_t
rollout_news_encode(const struct rollout_news *n, unsigned char *buf,
    size_t size)
{
	XDR x;
	size_t used = 0;

	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_ENCODE);
	/* The cast is safe: XDR_ENCODE does not modify the news. */
	if (xdr_news(&x, (struct rollout_news *)n))
		used = xdr_getpos(&x);
	xdr_destroy(&x);
	return used;
}

int
rollout_news_decode(struct rollout_news *n, const unsigned char *buf,
    size_t size)
{
	XDR x;
	int ok;

	memset(n, 0, sizeof *n);
	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_DECODE);
	ok = xdr_news(&x, n) && xdr_getpos(&x) == size;
	xdr_destroy(&x);
	return ok ? 0 : -1;
}
