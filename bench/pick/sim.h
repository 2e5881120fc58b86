#ifndef BENCH_PICK_SIM_H
#define BENCH_PICK_SIM_H

#include <stdint.h>

#include "admit.h"
#include "pick.h"
#include "retry.h"
#include "rng.h"

/**
 * DOC: Small fake targets and callers in virtual time.
 *
 * No cluster: targets are queues with slots, callers are tables of the code
 * under test, the network is a delay.
 */

#define TARGETS 10
#define SLOTS 12
#define CALLERS_MAX 1000
#define SERVICE_US 2000.0
#define NETWORK_US 500
#define CAPACITY_PER_S (TARGETS * SLOTS / SERVICE_US * 1e6)
#define DEADLINE_US 500000
#define TRIES_MAX 4
#define OVERLOAD_FROM_US 1000000
#define OVERLOAD_TO_US 4000000
#define OVERLOAD_END_US 6000000
#define SLICE_US 100000
#define SLICES 64
#define HISTORY 256 /* ms of loads kept for stale reports */

/**
 * struct scenario - what happens in one run
 * @load: share of CAPACITY_PER_S
 * @straggler: targets that take ten times as long from a third of the run
 *	on
 * @noisy: nonzero if speeds are drawn anew each 5 ms
 * @stale_ms: age of reports, not told
 * @liars: targets that report to be idle and quick
 * @cold: nonzero if target 0 returns cold after a third of the run
 * @burst: nonzero if the load triples for 100 ms in each second
 * @callers: at most CALLERS_MAX
 * @deadline_us: time a call has, 0 for DEADLINE_US
 * @overload: if not 0, load from OVERLOAD_FROM_US to OVERLOAD_TO_US
 */
struct scenario {
	const char *name;
	double load;
	int straggler;
	int noisy;
	int stale_ms;
	int liars;
	int cold;
	int burst;
	int callers;
	int64_t deadline_us;
	double overload;
};

/**
 * struct way - one way of choosing
 * @oracle: nonzero to choose by the true state
 * @crowded: requests waiting at a target above which it refuses one that can
 *	still pay for another attempt
 * @hedge: nonzero to hedge
 * @admit: nonzero for real admission at the targets
 */
struct way {
	const char *name;
	double probe_per_s;
	double probe_per_call;
	enum pick_policy policy;
	int oracle;
	int crowded;
	int hedge;
	int admit;
};

enum event_kind {
	EVENT_ARRIVE,
	EVENT_REACH,
	EVENT_FINISH,
	EVENT_REPLY,
	EVENT_PROBE,
	EVENT_PROBE_REPLY,
	EVENT_HEDGE,
	EVENT_TICK,
	EVENT_DEADLINE,
	EVENT_ADMIT
};

struct event {
	int64_t at;
	uint32_t id;
	enum event_kind kind;
};

struct heap {
	uint32_t n;
	uint32_t room;
	struct event *event;
};

/** struct call - one request of a caller, with all its attempts */
struct call {
	int64_t arrived;
	double work;
	struct retry_call retry;
	uint32_t tried[TRIES_MAX];
	uint32_t ntried;
	uint32_t out; /* attempts not yet ended */
	uint16_t caller;
	uint8_t over;
};

/** struct attempt - a request or a probe on its way */
struct attempt {
	uint32_t call;
	uint32_t next; /* in the target's queue, or free */
	int64_t sent;
	int64_t started;
	struct load_report report;
	uint16_t caller;
	uint8_t target;
	uint8_t movable; /* the call can pay for another attempt */
	uint8_t refused;
	uint8_t reason; /* enum admit_reason */
	struct admit_run run;
};

struct target {
	int on_way; /* sent and not yet there, for the oracle */
	int running;
	int queued;
	int limit;
	uint32_t first;
	uint32_t last;
	double speed; /* times the work */
	double warmth; /* completions towards the next step of the limit */
	double latency_us;
	int cold;
	int lies;
	struct admit *admit;
	int64_t timer;
	struct load_report history[HISTORY];
};

struct caller {
	struct pick *pick;
	struct retry retry;
	uint32_t handle[TARGETS];
};

struct result {
	uint64_t calls;
	uint64_t failed;
	uint64_t attempts;
	uint64_t probes;
	uint32_t asked[SLICES]; /* calls that arrived in each SLICE_US */
	uint32_t in_time[SLICES]; /* of these, answered in time */
	uint32_t good[SLICES]; /* answers in time in each SLICE_US */
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double mean_ms;
};

struct sim {
	const struct scenario *scenario;
	const struct way *way;
	int64_t now;
	int64_t end;
	struct heap heap;
	struct rng arrivals;
	double arrival; /* time of the next one */
	struct rng world;
	struct target target[TARGETS];
	struct caller caller[CALLERS_MAX];
	struct call *call;
	struct attempt *attempt;
	uint32_t ncall;
	uint32_t nattempt;
	uint32_t free_attempt;
	uint32_t room;
	int64_t *latency;
	uint32_t nlatency;
	struct result result;
};

void heap_push(struct heap *, int64_t at, enum event_kind, uint32_t id);
struct event heap_pop(struct heap *);

void target_init(struct sim *, int i);
void target_reach(struct sim *, uint32_t id);
void target_finish(struct sim *, uint32_t id);
void target_report(const struct sim *, int i, struct load_report *);
/** target_tick() - once a millisecond: noise, cold return, history */
void target_tick(struct sim *);

uint32_t attempt_new(struct sim *);
void attempt_free(struct sim *, uint32_t);

int caller_init(struct sim *, int i, uint64_t seed);
void caller_arrive(struct sim *);
void caller_reply(struct sim *, uint32_t attempt);
void caller_hedge(struct sim *, uint32_t id);
void caller_probe_reply(struct sim *, uint32_t attempt);

/** admitted_reach() - as target_reach(), by the target's admission table */
void admitted_reach(struct sim *, uint32_t id);
void admitted_finish(struct sim *, uint32_t id);
void admitted_due(struct sim *, int target);
void target_start(struct sim *, uint32_t id);
void target_answer(struct sim *, uint32_t id);
void caller_deadline(struct sim *, uint32_t id);
int64_t sim_deadline(const struct sim *);
/** overload_run() - prints goodput through overload */
int overload_run(uint64_t seed);

/** sim_run() - @calls arrivals; the first tenth is not measured */
int sim_run(const struct scenario *, const struct way *, uint32_t calls,
    uint64_t seed, struct result *);

/** cost_run() - prints what choosing and admitting cost */
void cost_run(void);

#endif
