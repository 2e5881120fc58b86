#ifndef KQ_ADMIT_IMPL_H
#define KQ_ADMIT_IMPL_H

#include "admit.h"

#define US_PER_S 1e6
#define LATE_KEY (INT64_C(1) << 60) /* above any time */
#define REFUSE_KEY INT64_MIN /* below any time */
/* Places beyond queue_max: an evicted entry stays in the queue, marked for
 * refusal, until admit_pop() returns it. */
#define REFUSE_ROOM 4
#define RANK_STEP                                                   \
	1001 /* priorities of routes of one organisation's priority \
	      */
#define PRIORITIES_APART 4 /* kept apart; greater ones count as the last */
#define RANK_CLASSES (PRIORITIES_APART * PRIORITIES_APART)
#define SLOW_FACTOR 4 /* an answer is slow above this times usual latency */

/** struct entry - a waiting request, or a free place
 * @key: order within its rank: the latest start with which the request meets
 *	its objective; LATE_KEY plus the deadline once that start has passed;
 *	REFUSE_KEY when the request is to be refused
 * @arrived: when the request arrived
 * @expires: a request started later can't be answered before its deadline
 * @need_us: expected service time at the target, 0 when not known
 * @rank: urgency, 0 first
 * @refused_share: share of recent requests of its kind that were refused for
 *	lack of room
 * @other_target: nonzero if the request can still go to another target
 * @organisation: as in struct admit_want
 * @tag: as given to admit_request()
 * @pos: index in the heap plus one, 0 when the place is free
 * @gen: raised when an entry leaves, so that its handle is invalid then */
struct entry {
	int64_t key;
	int64_t arrived;
	int64_t deadline;
	int64_t expires;
	int64_t need_us;
	int rank;
	double refused_share;
	int other_target;
	uint64_t organisation;
	uint32_t tag;
	uint32_t pos;
	uint16_t gen;
};

/**
 * struct queue - waiting requests, a binary heap by entry_before()
 * @slot: entries, addressed by handles
 * @heap: indexes of entries; the root leaves first
 * @spare: stack of free indexes
 */
struct queue {
	int n;
	int capacity;
	struct entry *slot;
	uint16_t *heap;
	uint16_t *spare;
};

/**
 * struct rate - bound on the requests started in any span of time (token
 * bucket; ITU-T I.371); zero it before first use
 * @per_s: requests a second, 0 for no bound
 * @burst: requests that may start at once, at least 1
 * @tokens: requests that could start at @at
 */
struct rate {
	double per_s;
	double burst;
	double tokens;
	int64_t at;
};

/** rate_start() - begin without tokens: how many requests were started just
 * before is not known */
void rate_start(struct rate *, int64_t now);
/** rate_change() - change rate and burst; the tokens so far stay */
void rate_change(struct rate *, int64_t now, double per_s, double burst);
/** rate_next_start() - earliest time at which a request may start; @now if one
 * may start now */
int64_t rate_next_start(const struct rate *, int64_t now);
/** rate_take() - count a request that starts */
void rate_take(struct rate *, int64_t now);

#define SHARE_PLACES 512 /* more than the entries of a plan, PLAN_MAX */
#define SHARE_BUCKETS 256

/**
 * struct share_place - work of one organisation
 * @had_us: decaying sum of the time at the target of the requests started, as
 *	of @at
 * @waiting_us: work of its requests that wait in time, as summed for @decision
 * @next: next place of the same bucket, counted from 1; 0 for none
 */
struct share_place {
	uint64_t organisation;
	double had_us;
	int64_t at;
	double waiting_us;
	uint32_t decision;
	uint16_t next;
};

/**
 * struct shares - work of organisations, by which those of one rank share the
 * target (max-min fairness; Bertsekas and Gallager, "Data Networks", 6.5.2);
 * zero it before first use
 * @decision: number of the present decision
 * @n: places in use; when there is none left, that with the least work is
 *	taken
 * @bucket: first place of each bucket, counted from 1; 0 for none
 */
struct shares {
	uint32_t decision;
	int n;
	uint16_t bucket[SHARE_BUCKETS];
	struct share_place place[SHARE_PLACES];
};

/** share_charge() - add work to what an organisation had; nothing for
 * organisation 0 */
void
share_charge(struct shares *, int64_t now, uint64_t organisation, double us);
/** share_begin() - begin a decision: no work waits */
void share_begin(struct shares *);
/** share_add_waiting() - add work that waits, for this decision. Return: the
 * organisation's place, which stays valid for as many of them as a plan holds;
 * NULL for organisation 0 */
struct share_place *share_add_waiting(struct shares *, int64_t now,
    uint64_t organisation, int64_t start_by, double us);
/** share_waiting() - what work that waits counts: less the later it has to
 * start, as work done counts less the earlier it was, so that requests with
 * long objectives, which wait longer, don't weigh more */
