#ifndef KQ_PICK_H
#define KQ_PICK_H

#include <stdint.h>

#include "load.h"

/**
 * DOC: Choice of a target for a call, on the outbound side.
 *
 * There is one table per service. It keeps for each candidate the requests of
 * this daemon in flight at it, the latencies of its replies, the load report
 * that each reply carries, and the answers to probes. Candidates in the
 * daemon's own data centre are preferred; while the measured pressure there is
 * high, a share of calls spills over to candidates in other data centres.
 *
 * Power of two choices: Mitzenmacher, IEEE TPDS 2001. Probe pool with
 * hot/cold rule: Wydrowski et al., "Load is not what you should balance:
 * introducing Prequal", NSDI 2024.
 */

struct pick;

#define PICK_NONE 0u /* no candidate */
#define PICK_CLASSES 4 /* bits of a candidate's classes */
#define PICK_ANY 0u /* choose among all candidates, whatever their classes */

enum pick_policy {
	PICK_RANDOM,
	PICK_ROUND_ROBIN,
	PICK_LEAST_OF_TWO, /* of two, fewer own requests in flight */
	PICK_LATENCY_OF_TWO, /* of two, lower latency times own in flight */
	PICK_PROBE_POOL, /* Prequal's hot/cold rule over pooled probes */
	PICK_EXPECTED, /* of two, lower estimate by reports and own requests */
	PICK_WEIGHTED, /* in proportion to limits, fewer to slow targets */
	PICK_POLICIES
};

enum pick_outcome {
	PICK_GOOD,
	PICK_FAILED, /* the target answered that it failed */
	PICK_LOST, /* connection lost or no answer in time */
	PICK_CANCELLED /* by this daemon; the latency is a lower bound */
};

/**
 * struct pick_config - settings of a table, fixed for its life
 * @capacity: maximum number of candidates
 * @probe_per_s: maximum rate of probes sent by this table; 0 disables probing
 * @probe_per_call: probes allowed per choice on average; may be below 1
 * @seed: of the table's random numbers
 * @crossing_us: price of sending a call to another data centre, as time that it
 *	would rather wait in its own; 0: calls leave above and return below
 *	fixed utilizations, without a price
 */
struct pick_config {
	enum pick_policy policy;
	uint32_t capacity;
	double probe_per_s;
	double probe_per_call;
	uint64_t seed;
	double crossing_us;
};

#define PICK_CONFIG_DEFAULT                       \
	{                                         \
		PICK_WEIGHTED, 1024, 2, 0.1, 1, 0 \
	}

/** pick_new() - create an empty table; all memory is allocated here.
 * Return: the table, or NULL if out of memory. */
struct pick *pick_new(const struct pick_config *);
void pick_free(struct pick *);

/**
 * pick_add() - add a candidate
 * @local: nonzero if it is in this daemon's own data centre
 * @share: 0..1, fraction of a full share of calls that it gets (ramp)
 * Return: handle, or PICK_NONE if the table is full.
 */
uint32_t pick_add(struct pick *, int64_t now, int local, double share);
/** pick_remove() - remove a candidate; the handle of a removed candidate is
 * ignored here and in all functions below */
void pick_remove(struct pick *, uint32_t handle);
void pick_set_share(struct pick *, uint32_t handle, double share);
uint32_t pick_count(const struct pick *);
/** pick_set_classes() - set the classes of a candidate, PICK_CLASSES bits; 0
 * after pick_add() */
void pick_set_classes(struct pick *, uint32_t handle, uint32_t classes);
/** pick_count_of() - count the candidates of any of the classes */
uint32_t pick_count_of(const struct pick *, uint32_t classes);
/** pick_is_cold() - whether a report of the last second says that the target of
 * a candidate is cold; without one it is not known to be */
int pick_is_cold(const struct pick *, uint32_t handle, int64_t now);

/**
 * pick_choose() - choose a candidate for a request, without counting the
 * request as sent
 * @exclude: handles not to choose, such as those already tried
 * Return: handle, or PICK_NONE.
 */
uint32_t pick_choose(struct pick *, int64_t now, const uint32_t *exclude,
    uint32_t nexclude);

/** pick_choose_of() - the same among the candidates of any of the classes */
uint32_t pick_choose_of(struct pick *, uint32_t classes, int64_t now,
    const uint32_t *exclude, uint32_t nexclude);

/** pick_any_stays() - whether a candidate may be chosen that is not known to be
 * leaving or failing, slow or not
 * @exclude: handles that don't count */
int pick_any_stays(const struct pick *, int64_t now, const uint32_t *exclude,
    uint32_t nexclude);
/** pick_any_stays_of() - the same for candidates of any of the classes */
int pick_any_stays_of(const struct pick *, uint32_t classes, int64_t now,
    const uint32_t *exclude, uint32_t nexclude);

/** pick_sent() - note that a request was sent to a candidate; one call of
 * pick_done() or pick_refused() must follow */
void pick_sent(struct pick *, uint32_t handle, int64_t now);
/** pick_done() - note that a request ended @latency_us after it was sent; the
 * load report is NULL when the reply carried none */
void pick_done(struct pick *, uint32_t handle, int64_t now, int64_t latency_us,
    enum pick_outcome, const struct load_report *);
/** pick_refused() - note that a request was refused without being run; @reason
 * is an enum admit_reason, the load report may be NULL */
void pick_refused(struct pick *, uint32_t handle, int64_t now, int reason,
    const struct load_report *);

/** pick_note_unresponsive() - note that a candidate does not answer at present,
 * so that it is avoided for a short time; call again while that lasts */
void pick_note_unresponsive(struct pick *, uint32_t handle, int64_t now);
/** pick_next_probe() - choose a candidate to probe now and count the probe as
 * sent; call after each choice. Return: handle, or PICK_NONE for no probe. */
uint32_t pick_next_probe(struct pick *, int64_t now);
/** pick_note_probe_reply() - note the load report that answered a probe */
void pick_note_probe_reply(struct pick *, uint32_t handle, int64_t now,
    const struct load_report *);

/** enum pick_crossing - why a call was sent to another data centre */
enum pick_crossing {
	PICK_CROSSED_SPILL, /* the own one is fuller */
	PICK_CROSSED_NO_TARGET, /* the own one has none */
	PICK_CROSSED_TRIED, /* those of the own one were tried or are avoided */
	PICK_CROSSINGS
};

/** pick_set_crossing() - change the price of a crossing */
void pick_set_crossing(struct pick *, double crossing_us);
/** pick_crossed() - calls sent to other data centres since pick_new() */
uint64_t pick_crossed(const struct pick *, enum pick_crossing);
/** pick_pressure() - smoothed utilization of the own data centre, 1 is full */
double pick_pressure(const struct pick *);
/** pick_pressure_away() - the same of the other data centres together */
double pick_pressure_away(const struct pick *);
/** pick_spill_target() - share of calls that the spill approaches; the spill
 * itself without a price of crossings */
double pick_spill_target(const struct pick *);
/** pick_spill() - share of calls, 0..1, that goes to other data centres */
double pick_spill(const struct pick *);
/** pick_in_flight() - this daemon's requests in flight at a candidate */
uint32_t pick_in_flight(const struct pick *, uint32_t handle);
const char *pick_policy_name(enum pick_policy);

#endif
