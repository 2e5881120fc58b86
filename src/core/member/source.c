#include "core/member/impl.h"

#include <string.h>

static int
can_serve(const struct row *r, uint64_t version, uint64_t except)
{
	return r && r->m.state == MEMBER_ALIVE &&
	       r->m.config_version > version && r->m.info.id != except;
}

/* One of the members found so far, each with the same probability. */
static int
pick_one(struct member_table *t, int chosen, int candidate, uint32_t *n)
{
	return member_random_below(t, ++*n) == 0 ? candidate : chosen;
}

int
member_source(struct member_table *t, uint64_t version, uint64_t except)
{
	const char *datacentre = member_row(t, 0)->m.info.datacentre;
	int h, near = MEMBER_NONE, far = MEMBER_NONE;
	uint32_t nnear = 0, nfar = 0;

	for (h = 1; h < member_handle_end(t); h++) {
		const struct row *r = member_row(t, h);

		if (!can_serve(r, version, except))
			continue;
		if (!strcmp(r->m.info.datacentre, datacentre))
			near = pick_one(t, near, h, &nnear);
		else
			far = pick_one(t, far, h, &nfar);
	}
	return near != MEMBER_NONE ? near : far;
}
