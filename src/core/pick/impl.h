#ifndef KQ_PICK_IMPL_H
#define KQ_PICK_IMPL_H

#include "pick.h"
#include "rng.h"

#define INDEX_NONE UINT32_MAX
#define LIMIT_DEFAULT 8 /* limit assumed of a target without a report */
#define POOL_MAX 16 /* answered probes kept */

/* Candidates in the own data centre, and in all others. */
enum group { GROUP_LOCAL, GROUP_OTHER, GROUPS };

/**
 * struct candidate - what is known of one target; a free entry if not @used
 * @gen: changes when the entry is freed, so that old handles are ignored
 * @classes: see pick_set_classes()
 * @pos: position in the list of its group
 * @share: 0..1, fraction of a full share of calls that it gets (ramp)
 * @in_flight: own requests in flight at it
 * @sent_sum: sum of the times at which these were sent
 * @latency_us: smoothed latency of own requests to it; 0 if unknown
 * @latency_at: time of the last update of @latency_us, or else of pick_add()
 * @predicted_us: smoothed estimate of the latency, updated at each sending;
 *	only with PICK_EXPECTED
 * @load: requests in flight and queued at the target in the last report
 * @limit: requests in flight that it allowed then; 0 without a report
 * @report_us: latency of the target in the last report, smoothed there
 * @report_at: time at which that report was made, or else of pick_add()
 * @unreported: own requests sent since the last report arrived, which does not
 *	include them; at most @in_flight
 * @avoid_until: until then it is chosen only if there is no other
 * @failing_until: until then it is taken not to answer, or to answer that it
 *	fails
 * @leaving_at: time at which it first refused as leaving, else 0; 0 again if it
 *	takes requests since
 * @stops: nonzero once it refused as its daemon stops, which is final
 * @failures: failures since the last good reply
 * @virtual_turn: virtual time at which it was last chosen
 */
struct candidate {
	uint16_t gen;
	uint8_t used;
	uint8_t group;
	uint8_t draining;
	uint8_t cold;
	uint8_t stops;
	uint8_t classes;
	uint32_t pos;
	double share;
	uint32_t in_flight;
	double sent_sum;
	double latency_us;
	int64_t latency_at;
	double predicted_us;
	double load;
	uint32_t limit;
	double report_us;
	int64_t report_at;
	uint32_t unreported;
	int64_t avoid_until;
	int64_t failing_until;
	int64_t leaving_at;
	uint32_t failures;
	double virtual_turn;
};

/** struct list - indices of the candidates of one group */
struct list {
	uint32_t n;
	uint32_t *index;
};

/** struct pool_probe - one answered probe, usable @uses_left more times */
struct pool_probe {
	uint32_t handle;
	double load;
	double latency_us;
	int64_t at;
	int uses_left;
};

/** struct pool - answered probes; candidates with a load above @hot are hot */
struct pool {
	int n;
	struct pool_probe probe[POOL_MAX];
	double hot;
};

/**
 * struct crossing_side - the targets of one group that may be chosen, by their
 * recent reports; away, only those that have room
 * @utilization: requests in flight and waiting over @limit; where calls are
 *	refused, at least @demand
 * @demand: places that the arriving calls need over @limit: those occupied, and
 *	while the group is full what its load grows by; where calls are refused,
 *at least calls over calls served
 * @limit: requests in flight that they allow, in sum; 0 when nothing is known
 * @latency_us: time for which a request occupies one of these places, 0 when
 *	not known
 * @age_us: mean age of the reports
 */
struct crossing_side {
	double utilization;
	double demand;
	double limit;
	double latency_us;
	double age_us;
};

#define SPILLS_KEPT 64 /* windows whose spill is kept, more than 2.5 s */

/**
 * struct pressure - utilization of each group, measured over windows
 * @next_window: time at which the present window ends
 * @utilization: smoothed ratio of load to limit in the reports
 * @spill: share of calls, 0..1, that goes to GROUP_OTHER
 * @sent: requests sent in this window
 * @refused: of these requests, those refused
 * @calls: calls in this window whose first request to the group this was
 * @updated_at: time at which the last window ended; 0 before the first one.
 *This and the fields below are used only with a price of crossings.
 * @target: value that the spill approaches
 * @past: spill at the end of past windows, at @past_at, up to @past_i
 * @room: utilization below which targets away take calls that spill over
 * @side: last measurement of each group
 * @called: decayed sum of @calls
 * @served: decayed sum of requests sent less those refused
 */
struct pressure {
	int64_t next_window;
	double utilization[GROUPS];
	double spill;
	uint32_t sent[GROUPS];
	uint32_t refused[GROUPS];
	uint32_t calls[GROUPS];
	int64_t updated_at;
	double target;
	double past[SPILLS_KEPT];
	int64_t past_at[SPILLS_KEPT];
	uint32_t past_i;
	double room;
	struct crossing_side side[GROUPS];
	double called[GROUPS];
	double served[GROUPS];
};

