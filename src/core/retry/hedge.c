#include "impl.h"

#define HEDGE_QUANTILE 0.95 /* of the latencies, the delay of a hedge */
#define HEDGE_SAMPLES 64 /* with fewer latencies no call is hedged */

int64_t
retry_hedge_delay(const struct retry *r, const struct retry_call *c)
{
	if (!r->hedge || !c->idempotent || c->extra_left <= 0)
		return -1;
	if (r->latency.total < HEDGE_SAMPLES)
		return -1;
	return quantile_get(&r->latency, HEDGE_QUANTILE);
}

enum retry_verdict
retry_allow_hedge(struct retry *r, struct retry_call *c, int64_t now)
{
	if (!r->hedge || !c->idempotent)
		return RETRY_NO_UNSAFE;
	if (!retry_in_time(r, c, now))
		return RETRY_NO_TIME;
	if (!retry_pay_attempt(r, c))
		return RETRY_NO_BUDGET;
	r->hedges++;
	return RETRY_GO;
}