double share_waiting(int64_t now, int64_t start_by, double us);
/** share_work() - work that an organisation had and that waits */
double share_work(const struct share_place *);

enum trial_kind { TRIAL_DOWN, TRIAL_UP, TRIAL_KINDS };

/** struct sample - @n completions and the sum of their latencies, @us */
struct sample {
	int n;
	double us;
};

/**
 * struct trial - search for the limit with the best throughput
 *
 * While requests arrive with the limit already reached, or wait, a window of
 * completions runs with another limit now and then, which is adopted if it gave
 * more throughput over several windows. Windows with the two limits are
 * interleaved, so that noise affects both alike. The limit in use otherwise is
 * the ceiling of struct admit.
 *
 * @kind: whether the limit on trial is above or below the ceiling
 * @limit: limit on trial in this window, 0 if the window runs at the ceiling
 * @spacing: for each kind, windows at the ceiling before one on trial; doubled
 *	when a trial gave less throughput
 * @windows: windows at the ceiling since the last one on trial
 * @begun: when this window began, INT64_MAX if there is none
 * @n, @us: completions in this window and the sum of their latencies
 * @base, @tried: sums over windows at the ceiling and at the limit on trial
 */
struct trial {
	enum trial_kind kind;
	int limit;
	int spacing[TRIAL_KINDS];
	int windows;
	int64_t begun;
	int n;
	double us;
	struct sample base;
	struct sample tried;
};

/**
 * struct admit - one target
 * @limit: requests in flight allowed unless the target is suspect, idle or
 *	stalled, or another limit is on trial
 * @cold: nonzero from when the target is declared cold here, whatever it
 *	reports, until @limit reaches WARM_SHARE of @ceiling
 * @suspect: nonzero if the last answer was slow or a failure
 * @unknown: nonzero until the target has answered anything
 * @answer_by: while @unknown, until when its first answer is expected
 * @draining: nonzero once the target takes no new requests
 * @out: nonzero while the data centre is out
 * @epoch: raised whenever the target is declared cold; the outcome of a
 *	request that was started in an earlier epoch is not counted
 * @idle_since: when the last request in flight ended
 * @progress_at: when a request last ended by other than cancellation, or was
 *	sent to a target that had none in flight
 * @usual_us: slowly moving average of the latency of completions that were not
 *	slow; 0 when not known
 * @recent_us: quickly moving average of latency; 0 when not known
 * @running, @demand_us: by class of rank, requests in flight and the decaying
 *sum of the expected service times of the requests that arrived, as of
 *	@demand_at
 * @demand_from: when the first request arrived, 0 before
 * @slowdown: quickly moving average of the ratio of latency to expected service
 *	time; 0 when not known
 * @good: completions that were not slow since the target was last declared
 *	cold, counted up to the cold_calls of the configuration
 * @slow_bits: one bit for each recent whole answer, set if it was slow
 * @failed_bits: one bit for each recent answer, set if it was a failure
 * @window_n, @window_us: completions since @usual_us was last updated, and the
 *	sum of their latencies
 * @ceiling: requests in flight at which throughput is best, as far as known
 * @saturated: nonzero if, since the last whole answer, a request arrived when
 *	as many as the limit were in flight
 * @hold_until: before it, only requests short enough to run on a slow machine
 *	start
 * @cold_until: the target reported that it is cold until then
 * @cold_rate: bound on starts while the target reports that it is cold
 * @stated_rate: bound on starts by the limit that the target states
 * @shares: work of organisations
 */
struct admit {
	struct admit_config config;
	struct queue queue;
	struct admit_counters counters;
	int in_flight;
	double limit;
	int cold;
	int suspect;
	int unknown;
	int64_t answer_by;
	int draining;
	int out;
	uint32_t epoch;
	int64_t idle_since;
	int64_t progress_at;
	double usual_us;
	double recent_us;
	int running[RANK_CLASSES];
	double demand_us[RANK_CLASSES];
	int64_t demand_at;
	int64_t demand_from;
	double slowdown;
	int good;
	uint32_t slow_bits;
	uint32_t failed_bits;
	int window_n;
	double window_us;
	double ceiling;
	int saturated;
	int64_t hold_until;
	int64_t cold_until;
	struct rate cold_rate;
	struct rate stated_rate;
	struct trial trial;
	struct shares shares;
};

int queue_init(struct queue *, int capacity);
void queue_clear(struct queue *);
uint32_t queue_add(struct queue *, const struct entry *);
/** queue_mark_late() - move entries whose latest start has passed behind those
 * that can still be in time */
void queue_mark_late(struct queue *, int64_t now);
int queue_remove(struct queue *, uint32_t handle);
/** queue_take() - remove the first entry */
uint32_t queue_take(struct queue *, uint32_t *tag);
/** queue_peek() - get the first entry; NULL when there is none */
const struct entry *queue_peek(const struct queue *);
/** queue_take_expired() - remove an entry that can't be answered before its
 * deadline if it is started at @now; one whose service time is not known is
 * expected to take @unknown_us. Return: its handle, 0 when there is none */
