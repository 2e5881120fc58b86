#include "retry.h"

void
retry_call_start(struct retry *r, struct retry_call *c, int depth, int carried,
    int idempotent, int64_t deadline)
{
	c->deadline = deadline;
	c->depth = depth;
	c->idempotent = idempotent;
	c->reserved = 0;
	c->extra_used = 0;
	c->attempts = 0;
	if (depth > 0) {
		c->extra_left = carried < 0 ? 0 : carried;
		if (c->extra_left > RETRY_EXTRA_MAX)
			c->extra_left = RETRY_EXTRA_MAX;
		return;
	}
	if (r->pays_late) {
		c->extra_left = RETRY_EXTRA_MAX;
		return;
	}
	while (c->reserved < RETRY_EXTRA_MAX && r->tokens >= 1) {
		r->tokens--;
		c->reserved++;
	}
	c->extra_left = c->reserved;
}

int
retry_begin_attempt(struct retry_call *c)
{
	if (c->attempts++ > 0 || c->depth + 1 >= RETRY_DEPTH_MAX)
		return 0;
	return c->extra_left;
}

int
retry_movable(const struct retry *r, const struct retry_call *c)
{
	if (r->pays_late && c->depth == 0 && r->tokens < 2)
		return 0;
	return c->extra_left > 1;
}

void
retry_add_used(struct retry_call *c, int used)
{
	if (used <= 0)
		return;
	c->extra_used += used;
	c->extra_left = c->extra_left > used ? c->extra_left - used : 0;
}

void
retry_call_end(struct retry *r, struct retry_call *c)
{
	if (c->depth == 0)
		r->tokens += c->reserved - c->extra_used;
	c->reserved = 0;
	c->extra_left = 0;
	if (r->tokens > r->tokens_max)
		r->tokens = r->tokens_max;
}
