#ifndef KQ_PICK_IMPL_H
#define KQ_PICK_IMPL_H

#include "pick.h"
#include "rng.h"

#define INDEX_NONE UINT32_MAX
#define LIMIT_UNKNOWN 8 /* assumed without a report */
#define POOL_MAX 16 /* probes kept */

enum group { GROUP_LOCAL, GROUP_OTHER, GROUPS };

/**
 * struct candidate - what is known of one target; a free place when not @used
 * @pos: place in the list of its group
 * @share: 0..1, ramp
 * @in_flight: own requests at it
 * @started: sum of the times at which these were sent
 * @latency_us: quick average of own replies' latency; 0 when not known
 * @latency_at: time of the last own reply
 * @predicted_us: quick average of what was expected when sending
 * @load: requests at the target in the last report
 * @limit: requests in flight it allowed then; 0 without a report
 * @service_us: smoothed latency in the last report
 * @reported: when that report was made
 * @unseen: own requests sent since that are not in it
 * @avoid_until: not chosen before, if there is another
 * @fails: failures since the last good reply
 * @turn: virtual time of its last turn
 */
struct candidate {
	uint16_t gen;
	uint8_t used;
	uint8_t group;
	uint8_t draining;
	uint8_t cold;
	uint32_t pos;
	double share;
	uint32_t in_flight;
	double started;
	double latency_us;
	int64_t latency_at;
	double predicted_us;
	double load;
	uint32_t limit;
	double service_us;
	int64_t reported;
	uint32_t unseen;
	int64_t avoid_until;
	uint32_t fails;
	double turn;
};

struct list {
	uint32_t n;
	uint32_t *index;
};

/** struct pooled - one answered probe, usable @uses more times */
struct pooled {
	uint32_t handle;
	double load;
	double latency_us;
	int64_t at;
	int uses;
};

struct pool {
	int n;
	struct pooled probe[POOL_MAX];
	double hot; /* load above which a candidate counts as hot */
};

/**
 * struct pressure - use of each group, measured over windows
 * @use: smoothed load over limit of the reports
 * @sent, @refused: in this window, in the own data centre
 */
struct pressure {
	int64_t next;
	double use[GROUPS];
	double spill;
	uint32_t sent;
	uint32_t refused;
};

/**
 * struct pick - one table
 * @turn: for round robin
 * @use: smoothed load over limit of all reports
 * @service_us: smoothed latency over all reports on replies
 * @rate_sum, @rate_n: sum and number of the inverses of candidates' latencies;
 *	their harmonic mean is little moved by a few slow ones
 * @limit: smoothed limit over all reports
 * @turn_now: virtual time of the last choice
 * @bias: smoothed latency over what was expected, over all replies
 * @credit: probes earned by choices
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
	double use;
	double service_us;
	double rate_sum;
	uint32_t rate_n;
	double limit;
	double turn_now;
	double bias;
	double credit;
	int64_t next_probe;
};

/** struct query - one choice: the group and what is not to be chosen */
struct query {
	int64_t now;
	enum group group;
	int strict; /* nonzero to heed avoid_until and draining */
	uint32_t nexclude;
	const uint32_t *exclude;
};

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
/** pick_allowed() - whether a candidate may be chosen, ramp aside */
int pick_allowed(const struct pick *, const struct query *, uint32_t index);
/** pick_usable() - whether a candidate may be chosen; draws for its ramp */
int pick_usable(struct pick *, const struct query *, uint32_t index);
/** pick_sample() - random usable candidate other than @not, or INDEX_NONE */
uint32_t pick_sample(struct pick *, const struct query *, uint32_t not );
/** pick_estimate() - expected latency in microseconds of one more request */
double
pick_estimate(const struct pick *, const struct candidate *, int64_t now);
/** pick_note_report() - take in a load report; @unseen own requests sent
 * are known not to be in it */
void pick_note_report(struct pick *, struct candidate *, int64_t now,
    const struct load_report *, uint32_t unseen);
/** pick_measure() - measure pressure and set the spill, once a window */
void pick_measure(struct pick *, int64_t now);
void pool_add(struct pick *, uint32_t handle, int64_t now,
    const struct load_report *);

#endif
