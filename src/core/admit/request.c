#include "impl.h"

/* Time for a refusal to reach the caller, over two trips between data centres
 * and through two busy daemons. At most the time left until the deadline,
 * divided by REFUSAL_LEAD_PART, is set aside for it. */
#define REFUSAL_LEAD_US 20000
#define REFUSAL_LEAD_PART 8
#define NEED_MIN_SHARE 0.6 /* of the usual time; few answers come sooner */

int
admit_too_late(const struct admit *a, int64_t at, int64_t deadline)
{
	if (at >= deadline)
		return 1;
	/* a target with few in flight is asked even if it was slow before */
	if (a->in_flight < admit_cold_limit(a))
		return 0;
	return at + (int64_t)a->recent_us > deadline;
}

void
admit_start_request(struct admit *a, int64_t now, const struct entry *e,
    struct admit_run *run)
{
	if (a->in_flight++ == 0)
		a->progress_at = now;
	a->counters.run++;
	admit_take_token(a, now);
	run->started = now;
	run->need_us = e->need_us;
	run->rank = e->rank;
	admit_add_running(a, e->rank, 1);
	run->organisation = e->organisation;
	run->charged_us = admit_slot_us(a, e);
	share_charge(&a->shares, now, e->organisation, run->charged_us);
	run->epoch = a->epoch;
}

/* While a hold keeps the queue waiting, a request that ignores it starts before
 * those in the queue. */
static int
can_run_now(const struct admit *a, int64_t now, const struct admit_want *w,
    int limit)
{
	int64_t next = w->ignore_hold ? admit_rate_next_start(a, now)
				      : admit_next_start(a, now);

	return a->in_flight < admit_rank_limit(a, now, w->rank, limit) &&
	       next <= now &&
	       (!a->queue.n || (w->ignore_hold && now < a->hold_until));
}

/** Latest start at which an answer can still be expected before the deadline. A
 * refusal at that time reaches the caller before it has given up. */
static int64_t
expiry(const struct admit_want *w, int64_t now)
{
	int64_t need = (int64_t)(NEED_MIN_SHARE * (double)w->need_us);
	int64_t lead = (w->deadline - now) / REFUSAL_LEAD_PART;

	if (lead > REFUSAL_LEAD_US)
		lead = REFUSAL_LEAD_US;
	return w->deadline - (need > lead ? need : lead);
}

/** Why a request is refused whatever the queue holds; ADMIT_OK if it is not. */
static enum admit_reason
immediate_refusal(const struct admit *a, int64_t now,
    const struct admit_want *w)
{
	if (a->draining)
		return ADMIT_DRAINING;
	if (a->out)
		return ADMIT_OUT;
	if (now >= expiry(w, now))
		return ADMIT_DEADLINE;
	/* without a service time only recent latency tells how long it takes */
	if (!w->need_us && admit_too_late(a, now, w->deadline))
		return ADMIT_DEADLINE;
	return ADMIT_OK;
}

static int
full(const struct admit *a)
{
	return a->queue.n >= a->config.queue_max ||
	       a->queue.n >= a->queue.capacity;
}

/** Whether a full queue is the coldness of the target. A cold limit above what
 * the target takes bounds nothing. */
static int
bounded_by_cold(const struct admit *a, int64_t now)
{
	if (!admit_cold(a, now))
		return 0;
	return a->config.cold_limit <= admit_max_limit(a) ||
	       admit_reported_cold(a, now);
}

/** Why a request that can't run at once may not join the queue; ADMIT_OK if it
 * may. Evicts a waiting request for it if the queue is full. */
static enum admit_reason
try_queue(struct admit *a, int64_t now, struct entry *e)
{
	enum triage t = admit_triage(a, now, e);

	if (t != TRIAGE_IN_TIME && e->other_target)
		return ADMIT_FULL;
	if (t == TRIAGE_EXPIRES)
		return ADMIT_DEADLINE;
	if (full(a) && (t == TRIAGE_LATE || !admit_make_room(a, now, e)))
		return bounded_by_cold(a, now) ? ADMIT_COLD : ADMIT_FULL;
	if (t == TRIAGE_LATE)
		e->key = LATE_KEY + e->deadline;
	return ADMIT_OK;
}

enum admit_verdict
admit_request_for(struct admit *a, int64_t now, const struct admit_want *w,
    uint32_t tag, struct admit_run *run, uint32_t *handle,
    enum admit_reason *reason)
{
	struct entry e = { .key = w->start_by,
		.arrived = now,
		.deadline = w->deadline,
		.expires = expiry(w, now),
		.need_us = w->need_us,
		.rank = w->rank,
		.refused_share = w->refused_share,
		.other_target = w->other_target,
		.organisation = w->organisation,
		.tag = tag };
	int limit, room;

	admit_check_cold(a, now);
	queue_mark_late(&a->queue, now);
	limit = admit_limit(a, now);
	admit_add_demand(a, now, w->rank, w->need_us);
	a->saturated |= a->in_flight >= limit;
	*reason = immediate_refusal(a, now, w);
	room = *reason == ADMIT_OK && can_run_now(a, now, w, limit);
	if (*reason == ADMIT_OK && !room)
		*reason = try_queue(a, now, &e);
	if (*reason != ADMIT_OK) {
		a->counters.refused[*reason]++;
		return ADMIT_REFUSE;
	}
	if (room) {
		admit_start_request(a, now, &e, run);
		return ADMIT_RUN;
	}
	*handle = queue_add(&a->queue, &e);
	a->counters.queued++;
	return ADMIT_WAIT;
}

enum admit_verdict
admit_request(struct admit *a, int64_t now, int64_t deadline, uint32_t tag,
    struct admit_run *run, uint32_t *handle, enum admit_reason *reason)
{
	struct admit_want w = { .deadline = deadline, .start_by = deadline };

	return admit_request_for(a, now, &w, tag, run, handle, reason);
}

int
admit_crowded(struct admit *a, int64_t now)
{
	admit_check_cold(a, now);
	if (2 * a->queue.n < admit_limit(a, now) || !a->queue.n)
		return 0;
	a->counters.crowded++;
	return 1;
}

int
admit_cancel(struct admit *a, uint32_t handle)
{
	int was = queue_remove(&a->queue, handle);

	a->counters.cancelled += (uint64_t)was;
	return was;
}
