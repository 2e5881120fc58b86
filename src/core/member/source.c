#include "core/member/impl.h"

#include <string.h>

static int
can_serve(const struct row *r, uint64_t version)
{
	return r && r->m.state == MEMBER_ALIVE && r->m.config_version > version;
}

static int
has_failed(const struct row *r, uint64_t version)
{
	return r->pull_failed && r->pull_failed_version == version;
}

/* One of the members found so far, each with the same probability. */
static int
pick_one(struct member_table *t, int chosen, int candidate, uint32_t *n)
{
	return member_random_below(t, ++*n) == 0 ? candidate : chosen;
}

/* Chooses among the sources that have not failed. Members of one data centre
 * often fail together, so that after one of ours the others come last. */
static int
choose_source(struct member_table *t, uint64_t version)
{
	const char *datacentre = member_row(t, 0)->m.info.datacentre;
	int h, near = MEMBER_NONE, far = MEMBER_NONE, near_failed = 0;
	uint32_t nnear = 0, nfar = 0;

	for (h = 1; h < member_handle_end(t); h++) {
		const struct row *r = member_row(t, h);
		int is_near;

		if (!can_serve(r, version))
			continue;
		is_near = !strcmp(r->m.info.datacentre, datacentre);
		if (has_failed(r, version))
			near_failed |= is_near;
		else if (is_near)
			near = pick_one(t, near, h, &nnear);
		else
			far = pick_one(t, far, h, &nfar);
	}
	if (near == MEMBER_NONE || (near_failed && far != MEMBER_NONE))
		return far;
	return near;
}

int
member_source(struct member_table *t, uint64_t version)
{
	int h, chosen = choose_source(t, version);

	if (chosen != MEMBER_NONE)
		return chosen;
	for (h = 1; h < member_handle_end(t); h++)
		if (member_row(t, h))
			member_row(t, h)->pull_failed = 0;
	return MEMBER_NONE;
}

void
member_source_failed(struct member_table *t, uint64_t id, uint64_t version)
{
	struct row *r = member_row(t, member_find(t, id));

	if (!r)
		return;
	r->pull_failed = 1;
	r->pull_failed_version = version;
}
