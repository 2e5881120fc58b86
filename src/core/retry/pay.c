#include "impl.h"

#define FINISH_QUANTILE 0.5 /* of the latencies, the time an attempt needs */
#define FINISH_SAMPLES 16 /* with fewer latencies that time is taken as 0 */

int
retry_pay_attempt(struct retry *r, struct retry_call *c)
{
	if (c->extra_left <= 0 || (c->depth > 0 && r->tokens < 1)) {
		r->denied++;
		return 0;
	}
	if (c->depth > 0)
		r->tokens--;
	c->extra_left--;
	c->extra_used++;
	return 1;
}

int
retry_in_time(const struct retry *r, const struct retry_call *c, int64_t now)
{
	int64_t need = 0;

	if (r->latency.total >= FINISH_SAMPLES)
		need = quantile_get(&r->latency, FINISH_QUANTILE);
	return now + need < c->deadline;
}
