#include "once.h"

#include <string.h>

#define CREATED_MAX ((INT64_C(1) << 48) - 1) /* ms */

void
once_clock_stamp(struct once_clock *c, int64_t stamp, int64_t now)
{
	c->stamp = stamp;
	c->at = now;
}

int64_t
once_clock_time(const struct once_clock *c, int64_t own)
{
	return c->stamp + (own - c->at);
}

int
once_id_mint(struct once_id *id, uint64_t incarnation,
    const struct once_clock *c, int64_t now,
    const uint8_t random[ONCE_RANDOM_LEN])
{
	int64_t ms;

	if (!c->at)
		return -1;
	ms = once_clock_time(c, now) / 1000;
	if (ms < 0 || ms > CREATED_MAX)
		return -1;
	id->incarnation = incarnation;
	id->birth = (uint64_t)ms;
	memcpy(id->random, random, ONCE_RANDOM_LEN);
	return 0;
}
