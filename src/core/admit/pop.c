#include "impl.h"

#include <stddef.h>

/** Why all that waits is refused now. */
static enum admit_reason
refusal(const struct admit *a)
{
	if (a->draining)
		return ADMIT_DRAINING;
	return a->out ? ADMIT_OUT : ADMIT_OK;
}

static enum admit_pop
expired(struct admit *a, struct admit_item *item, enum admit_reason why)
{
	item->reason = why;
	a->counters.refused[why]++;
	return ADMIT_POP_EXPIRED;
}

/** Time that a request of unknown need is expected to take if sent now. */
static int64_t
least_time(const struct admit *a)
{
	return a->in_flight < admit_cold_limit(a) ? 0 : (int64_t)a->recent_us;
}

enum admit_pop
admit_pop(struct admit *a, int64_t now, struct admit_item *item)
{
	int64_t need_us;
	int rank;

	admit_settle(a, now);
	if (!a->queue.n)
		return ADMIT_POP_NONE;
	if (refusal(a) != ADMIT_OK) {
		item->handle = queue_take(&a->queue, &item->tag);
		return expired(a, item, refusal(a));
	}
	queue_settle(&a->queue, now);
	if (a->queue.n > 1)
		admit_triage(a, now, NULL, admit_limit(a, now));
	if (queue_peek(&a->queue)->key == DROP_KEY) {
		item->handle = queue_take(&a->queue, &item->tag);
		return expired(a, item, ADMIT_FULL);
	}
	item->handle =
	    queue_take_hopeless(&a->queue, now, least_time(a), &item->tag);
	if (item->handle)
		return expired(a, item, ADMIT_DEADLINE);
	rank = queue_peek(&a->queue)->rank;
	if (a->in_flight >= admit_open(a, now, rank, admit_limit(a, now)) ||
	    admit_next(a, now) > now)
		return ADMIT_POP_NONE;
	need_us = queue_peek(&a->queue)->need_us;
	item->handle = queue_take(&a->queue, &item->tag);
	admit_begin(a, now, need_us, rank, &item->run);
	a->counters.waited++;
	return ADMIT_POP_RUN;
}

int64_t
admit_timer(const struct admit *a, int64_t now)
{
	int64_t first = queue_first(&a->queue, least_time(a)), next;

	if (first == INT64_MAX)
		return first;
	next = admit_next(a, now);
	if (next > now)
		return next < first ? next : first;
	return first + 1;
}
