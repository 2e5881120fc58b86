#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define NONE UINT32_MAX
#define ATTEMPTS (1u << 20)
#define BURST_FROM_MS 400
#define BURST_MS 100

uint32_t
attempt_new(struct sim *s)
{
	uint32_t id = s->free_attempt;

	if (id == NONE) {
		if (s->nattempt == ATTEMPTS)
			abort();
		id = s->nattempt++;
	} else {
		s->free_attempt = s->attempt[id].next;
	}
	memset(&s->attempt[id], 0, sizeof s->attempt[id]);
	return id;
}

void
attempt_free(struct sim *s, uint32_t id)
{
	s->attempt[id].next = s->free_attempt;
	s->free_attempt = id;
}

int64_t
sim_deadline(const struct sim *s)
{
	return s->scenario->deadline_us ? s->scenario->deadline_us
					: DEADLINE_US;
}

static double
arrival_rate(const struct sim *s)
{
	int64_t ms = s->now / 1000 % 1000;
	double targets = s->scenario->cold && !s->caller[0].handle[0]
			     ? (TARGETS - 1.0) / TARGETS
			     : 1;
	double per_s = s->scenario->load * CAPACITY_PER_S * targets;

	if (s->scenario->overload > 0 && s->now >= OVERLOAD_FROM_US &&
	    s->now < OVERLOAD_TO_US)
		return s->scenario->overload * CAPACITY_PER_S;
	if (s->scenario->burst && ms >= BURST_FROM_MS &&
	    ms < BURST_FROM_MS + BURST_MS)
		per_s *= 3;
	return per_s;
}

static void
next_arrival(struct sim *s)
{
	if (s->ncall >= s->max_calls ||
	    (s->scenario->overload > 0 && s->now >= OVERLOAD_END_US))
		return;
	s->next_at -=
	    1e6 / arrival_rate(s) * __builtin_log(1 - rng_unit(&s->arrivals));
	heap_push(&s->heap, (int64_t)s->next_at, EVENT_ARRIVE, 0);
}

static void
handle_event(struct sim *s, const struct event *e)
{
	switch (e->kind) {
	case EVENT_ARRIVE:
		caller_arrive(s);
		next_arrival(s);
		break;
	case EVENT_RECEIVE:
		target_receive(s, e->id);
		break;
	case EVENT_FINISH:
		target_finish(s, e->id);
		break;
	case EVENT_REPLY:
		caller_reply(s, e->id);
		break;
	case EVENT_PROBE:
		target_report(s, s->attempt[e->id].target,
		    &s->attempt[e->id].report);
		heap_push(&s->heap, s->now + NETWORK_US, EVENT_PROBE_REPLY,
		    e->id);
		break;
	case EVENT_PROBE_REPLY:
		caller_probe_reply(s, e->id);
		break;
	case EVENT_HEDGE:
		caller_hedge(s, e->id);
		break;
	case EVENT_DEADLINE:
		caller_deadline(s, e->id);
		break;
	case EVENT_ADMIT:
		admission_timer(s, (int)e->id);
		break;
	case EVENT_TICK:
		target_tick(s);
		if (s->nlatency < s->max_calls - s->max_calls / 10 &&
		    s->heap.n > 0)
			heap_push(&s->heap, s->now + 1000, EVENT_TICK, 0);
		break;
	}
}

static int
by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double
at_quantile(const struct sim *s, double q)
{
	return (double)s->latency[(uint32_t)(q * (s->nlatency - 1))] / 1000;
}

static void
summarize(struct sim *s)
{
	double sum = 0;
	uint32_t i;

	qsort(s->latency, s->nlatency, sizeof *s->latency, by_value);
	for (i = 0; i < s->nlatency; i++)
		sum += (double)s->latency[i];
	s->result.calls = s->ncall;
	s->result.mean_ms = sum / s->nlatency / 1000;
	s->result.p50_ms = at_quantile(s, 0.5);
	s->result.p99_ms = at_quantile(s, 0.99);
	s->result.p999_ms = at_quantile(s, 0.999);
}

static int
set_up(struct sim *s, uint32_t calls, uint64_t seed)
{
	int i;

	s->max_calls = calls;
	s->free_attempt = NONE;
	s->end = (int64_t)(calls / (s->scenario->load * CAPACITY_PER_S) * 1e6);
	rng_seed(&s->arrivals, seed);
	rng_seed(&s->noise, seed + 1);
	s->call = calloc(calls, sizeof *s->call);
	s->attempt = calloc(ATTEMPTS, sizeof *s->attempt);
	s->latency = calloc(calls, sizeof *s->latency);
	if (!s->call || !s->attempt || !s->latency)
		return -1;
	for (i = 0; i < TARGETS; i++)
		target_init(s, i);
	for (i = 0; i < s->scenario->callers; i++)
		if (caller_init(s, i, seed + 2) < 0)
			return -1;
	return 0;
}

static void
tear_down(struct sim *s)
{
	int i;

	for (i = 0; i < s->scenario->callers; i++)
		pick_free(s->caller[i].pick);
	for (i = 0; i < TARGETS; i++)
		admit_free(s->target[i].admit);
	free(s->call);
	free(s->attempt);
	free(s->latency);
	free(s->heap.event);
	free(s);
}

int
sim_run(const struct scenario *scenario, const struct strategy *strategy,
    uint32_t calls, uint64_t seed, struct result *result)
{
	struct sim *s = calloc(1, sizeof *s);

	if (!s)
		return -1;
	s->scenario = scenario;
	s->strategy = strategy;
	if (set_up(s, calls, seed) < 0) {
		tear_down(s);
		return -1;
	}
	heap_push(&s->heap, 0, EVENT_TICK, 0);
	next_arrival(s);
	while (s->heap.n) {
		struct event e = heap_pop(&s->heap);

		s->now = e.at;
		handle_event(s, &e);
	}
	summarize(s);
	*result = s->result;
	tear_down(s);
	return 0;
}
