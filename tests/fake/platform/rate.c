#include "platform.h"

#include <string.h>

void
rates_init(struct rates *r, double reads, double writes, int64_t now)
{
	memset(r, 0, sizeof *r);
	r->limit[0] = r->tokens[0] = reads;
	r->limit[1] = r->tokens[1] = writes;
	r->filled_at = now;
}

static void
refill(struct rates *r, int64_t now)
{
	double s = (double)(now - r->filled_at) / G_USEC_PER_SEC;
	int i;

	for (i = 0; i < 2; i++)
		r->tokens[i] = MIN(r->limit[i], r->tokens[i] + s * r->limit[i]);
	r->filled_at = now;
}

static void
count(struct rates *r, enum call_kind k, int64_t now)
{
	if (now / G_USEC_PER_SEC != r->second) {
		r->second = now / G_USEC_PER_SEC;
		memset(r->in_second, 0, sizeof r->in_second);
	}
	r->total[k]++;
	r->in_second[k]++;
	r->peak[k] = MAX(r->peak[k], r->in_second[k]);
}

int
rates_take(struct rates *r, enum call_kind k, int64_t now)
{
	int bucket = k == CALL_WRITE;

	refill(r, now);
	if (r->tokens[bucket] < 1) {
		count(r, CALL_REFUSED, now);
		return 0;
	}
	r->tokens[bucket]--;
	count(r, k, now);
	return 1;
}
