#include "impl.h"

#define FINISH_QUANTILE 0.5 /* of the latencies, the time an attempt needs */
#define FINISH_SAMPLES 16 /* with fewer latencies that time is taken as 0 */

/* Whether a call pays from the bucket with each extra attempt, in place of from
 * what it reserved. */
static int
pays_now(const struct retry *r, const struct retry_call *c)
{
	return c->depth > 0 || r->pays_late;
}

int
retry_pay_attempt(struct retry *r, struct retry_call *c)
{
	int now = pays_now(r, c);

	if (c->extra_left <= 0 || (now && r->tokens < 1)) {
		r->denied++;
		return 0;
	}
	if (now)
		r->tokens--;
	if (now && c->depth == 0)
		c->reserved++;
	c->extra_left--;
	c->extra_used++;
	return 1;
}

void
retry_refund(struct retry *r, struct retry_call *c)
{
	c->extra_left++;
	c->extra_used--;
	if (!pays_now(r, c))
		return;
	r->tokens++;
	if (c->depth == 0)
		c->reserved--;
}

int
retry_in_time(const struct retry *r, const struct retry_call *c, int64_t now)
{
	int64_t need = 0;

	if (r->latency.total >= FINISH_SAMPLES)
		need = quantile_get(&r->latency, FINISH_QUANTILE);
	return now + need < c->deadline;
}