uint32_t queue_take_expired(struct queue *, int64_t now, int64_t unknown_us,
    uint32_t *tag);
/** queue_next_expiry() - earliest time at which an entry expires, or INT64_MAX
 */
int64_t queue_next_expiry(const struct queue *, int64_t unknown_us);
/** entry_before() - whether @x leaves the queue before @y */
int entry_before(const struct entry *x, const struct entry *y);
/** queue_rekey() - change the key of the entry at @slot, and so its order */
void queue_rekey(struct queue *, uint16_t slot, int64_t key);

/** admit_plan_limit() - requests in flight allowed in the time for which the
 * starts of waiting requests are planned. A target that has not answered yet
 * takes more than admit_limit() from its first answer on */
int admit_plan_limit(const struct admit *, int64_t now);

/** enum triage - what the plan of starts, which admit_triage() makes, says of a
 * request that can't run at once */
enum triage {
	TRIAGE_IN_TIME, /* expected to meet its objective if it waits */
	TRIAGE_LATE, /* would wait behind those that can be in time */
	TRIAGE_EXPIRES /* would expire in the queue */
};

/** admit_triage() - plan the starts of the waiting requests and of an incoming
 * one, which may be NULL; waiting requests that can't be in time are moved
 * behind the others or marked for refusal. Return: what the plan says of the
 * incoming request */
enum triage admit_triage(struct admit *, int64_t now, const struct entry *);
/** admit_make_room() - evict a waiting request for the incoming one, by marking
 * it for refusal: a late one, or else one in time that is evicted rather than
 * the incoming one. Return: nonzero if there was one */
int admit_make_room(struct admit *, int64_t now, const struct entry *incoming);

/** admit_next_start() - earliest time at which rates and hold let a request
 * start; at most @now while none of them delays it */
int64_t admit_next_start(const struct admit *, int64_t now);
/** admit_rate_next_start() - the same for the rates alone */
int64_t admit_rate_next_start(const struct admit *, int64_t now);
/** admit_cold_next_start() - the same for the cold rate alone */
int64_t admit_cold_next_start(const struct admit *, int64_t now);
/** admit_configure_cold_rate() - take the cold rate from the configuration */
void admit_configure_cold_rate(struct admit *);
/** admit_take_token() - count a request against the rates */
void admit_take_token(struct admit *, int64_t now);
/** admit_per_s() - requests a second that the rates allow now, 0 for any number
 */
double admit_per_s(const struct admit *, int64_t now);
/** admit_max_limit() - lesser of slots and connections, at least 1 */
int admit_max_limit(const struct admit *);
/** admit_cold_limit() - cold limit, at least 1, at most admit_max_limit() */
int admit_cold_limit(const struct admit *);
/** admit_slow_us() - latency above which a completion counts as slow */
double admit_slow_us(const struct admit *);
/** admit_turn_cold() - declare the target cold */
void admit_turn_cold(struct admit *, enum admit_cold_cause);
/** admit_check_cold() - declare the target cold if it was idle too long or
 * stalled */
void admit_check_cold(struct admit *, int64_t now);
/** admit_note_success() - update usual latency and limit after a whole answer
 * that was not slow */
void admit_note_success(struct admit *, double latency_us);
/** trial_note_success() - count a whole answer in the search for the ceiling */
void trial_note_success(struct admit *, int64_t now, const struct admit_run *);
/** trial_init() - set the ceiling to the least of slots, connections and knee,
 * and restart the search for a better one */
void trial_init(struct admit *);
/** trial_stop_window() - discard the window that is under way */
void trial_stop_window(struct admit *);
/** admit_too_late() - whether a request sent at @at, of whose service time
 * nothing is known, can't be answered by @deadline */
int admit_too_late(const struct admit *, int64_t at, int64_t deadline);
/** admit_start_request() - count a request as given to the target */
void admit_start_request(struct admit *, int64_t now, const struct entry *,
    struct admit_run *);

/** admit_slot_us() - time for which a request occupies one of the places at the
 * target */
double admit_slot_us(const struct admit *, const struct entry *);

/** admit_add_demand() - count a request that arrived in the demand of its rank
 */
void admit_add_demand(struct admit *, int64_t now, int rank, int64_t need_us);
/** admit_add_running() - add @change to the requests in flight of a rank */
void admit_add_running(struct admit *, int rank, int change);
/** admit_rank_limit() - a request of @rank may start while fewer than this are
 * in flight; the rest of @limit is reserved for more urgent ranks, as far as
 * their recent demand is not in flight already (trunk reservation: Key,
 * "Optimal control and trunk reservation in loss networks", Probability in the
 * Engineering and Informational Sciences 1990) */
int admit_rank_limit(const struct admit *, int64_t now, int rank, int limit);

#endif
