#include "impl.h"

#define HEAR_US 20000 /* two ways between data centres and two busy daemons */
#define HEAR_PART 8 /* at most one part in so many of the time left */
#define NEED_LEAST 0.6 /* of the usual time; few answers come sooner */

int
admit_late(const struct admit *a, int64_t at, int64_t deadline)
{
	if (at >= deadline)
		return 1;
	/* a target with little to do is asked even if it was slow before */
	if (a->in_flight < admit_cold_limit(a))
		return 0;
	return at + (int64_t)a->recent_us > deadline;
}

void
admit_begin(struct admit *a, int64_t now, int64_t need_us, int rank,
    struct admit_run *run)
{
	if (a->in_flight++ == 0)
		a->progress = now;
	a->counters.run++;
	admit_cold_take(a, now);
	run->started = now;
	run->need_us = need_us;
	run->rank = rank;
	admit_running(a, rank, 1);
	run->epoch = a->epoch;
}

static int
room_at_once(const struct admit *a, int64_t now, const struct admit_want *w,
    int limit)
{
	int64_t next =
	    w->through_hold ? admit_cold_next(a, now) : admit_next(a, now);

	return a->in_flight < admit_open(a, now, w->rank, limit) &&
	       next <= now &&
	       (!a->queue.n || (w->through_hold && now < a->hold_until));
}

/** Latest start at which an answer can still be expected; the caller hears of
 * a refusal then before it has given up. */
static int64_t
hopeless_at(const struct admit_want *w, int64_t now)
{
	int64_t need = (int64_t)(NEED_LEAST * (double)w->need_us);
	int64_t hear = (w->deadline - now) / HEAR_PART;

	if (hear > HEAR_US)
		hear = HEAR_US;
	return w->deadline - (need > hear ? need : hear);
}

/** Why a request is refused whatever waits. */
static enum admit_reason
barred(const struct admit *a, int64_t now, const struct admit_want *w)
{
	if (a->draining)
		return ADMIT_DRAINING;
	if (a->out)
		return ADMIT_OUT;
	if (now >= hopeless_at(w, now))
		return ADMIT_DEADLINE;
	/* what the target does at present takes all that is known of it */
	if (!w->need_us && admit_late(a, now, w->deadline))
		return ADMIT_DEADLINE;
	return ADMIT_OK;
}

static int
full(const struct admit *a)
{
	return a->queue.n >= a->config.queue_max ||
	       a->queue.n >= a->queue.capacity;
}

/** Whether a request that finds no room may join what waits. */
static enum admit_reason
join(struct admit *a, int64_t now, struct entry *e, int limit)
{
	enum triage t = admit_triage(a, now, e, limit);

	if (t != TRIAGE_IN_TIME && e->elsewhere)
		return ADMIT_FULL;
	if (t == TRIAGE_HOPELESS)
		return ADMIT_DEADLINE;
	if (full(a) && (t == TRIAGE_LATE || !admit_make_room(a, e)))
		return admit_cold(a, now) ? ADMIT_COLD : ADMIT_FULL;
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
		.came = now,
		.deadline = w->deadline,
		.hopeless = hopeless_at(w, now),
		.need_us = w->need_us,
		.rank = w->rank,
		.missed = w->missed,
		.elsewhere = w->elsewhere,
		.tag = tag };
	int limit, room;

	admit_settle(a, now);
	queue_settle(&a->queue, now);
	limit = admit_limit(a, now);
	admit_demand(a, now, w->rank, w->need_us);
	a->pressed |= a->in_flight >= limit;
	*reason = barred(a, now, w);
	room = *reason == ADMIT_OK && room_at_once(a, now, w, limit);
	if (*reason == ADMIT_OK && !room)
		*reason = join(a, now, &e, limit);
	if (*reason != ADMIT_OK) {
		a->counters.refused[*reason]++;
		return ADMIT_REFUSE;
	}
	if (room) {
		admit_begin(a, now, w->need_us, w->rank, run);
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
	admit_settle(a, now);
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
