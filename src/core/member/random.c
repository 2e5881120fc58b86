#include "core/member/impl.h"

#define SAMPLE_MAX 16
#define SAMPLE_TRIES 8 /* random draws for each of the members wanted */

/* SplitMix64 (Steele, Lea, Flood, 2014). */
uint64_t
member_random(struct member_table *t)
{
	uint64_t z = t->rng_state += 0x9e3779b97f4a7c15u;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
	z = (z ^ z >> 27) * 0x94d049bb133111ebu;
	return z ^ z >> 31;
}

uint32_t
member_random_below(struct member_table *t, uint32_t n)
{
	return (uint32_t)((member_random(t) >> 32) * n >> 32);
}

void
member_shuffle(struct member_table *t, GArray *handles)
{
	guint i;

	for (i = handles->len; i > 1; i--) {
		guint k = member_random_below(t, i);
		int h = g_array_index(handles, int, i - 1);

		g_array_index(handles, int, i - 1) =
		    g_array_index(handles, int, k);
		g_array_index(handles, int, k) = h;
	}
}

/* Whether messages are expected to reach a member. */
static int
seems_reachable(const struct member_table *t, int handle)
{
	const struct row *r = member_row(t, handle);

	return r->m.state == MEMBER_ALIVE && !r->checked;
}

static int
sample(struct member_table *t, int except, int k, int reachable, int *handle)
{
	int i, n = 0, tries = k * SAMPLE_TRIES;

	while (n < k && tries-- > 0 && t->live->len > 0) {
		int h = g_array_index(t->live, int,
		    member_random_below(t, t->live->len));

		if (h == except || (reachable && !seems_reachable(t, h)))
			continue;
		for (i = 0; i < n && handle[i] != h; i++)
			;
		if (i == n)
			handle[n++] = h;
	}
	return n;
}

int
member_sample(struct member_table *t, int except, int k, int *handle)
{
	int n = sample(t, except, k, 1, handle);

	return n ? n : sample(t, except, k, 0, handle);
}
