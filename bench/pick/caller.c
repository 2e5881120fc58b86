#include "sim.h"

#define RETRY_RATIO 0.1
#define STAGES 4

int
caller_init(struct sim *s, int i, uint64_t seed)
{
	struct pick_config config = { s->way->policy, TARGETS,
		s->way->probe_per_s, s->way->probe_per_call,
		seed + (uint64_t)i * 7919 };
	struct caller *c = &s->caller[i];
	int t;

	c->pick = pick_new(&config);
	if (!c->pick)
		return -1;
	retry_init(&c->retry, RETRY_RATIO, s->way->hedge);
	for (t = s->scenario->cold; t < TARGETS; t++)
		c->handle[t] = pick_add(c->pick, 0, 1, 1);
	return 0;
}

/** Least expected wait by the true state, requests on their way included. */
static int
oracle(const struct sim *s, const struct call *c)
{
	double least = 0;
	int best = -1;
	int i;

	for (i = 0; i < TARGETS; i++) {
		const struct target *t = &s->target[i];
		uint32_t handle = s->caller[c->caller].handle[i];
		int n = t->on_way + t->running + t->queued + 1;
		double us = t->speed * (t->cold ? 3 : 1);
		uint32_t k;

		for (k = 0; k < c->ntried && c->tried[k] != handle; k++)
			;
		if (!handle || k < c->ntried)
			continue;
		us *= n > t->limit ? 1 + (double)(n - t->limit) / t->limit : 1;
		us += 1e-6 * n;
		if (best < 0 || us < least) {
			best = i;
			least = us;
		}
	}
	return best;
}

static int
target_of(const struct caller *c, uint32_t handle)
{
	int i;

	for (i = 0; i < TARGETS; i++)
		if (c->handle[i] == handle)
			return i;
	return -1;
}

static void
probe(struct sim *s, uint16_t who)
{
	struct caller *c = &s->caller[who];
	uint32_t handle;

	while ((handle = pick_probe(c->pick, s->now)) != PICK_NONE) {
		uint32_t id = attempt_new(s);

		s->attempt[id].caller = who;
		s->attempt[id].target = (uint8_t)target_of(c, handle);
		heap_push(&s->heap, s->now + NETWORK_US, EVENT_PROBE, id);
		s->result.probes++;
	}
}

/** Return: nonzero if an attempt went out */
static int
send(struct sim *s, uint32_t id)
{
	struct call *c = &s->call[id];
	struct caller *who = &s->caller[c->caller];
	struct attempt *a;
	uint32_t attempt;
	int t = -1;

	if (c->ntried == TRIES_MAX)
		return 0;
	if (s->way->oracle)
		t = oracle(s, c);
	else
		t = target_of(who,
		    pick_choose(who->pick, s->now, c->tried, c->ntried));
	if (t < 0)
		return 0;
	c->tried[c->ntried++] = who->handle[t];
	c->out++;
	pick_sent(who->pick, who->handle[t], s->now);
	attempt = attempt_new(s);
	a = &s->attempt[attempt];
	a->call = id;
	a->caller = c->caller;
	a->target = (uint8_t)t;
	a->sent = s->now;
	a->movable = (uint8_t)retry_movable(&c->retry);
	retry_sent(&c->retry);
	s->target[t].on_way++;
	s->result.attempts++;
	heap_push(&s->heap, s->now + NETWORK_US, EVENT_REACH, attempt);
	return 1;
}

static void
over(struct sim *s, uint32_t id, int64_t latency)
{
	struct call *c = &s->call[id];

	c->over = 1;
	retry_end(&s->caller[c->caller].retry, &c->retry);
	if (latency < sim_deadline(s)) {
		s->result.good[s->now / SLICE_US % SLICES]++;
		s->result.in_time[c->arrived / SLICE_US % SLICES]++;
	}
	if (id >= s->room / 10)
		s->latency[s->nlatency++] = latency;
}

/** Erlang, of STAGES stages. */
static double
service_time(struct rng *r)
{
	double product = 1;
	int i;

	for (i = 0; i < STAGES; i++)
		product *= 1 - rng_unit(r);
	return -SERVICE_US / STAGES * __builtin_log(product);
}

void
caller_arrive(struct sim *s)
{
	uint32_t id = s->ncall++;
	struct call *c = &s->call[id];
	struct caller *who;
	int64_t delay;

	*c = (struct call){ .arrived = s->now };
	c->caller =
	    (uint16_t)rng_below(&s->arrivals, (uint32_t)s->scenario->callers);
	c->work = service_time(&s->arrivals);
	who = &s->caller[c->caller];
	retry_start(&who->retry, &c->retry, 0, 0, 1, s->now + sim_deadline(s));
	send(s, id);
	if (!s->way->oracle)
		probe(s, c->caller);
	s->result.asked[s->now / SLICE_US % SLICES]++;
	if (s->scenario->deadline_us)
		heap_push(&s->heap, s->now + sim_deadline(s), EVENT_DEADLINE,
		    id);
	delay = retry_hedge_delay(&who->retry, &c->retry);
	if (delay >= 0)
		heap_push(&s->heap, s->now + delay, EVENT_HEDGE, id);
}

void
caller_hedge(struct sim *s, uint32_t id)
{
	struct call *c = &s->call[id];

	if (c->over || c->ntried > 1)
		return;
	if (retry_hedge(&s->caller[c->caller].retry, &c->retry, s->now) ==
	    RETRY_GO)
		send(s, id);
}

void
caller_deadline(struct sim *s, uint32_t id)
{
	if (s->call[id].over)
		return;
	s->result.failed++;
	over(s, id, sim_deadline(s));
}

static void
refused(struct sim *s, uint32_t id, const struct attempt *a)
{
	struct call *c = &s->call[id];
	struct caller *who = &s->caller[c->caller];

	pick_refused(who->pick, who->handle[a->target], s->now, a->reason,
	    &a->report);
	if (c->over)
		return;
	if (retry_ask(&who->retry, &c->retry, RETRY_NOT_RUN, s->now) ==
		RETRY_GO &&
	    send(s, id))
		return;
	if (c->out)
		return;
	s->result.failed++;
	over(s, id, sim_deadline(s));
}

void
caller_reply(struct sim *s, uint32_t attempt)
{
	struct attempt a = s->attempt[attempt];
	struct call *c = &s->call[a.call];
	struct caller *who = &s->caller[c->caller];

	attempt_free(s, attempt);
	c->out--;
	if (a.refused) {
		refused(s, a.call, &a);
		return;
	}
	pick_done(who->pick, who->handle[a.target], s->now, s->now - a.sent,
	    c->over ? PICK_CANCELLED : PICK_GOOD, &a.report);
	if (c->over)
		return;
	retry_success(&who->retry, s->now - a.sent);
	over(s, a.call, s->now - c->arrived);
}

void
caller_probe_reply(struct sim *s, uint32_t attempt)
{
	struct attempt a = s->attempt[attempt];
	struct caller *who = &s->caller[a.caller];

	attempt_free(s, attempt);
	pick_probe_reply(who->pick, who->handle[a.target], s->now, &a.report);
}
