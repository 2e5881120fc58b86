#include "wire.h"

static int
wire_flag(XDR *x, uint8_t *flag)
{
	uint32_t v = *flag;

	if (!xdr_uint32_t(x, &v) || v > 1)
		return 0;
	*flag = v;
	return 1;
}

int
wire_load(XDR *x, struct load_report *l)
{
	return xdr_uint32_t(x, &l->in_flight) && xdr_uint32_t(x, &l->queued) &&
	       xdr_uint32_t(x, &l->limit) && xdr_uint32_t(x, &l->latency_us) &&
	       wire_flag(x, &l->cold) && wire_flag(x, &l->draining) &&
	       xdr_uint32_t(x, &l->pace) && xdr_uint32_t(x, &l->pace_age_us) &&
	       xdr_uint32_t(x, &l->age_us);
}

int
wire_probe_result(XDR *x, struct wire_probe_result *r)
{
	return xdr_int64_t(x, &r->clock) && wire_load(x, &r->load);
}
