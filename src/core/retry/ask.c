#include "impl.h"

enum retry_verdict
retry_allow_resend(struct retry *r, struct retry_call *c,
    enum retry_cause cause, int64_t now)
{
	if (cause == RETRY_FINAL)
		return RETRY_NO_FINAL;
	if (cause != RETRY_NOT_RUN && !c->idempotent)
		return RETRY_NO_UNSAFE;
	if (!retry_in_time(r, c, now))
		return RETRY_NO_TIME;
	if (!retry_pay_attempt(r, c))
		return RETRY_NO_BUDGET;
	r->retries++;
	return RETRY_GO;
}
