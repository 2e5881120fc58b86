#include "sim.h"

#define NONE UINT32_MAX
#define COLD_LIMIT 2
#define COLD_SLOWDOWN 3
#define STRAGGLER_SLOWDOWN 10
#define NOISE_SLOWDOWN 3
#define NOISE_MS 5
#define NOISE_ONE_IN 4
#define LATENCY_GAIN 0.125

static const struct admit_config admission = { .slots = SLOTS,
	.connections = 260,
	.cold_limit = 3,
	.cold_calls = 100,
	.cold_good_us = 20000,
	.queue_max = 32 };

void
target_init(struct sim *s, int i)
{
	struct target *t = &s->target[i];

	*t = (struct target){ .limit = SLOTS, .first = NONE, .last = NONE };
	t->slowdown = 1;
	t->misreports = i < s->scenario->misreporting;
	t->timer = INT64_MAX;
	if (s->strategy->admit)
		t->admit = admit_new(&admission, 0);
}

static double
slowdown(const struct target *t)
{
	return t->cold ? t->slowdown * COLD_SLOWDOWN : t->slowdown;
}

void
target_start(struct sim *s, uint32_t id)
{
	struct attempt *a = &s->attempt[id];
	struct target *t = &s->target[a->target];

	t->running++;
	a->started = s->now;
	heap_push(&s->heap,
	    s->now + 1 + (int64_t)(s->call[a->call].work * slowdown(t)),
	    EVENT_FINISH, id);
}

static void
enqueue(struct sim *s, struct target *t, uint32_t id)
{
	s->attempt[id].next = NONE;
	if (t->last == NONE)
		t->first = id;
	else
		s->attempt[t->last].next = id;
	t->last = id;
	t->queued++;
}

void
target_answer(struct sim *s, uint32_t id)
{
	struct attempt *a = &s->attempt[id];

	target_report(s, a->target, &a->report);
	heap_push(&s->heap, s->now + NETWORK_US, EVENT_REPLY, id);
}

void
target_receive(struct sim *s, uint32_t id)
{
	struct attempt *a = &s->attempt[id];
	struct target *t = &s->target[a->target];

	t->in_transit--;
	if (t->admit) {
		admission_receive(s, id);
		return;
	}
	if (t->running < t->limit) {
		target_start(s, id);
		return;
	}
	if (a->movable && t->queued >= s->strategy->refuse_at) {
		a->refused = 1;
		a->reason = ADMIT_FULL;
		target_answer(s, id);
		return;
	}
	enqueue(s, t, id);
}

/** Raises the limit by one after as many completions as the limit allows. */
static void
raise_cold_limit(struct target *t)
{
	t->completions++;
	if (t->completions < t->limit)
		return;
	t->completions = 0;
	if (++t->limit >= SLOTS)
		t->cold = 0;
}

/**
 * Takes the next queued attempt whose call has not ended; answers those before
 * it without running them.
 *
 * Return: its id, NONE if the queue is empty
 */
static uint32_t
dequeue(struct sim *s, struct target *t)
{
	while (t->first != NONE) {
		uint32_t id = t->first;

		t->first = s->attempt[id].next;
		if (t->first == NONE)
			t->last = NONE;
		t->queued--;
		if (!s->call[s->attempt[id].call].done)
			return id;
		target_answer(s, id);
	}
	return NONE;
}

void
target_finish(struct sim *s, uint32_t id)
{
	struct attempt *a = &s->attempt[id];
	struct target *t = &s->target[a->target];
	double us = (double)(s->now - a->started);

	if (t->admit) {
		admission_finish(s, id);
		return;
	}
	t->running--;
	t->latency_us +=
	    (t->latency_us > 0 ? LATENCY_GAIN : 1) * (us - t->latency_us);
	if (t->cold)
		raise_cold_limit(t);
	target_answer(s, id);
	while (t->running < t->limit) {
		uint32_t next = dequeue(s, t);

		if (next == NONE)
			break;
		target_start(s, next);
	}
}

void
target_report(const struct sim *s, int i, struct load_report *l)
{
	const struct target *t = &s->target[i];
	int64_t ms = s->now / 1000;

	if (t->admit) {
		admit_report(t->admit, s->now, l);
		l->age_us = NETWORK_US;
		return;
	}
	if (s->scenario->stale_ms) {
		*l = t->history[(ms + HISTORY - s->scenario->stale_ms) %
				HISTORY];
		return;
	}
	*l = (struct load_report){ (uint32_t)t->running, (uint32_t)t->queued,
		(uint32_t)t->limit, (uint32_t)t->latency_us, (uint8_t)t->cold,
		0, 0, 0, NETWORK_US };
	if (!t->misreports)
		return;
	l->in_flight = 0;
	l->queued = 0;
	l->latency_us = 100;
}

static void
record_report(struct target *t, int64_t ms)
{
	t->history[ms % HISTORY] = (struct load_report){ (uint32_t)t->running,
		(uint32_t)t->queued, (uint32_t)t->limit,
		(uint32_t)t->latency_us, (uint8_t)t->cold, 0, 0, 0, 0 };
}

static void
return_cold(struct sim *s)
{
	struct target *t = &s->target[0];
	int i;

	t->cold = 1;
	t->limit = COLD_LIMIT;
	for (i = 0; i < s->scenario->callers; i++)
		s->caller[i].handle[0] =
		    pick_add(s->caller[i].pick, s->now, 1, 1);
}

void
target_tick(struct sim *s)
{
	int64_t ms = s->now / 1000;
	int i;

	for (i = 0; i < TARGETS; i++) {
		if (s->scenario->noisy && ms % NOISE_MS == 0)
			s->target[i].slowdown =
			    rng_below(&s->noise, NOISE_ONE_IN) ? 1
							       : NOISE_SLOWDOWN;
		if (i < s->scenario->stragglers && s->now >= s->end / 3)
			s->target[i].slowdown = STRAGGLER_SLOWDOWN;
		record_report(&s->target[i], ms);
	}
	if (s->scenario->cold && !s->caller[0].handle[0] &&
	    s->now >= s->end / 3)
		return_cold(s);
}
