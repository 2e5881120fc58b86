#include "wire.h"

int
wire_pull(XDR *x, struct wire_pull *p)
{
	return xdr_uint64_t(x, &p->after) && xdr_uint32_t(x, &p->full) &&
	       xdr_uint32_t(x, &p->number);
}

static int
wire_object(XDR *x, struct wire_object *o, struct wire_arena *a)
{
	return xdr_uint32_t(x, &o->kind) && xdr_uint32_t(x, &o->removed) &&
	       xdr_uint64_t(x, &o->version) && xdr_uint64_t(x, &o->serial) &&
	       wire_string(x, &o->name, a) &&
	       xdr_uint32_t(x, &o->unpacked_size) &&
	       wire_blob(x, &o->value, &o->value_len, WIRE_OBJECT_MAX);
}

int
wire_state(XDR *x, struct wire_state *s, struct wire_arena *a)
{
	uint32_t i;

	if (!xdr_uint64_t(x, &s->after) || !xdr_uint64_t(x, &s->upto) ||
	    !xdr_uint64_t(x, &s->complete))
		return 0;
	if (!xdr_uint32_t(x, &s->number))
		return 0;
	if (!xdr_uint32_t(x, &s->flags) || !xdr_uint32_t(x, &s->nobject))
		return 0;
	if (s->nobject > WIRE_PULL_OBJECTS_MAX)
		return 0;
	for (i = 0; i < s->nobject; i++)
		if (!wire_object(x, &s->object[i], a))
			return 0;
	return 1;
}
