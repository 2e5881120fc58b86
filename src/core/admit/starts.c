#include "impl.h"

/* When a request may start, by the rates and the hold together. */

#define BURST_S 1.0 /* a limit's requests of this time may start at once */

void
admit_set_stated_rate(struct admit *a, int64_t now, double per_s)
{
	if (a->stated_rate.per_s <= 0)
		rate_start(&a->stated_rate, now);
	rate_change(&a->stated_rate, now, per_s, per_s * BURST_S);
}

void
admit_set_hold(struct admit *a, int64_t until)
{
	a->hold_until = until;
}

int64_t
admit_rate_next_start(const struct admit *a, int64_t now)
{
	int64_t cold = admit_cold_next_start(a, now);
	int64_t stated = rate_next_start(&a->stated_rate, now);

	return cold > stated ? cold : stated;
}

int64_t
admit_next_start(const struct admit *a, int64_t now)
{
	int64_t next = admit_rate_next_start(a, now);

	return a->hold_until > next ? a->hold_until : next;
}

void
admit_take_token(struct admit *a, int64_t now)
{
	if (admit_reported_cold(a, now))
		rate_take(&a->cold_rate, now);
	rate_take(&a->stated_rate, now);
}

double
admit_per_s(const struct admit *a, int64_t now)
{
	double cold = admit_reported_cold(a, now) ? a->cold_rate.per_s : 0;
	double stated = a->stated_rate.per_s;

	if (cold <= 0 || stated <= 0)
		return cold > 0 ? cold : stated;
	return cold < stated ? cold : stated;
}
