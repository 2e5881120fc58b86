#include "core/member/impl.h"

#include <string.h>

/* Rendezvous hash: FNV-1a of the name, XORed with the id, then the finalizer of
 * SplitMix64. */
static uint64_t
weight(const char *datacentre, uint64_t id)
{
	uint64_t z = 0xcbf29ce484222325u;
	const char *p;

	for (p = datacentre; *p; p++)
		z = (z ^ (unsigned char)*p) * 0x100000001b3u;
	z ^= id;
	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
	z = (z ^ z >> 27) * 0x94d049bb133111ebu;
	return z ^ z >> 31;
}

/* Inserts a handle into the @n of highest weight found so far, at most @k of
 * them. Returns their new count. */
static int
insert_by_weight(const struct member_table *t, const char *datacentre, int k,
    int n, int *handle, int h)
{
	uint64_t w = weight(datacentre, member_row(t, h)->m.info.id);
	int i;

	if (n < k)
		n++;
	else if (weight(datacentre, member_row(t, handle[n - 1])->m.info.id) >=
		 w)
		return n;
	for (i = n - 1;
	     i > 0 &&
	     weight(datacentre, member_row(t, handle[i - 1])->m.info.id) < w;
	     i--)
		handle[i] = handle[i - 1];
	handle[i] = h;
	return n;
}

static int
can_watch(const struct row *r)
{
	return r && r->m.state == MEMBER_ALIVE && r->m.confirmed;
}

int
member_watchers(const struct member_table *t, const char *datacentre, int k,
    int *handle)
{
	int h, n = 0;

	for (h = 0; k > 0 && h < member_handle_end(t); h++) {
		const struct row *r = member_row(t, h);

		if (can_watch(r) &&
		    (!datacentre || !strcmp(r->m.info.datacentre, datacentre)))
			n = insert_by_weight(t, datacentre ? datacentre : "", k,
			    n, handle, h);
	}
	return n;
}

static int
is_first_watcher(const struct member_table *t, int h)
{
	int first;

	return member_watchers(t, member_row(t, h)->m.info.datacentre, 1,
		   &first) == 1 &&
	       first == h;
}

int
member_verifiers(const struct member_table *t, int k, int *handle)
{
	int candidate[MEMBER_CHOSEN_MAX], max = MIN(2 * k, MEMBER_CHOSEN_MAX);
	int i, round, m = member_watchers(t, NULL, max, candidate), n = 0;

	for (round = 0; round < 2; round++)
		for (i = 0; i < m && n < k; i++)
			if (is_first_watcher(t, candidate[i]) == round)
				handle[n++] = candidate[i];
	return n;
}