/**
 * struct pick - one table
 * @top: number of entries of @candidate that were ever used
 * @turn: counts the candidates looked at by round robin
 * @utilization: smoothed ratio of load to limit over all reports
 * @report_us: smoothed latency over all reports on replies
 * @inverse_sum: sum of the inverses of the candidates' latencies; the harmonic
 *	mean computed from it is changed little by a few slow candidates
 * @inverse_n: number of the latencies in @inverse_sum
 * @limit: smoothed limit over all reports
 * @virtual_now: virtual time of the last choice, for each set of classes that
 *is chosen among; a set that is chosen seldom must not take the time of the
 *	others along
 * @bias: smoothed ratio of actual to predicted latency, over all replies
 * @crossed: calls sent to other data centres, by enum pick_crossing
 * @probe_credit: probes allowed by the choices so far and not sent yet
 * @next_probe: earliest time of the next probe
 */
struct pick {
	struct pick_config config;
	struct rng rng;
	uint32_t top;
	uint32_t turn;
	struct candidate *candidate;
	struct list list[GROUPS];
	struct pool pool;
	struct pressure pressure;
	double utilization;
	double report_us;
	double inverse_sum;
	uint32_t inverse_n;
	double limit;
	double virtual_now[1u << PICK_CLASSES];
	double bias;
	uint64_t crossed[PICK_CROSSINGS];
	double probe_credit;
	int64_t next_probe;
};

/**
 * struct query - one choice
 * @strict: nonzero to leave out candidates that are avoided, draining or
 *	leaving, and to apply ramps in pick_usable()
 * @room: if not 0, to leave out candidates for which pick_has_room() is not
 *true
 * @leaving_from: unless @strict, not to choose those that were leaving before
 *	this
 * @exclude: handles not to choose
 * @classes: to choose among candidates of any of these, PICK_ANY for all
 */
struct query {
	int64_t now;
	enum group group;
	int strict;
	double room;
	int64_t leaving_from;
	uint32_t nexclude;
	const uint32_t *exclude;
	uint32_t classes;
};

/** pick_policy_fn - choose a candidate of the query's group, which is not
 * empty. Return: its index, or INDEX_NONE. */
typedef uint32_t pick_policy_fn(struct pick *, const struct query *);

pick_policy_fn pick_random;
pick_policy_fn pick_round_robin;
pick_policy_fn pick_least_of_two;
pick_policy_fn pick_latency_of_two;
pick_policy_fn pick_probe_pool;
pick_policy_fn pick_expected;
pick_policy_fn pick_weighted;

/** pick_find() - index of a handle's candidate, or INDEX_NONE */
uint32_t pick_find(const struct pick *, uint32_t handle);
uint32_t pick_handle(const struct pick *, uint32_t index);
/** pick_in_classes() - whether a candidate is of any of the classes */
int pick_in_classes(const struct candidate *, uint32_t classes);
/** pick_allowed() - whether a candidate may be chosen; of its share, only
 * whether it is 0 counts */
int pick_allowed(const struct pick *, const struct query *, uint32_t index);
/** pick_stays() - whether a candidate that may be chosen is not known to be
 * leaving or failing */
int pick_stays(const struct pick *, int64_t now, uint32_t index);
/** pick_usable() - whether a candidate may be chosen; in a ramp, it may with
 * the probability of its share */
int pick_usable(struct pick *, const struct query *, uint32_t index);
/** pick_sample() - random usable candidate other than @except, or INDEX_NONE */
uint32_t pick_sample(struct pick *, const struct query *, uint32_t except);
/** pick_estimate() - expected latency in microseconds of one more request */
double
pick_estimate(const struct pick *, const struct candidate *, int64_t now);
/** pick_note_report() - store a load report unless a newer one is known;
 * @unreported: number of own requests sent that the report does not include */
void pick_note_report(struct pick *, struct candidate *, int64_t now,
    const struct load_report *, uint32_t unreported);
/** pick_crossing_target() - share of calls that should leave the data centre:
 * as much as home has too much of, and no more than makes both sides equally
 * full, as far as waiting at home costs more than the crossing; 0 when one of
 * the sides is not known
 * @spill: share that left when the reports were made
 * @cost_us: price of a crossing, as time that a call would rather wait at home
 */
double pick_crossing_target(double spill, const struct crossing_side *home,
    const struct crossing_side *away, double cost_us);
/** pick_crossing_approach() - the spill @elapsed_us later, on the way to its
 * target */
double pick_crossing_approach(double spill, double target, int64_t elapsed_us);
/** pick_has_room() - whether a candidate is known to be warm and to have a load
 * below this utilization */
int pick_has_room(const struct candidate *, double utilization);
/** pick_update_priced() - measure both groups and set the spill by the price of
 * a crossing */
void pick_update_priced(struct pick *, int64_t now);
/** pick_update_pressure() - measure the pressure and set the spill, once per
 * window */
void pick_update_pressure(struct pick *, int64_t now);
/** pool_add() - add an answered probe to the pool */
void pool_add(struct pick *, uint32_t handle, int64_t now,
    const struct load_report *);

#endif
