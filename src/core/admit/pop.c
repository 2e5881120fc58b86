#include "impl.h"

#include <stddef.h>

/** Why all waiting requests are refused now; ADMIT_OK if they are not. */
static enum admit_reason
refuse_all_reason(const struct admit *a)
{
	if (a->draining)
		return ADMIT_DRAINING;
	return a->out ? ADMIT_OUT : ADMIT_OK;
}

static enum admit_pop
refuse_item(struct admit *a, struct admit_item *item, enum admit_reason why)
{
	item->reason = why;
	a->counters.refused[why]++;
	return ADMIT_POP_REFUSED;
}

/** Time that a request whose service time is not known is expected to take if
 * sent now; 0 below the cold limit, so that a target with few requests in
 * flight is asked even if it was slow before. */
static int64_t
expected_us(const struct admit *a)
{
	return a->in_flight < admit_cold_limit(a) ? 0 : (int64_t)a->recent_us;
}

enum admit_pop
admit_pop(struct admit *a, int64_t now, struct admit_item *item)
{
	struct entry e;

	admit_check_cold(a, now);
	if (!a->queue.n)
		return ADMIT_POP_NONE;
	if (refuse_all_reason(a) != ADMIT_OK) {
		item->handle = queue_take(&a->queue, &item->tag);
		return refuse_item(a, item, refuse_all_reason(a));
	}
	queue_mark_late(&a->queue, now);
	if (a->queue.n > 1)
		admit_triage(a, now, NULL);
	if (queue_peek(&a->queue)->key == REFUSE_KEY) {
		item->handle = queue_take(&a->queue, &item->tag);
		return refuse_item(a, item, ADMIT_FULL);
	}
	item->handle =
	    queue_take_expired(&a->queue, now, expected_us(a), &item->tag);
	if (item->handle)
		return refuse_item(a, item, ADMIT_DEADLINE);
	e = *queue_peek(&a->queue);
	if (a->in_flight >=
		admit_rank_limit(a, now, e.rank, admit_limit(a, now)) ||
	    admit_next_start(a, now) > now)
		return ADMIT_POP_NONE;
	item->handle = queue_take(&a->queue, &item->tag);
	admit_start_request(a, now, &e, &item->run);
	a->counters.waited++;
	return ADMIT_POP_RUN;
}

int64_t
admit_timer(const struct admit *a, int64_t now)
{
	int64_t first = queue_next_expiry(&a->queue, expected_us(a)), next;

	if (first == INT64_MAX)
		return first;
	next = admit_next_start(a, now);
	if (next > now)
		return next < first ? next : first;
	return first + 1;
}
