#include "once.h"

#include <string.h>

#define CREATED_MAX ((INT64_C(1) << 48) - 1) /* ms */

void
once_clock_update(struct once_clock *c, int64_t stamp, int64_t now)
{
	c->remote_us = stamp;
	c->local_us = now;
}

int64_t
once_clock_to_remote(const struct once_clock *c, int64_t own)
{
	return c->remote_us + (own - c->local_us);
}

int
once_id_mint(struct once_id *id, uint64_t incarnation,
    const struct once_clock *c, int64_t now,
    const uint8_t random[ONCE_RANDOM_LEN])
{
	int64_t ms;

	if (!c->local_us)
		return -1;
	ms = once_clock_to_remote(c, now) / 1000;
	if (ms < 0 || ms > CREATED_MAX)
		return -1;
	id->incarnation = incarnation;
	id->created_ms = (uint64_t)ms;
	memcpy(id->random, random, ONCE_RANDOM_LEN);
	return 0;
}
