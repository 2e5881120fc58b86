#ifndef KQ_ADMIT_IMPL_H
#define KQ_ADMIT_IMPL_H

#include "admit.h"

#define LATE_KEY (INT64_C(1) << 60) /* above any time */
#define DROP_KEY INT64_MIN /* below any time */
#define DROP_ROOM 4 /* places for entries that are about to be refused */
#define ADMIT_RANKS 4 /* told apart; further ones count as the last */
#define JUMP 4 /* times the usual latency that count as slow */

/** struct entry - a waiting request, or a free place (next in @pos)
 * @key: the latest start in time; LATE_KEY and the deadline once that can't be
 *	kept; DROP_KEY when it is to be refused
 * @came: when it was to join
 * @hopeless: begun later, it can't be answered at all
 * @need_us: time that it takes at the target, 0 when not known
 * @rank: 0 is the most urgent
 * @missed: share of its kind that was refused, lately */
struct entry {
	int64_t key;
	int64_t came;
	int64_t deadline;
	int64_t hopeless;
	int64_t need_us;
	int rank;
	double missed;
	int elsewhere;
	uint32_t tag;
	uint32_t pos; /* place in the heap plus one; 0 when free */
	uint16_t gen;
};

/**
 * struct queue - waiting requests, a binary heap by entry_before()
 * @slot: entries, addressed by handles
 * @heap: indexes of entries, the first to leave first
 * @spare: stack of free indexes
 */
struct queue {
	int n;
	int capacity;
	struct entry *slot;
	uint16_t *heap;
	uint16_t *spare;
};

enum trial_kind { TRIAL_DOWN, TRIAL_UP, TRIAL_KINDS };

struct sample {
	int n;
	double us;
};

/**
 * struct trial - search for the limit with the best throughput
 *
 * While requests wait, one window of completions in many runs with another
 * limit. If that gave more throughput over several windows, it is kept. Both
 * limits are tried in turns, so noise strikes both alike.
 *
 * @limit: limit of this window, 0 if it is the usual one
 * @spacing: windows at the usual limit before one at another; doubled when a
 *	trial is lost
 * @windows: windows at the usual limit since the last one at another
 * @begun: when this window began, INT64_MAX if there is none
 * @n, @us: completions in this window and the sum of their latencies
 * @base, @tried: sums over windows at the usual limit and at the other
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
 * @limit: requests in flight allowed while nothing speaks against it
 * @epoch: raised at each fall; completions of earlier ones don't count
 * @suspect: the last completion was slow or failed
 * @idle_since: when the last request in flight ended
 * @progress: when a request last completed, or the first one was sent
 * @usual_us: slow average of latency while warm; 0 when not known
 * @recent_us: quick average of latency
 * @running, @demand_us: by rank, requests in flight and the time at the target
 *	that requests asked for lately, as of @demand_at
 * @demand_from: when the first of them came, 0 before
 * @stretch: quick average of latency over the time that requests were said to
 *	need; 0 when not known
 * @good: completions in good time since it was last taken for cold
 * @slow: one bit for each recent completion, set if it was slow
 * @failed: the same for failures
 * @window_n, @window_us: completions since @usual_us was last set, and the sum
 *	of their latencies
 * @ceiling: requests in flight at which throughput is best, as far as known
 * @cold_until: the target says that it is cold until then
 * @cold_tokens: requests that the cold rate lets through, as of @cold_at
 * @pressed: a request had to wait or was refused since the last completion
 */
struct admit {
	struct admit_config config;
	struct queue queue;
	struct admit_counters counters;
	int in_flight;
	double limit;
	int cold;
	int suspect;
	int draining;
	int out;
	uint32_t epoch;
	int64_t idle_since;
	int64_t progress;
	double usual_us;
	double recent_us;
	int running[ADMIT_RANKS];
	double demand_us[ADMIT_RANKS];
	int64_t demand_at;
	int64_t demand_from;
	double stretch;
	int good;
	uint32_t slow;
	uint32_t failed;
	int window_n;
	double window_us;
	double ceiling;
	int pressed;
	int64_t hold_until;
	int64_t cold_until;
	double cold_tokens;
	int64_t cold_at;
	struct trial trial;
};

