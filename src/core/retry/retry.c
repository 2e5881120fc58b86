#include "retry.h"

#define TOKENS_START 8

void
retry_init(struct retry *r, double ratio, int hedge)
{
	r->tokens = ratio > 0 ? TOKENS_START : 0;
	r->tokens_max = RETRY_TOKENS_MAX;
	r->retries = 0;
	r->hedges = 0;
	r->denied = 0;
	r->pays_late = 0;
	quantile_init(&r->latency);
	retry_configure(r, ratio, hedge);
}

void
retry_configure(struct retry *r, double ratio, int hedge)
{
	r->ratio = ratio > 0 ? ratio : 0;
	r->hedge = hedge;
	if (r->ratio == 0 && r->tokens > 0)
		r->tokens = 0;
}

void
retry_success(struct retry *r, int64_t latency_us)
{
	quantile_add(&r->latency, latency_us);
	r->tokens += r->ratio;
	if (r->tokens > r->tokens_max)
		r->tokens = r->tokens_max;
}

void
retry_set_pays_late(struct retry *r, int on)
{
	r->pays_late = on;
}

void
retry_set_tokens_max(struct retry *r, double most)
{
	r->tokens_max = most < RETRY_TOKENS_MAX ? most : RETRY_TOKENS_MAX;
	if (r->tokens > r->tokens_max)
		r->tokens = r->tokens_max;
}
