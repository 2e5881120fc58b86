#include "budget.h"

#define US_PER_S 1e6
#define PERIOD_MAX_US 1e18 /* a period this long or longer is BUDGET_NEVER */

/* Returns the period in microseconds, rounded up, at least 1. */
static int64_t
period_of_rate(double per_s)
{
	double us;

	if (!(per_s > 0))
		return BUDGET_NEVER;
	us = US_PER_S / per_s;
	if (us >= PERIOD_MAX_US)
		return BUDGET_NEVER;
	return us <= 1 ? 1 : (int64_t)us + ((double)(int64_t)us < us);
}

void
budget_init(struct budget *b, double per_s, int64_t now)
{
	b->period_us = period_of_rate(per_s);
	b->last_us = now;
	b->taken = 0;
	b->denied = 0;
}

void
budget_set_rate(struct budget *b, double per_s)
{
	b->period_us = period_of_rate(per_s);
}

int64_t
budget_next_time(const struct budget *b)
{
	if (b->period_us == BUDGET_NEVER ||
	    b->last_us > BUDGET_NEVER - b->period_us)
		return BUDGET_NEVER;
	return b->last_us + b->period_us;
}

int
budget_take(struct budget *b, int64_t now)
{
	int64_t next = budget_next_time(b);

	if (next == BUDGET_NEVER || now < next) {
		b->denied++;
		return 0;
	}
	b->last_us = now;
	b->taken++;
	return 1;
}