int queue_init(struct queue *, int capacity);
void queue_clear(struct queue *);
uint32_t queue_add(struct queue *, const struct entry *);
/** queue_settle() - put behind what can't be begun in time any more */
void queue_settle(struct queue *, int64_t now);
int queue_remove(struct queue *, uint32_t handle);
/** queue_take() - remove the first entry */
uint32_t queue_take(struct queue *, uint32_t *tag);
/** queue_peek() - the first entry; NULL when there is none */
const struct entry *queue_peek(const struct queue *);
/** queue_take_hopeless() - remove an entry that can't be answered any more if
 * it is begun at @now; one of unknown need takes @unknown_us. 0 when there is
 * none */
uint32_t queue_take_hopeless(struct queue *, int64_t now, int64_t unknown_us,
    uint32_t *tag);
/** queue_first() - earliest time at which an entry becomes hopeless */
int64_t queue_first(const struct queue *, int64_t unknown_us);
/** entry_before() - whether @x leaves the queue before @y */
int entry_before(const struct entry *x, const struct entry *y);
/** queue_rekey() - give the entry at @slot another place in the order */
void queue_rekey(struct queue *, uint16_t slot, int64_t key);

/** enum triage - what becomes of a request that has to wait */
enum triage {
	TRIAGE_IN_TIME, /* waits, and is begun in time as far as known */
	TRIAGE_LATE, /* waits behind those that can be in time */
	TRIAGE_HOPELESS /* would be begun too late for any answer */
};

/** admit_triage() - plan what waits, and a request that is to join it, or NULL;
 * entries that lose their place are put behind, or marked for refusal */
enum triage
admit_triage(struct admit *, int64_t now, const struct entry *, int limit);
/** admit_make_room() - mark one that can't be in time, or is worth less than
 * the one that joins, for refusal. Return: nonzero if there was one */
int admit_make_room(struct admit *, const struct entry *joins);

/** admit_next() - earliest time at which cold rate and hold let a request
 * through; at most @now while there is no bound */
int64_t admit_next(const struct admit *, int64_t now);
/** admit_cold_next() - the same for the cold rate alone */
int64_t admit_cold_next(const struct admit *, int64_t now);
/** admit_cold_take() - count a request against the cold rate */
void admit_cold_take(struct admit *, int64_t now);
/** admit_most() - least of slots and connections, at least 1 */
int admit_most(const struct admit *);
/** admit_cold_limit() - cold limit within 1 and admit_most() */
int admit_cold_limit(const struct admit *);
/** admit_slow_us() - a completion slower than this speaks for a cold target */
double admit_slow_us(const struct admit *);
/** admit_fall() - take the target for cold from now on */
void admit_fall(struct admit *, enum admit_fall);
/** admit_settle() - fall if the time that passed says so */
void admit_settle(struct admit *, int64_t now);
/** admit_learn() - set the limit after a whole answer in good time */
void admit_learn(struct admit *, double latency_us);
/** trial_learn() - count a whole answer towards the search for the ceiling */
void trial_learn(struct admit *, int64_t now, const struct admit_run *);
/** trial_init() - start from slots and connections */
void trial_init(struct admit *);
/** trial_stop() - drop the window that is under way */
void trial_stop(struct admit *);
/** admit_late() - whether a request can't be done if sent at @at */
int admit_late(const struct admit *, int64_t at, int64_t deadline);
/** admit_begin() - count a request as given to the target */
void admit_begin(struct admit *, int64_t now, int64_t need_us, int rank,
    struct admit_run *);

/** admit_demand() - a request of this rank and need came */
void admit_demand(struct admit *, int64_t now, int rank, int64_t need_us);
/** admit_running() - one more or less of this rank is in flight */
void admit_running(struct admit *, int rank, int change);
/** admit_open() - requests in flight up to which one of this rank is begun; the
 * rest is kept for what is more urgent, as far as its demand of late is not in
 * flight (trunk reservation: Key, "Optimal control and trunk reservation in
 * loss networks", Probability in the Engineering and Informational Sciences
 * 1990) */
int admit_open(const struct admit *, int64_t now, int rank, int limit);

#endif
