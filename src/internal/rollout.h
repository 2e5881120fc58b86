#ifndef KQ_ROLLOUT_H
#define KQ_ROLLOUT_H

#include <stdint.h>

#include "service.h"

/**
 * DOC: Roll-outs: whether a new version of a service may take over.
 *
 * An order names a service and the version that its requests are to move to.
 * Each daemon that sends requests limits the share of its attempts that goes to
 * targets of the new version (struct rollout_share), and all of them send it to
 * the same few new targets (rollout_chosen()). Each daemon beside a target of
 * the service reports its totals (struct rollout_report) to the decider, one
 * daemon of the fleet. The decider compares the answers of the new targets with
 * those of the old ones in the same time, route by route, and gets the next
 * state and share from rollout_step(). It keeps nothing that other daemons do
 * not have: a new decider continues from the status and the next round of
 * reports.
 *
 * See docs/design/rollouts.md.
 */

#define ROLLOUT_VERSION_MAX 64 /* bytes with the final NUL */
/* Routes of one report: 56 bytes and 64 for each route in XDR stay below the
 * 4096 bytes of a notice. */
#define ROLLOUT_ROUTES_MAX 62
#define ROLLOUT_TIMES 14 /* buckets of time, see rollout_time_bucket() */
#define ROLLOUT_ROUTE_OTHER 0 /* all routes for which a report has no room */
#define ROLLOUT_ROUTE_ALL UINT32_MAX /* in a verdict: all routes together */
#define ROLLOUT_REPORT_US 300000 /* between reports of changed totals */
/* Between reports of unchanged totals. A reporter also reports at once when the
 * decider changes. */
#define ROLLOUT_REPEAT_US 1000000
/* A reporter that is silent for this long (three repetitions) counts neither as
 * a target nor as one with requests in flight. Its evidence stays. */
#define ROLLOUT_SILENT_US 3000000
#define ROLLOUT_REPORTERS_MAX 2048 /* reporters in a table */
/* Share from which on the state is shifting, and the first one in it: half of
 * the new targets get their full load. */
#define ROLLOUT_SHIFT_SHARE 0.5
#define ROLLOUT_TARGETS_MIN                              \
	2 /* new targets that get requests, if there are \
	   */

/** enum rollout_state - state of an order, as in its status */
enum rollout_state {
	ROLLOUT_NONE, /* no status of this order yet */
	ROLLOUT_RUNNING, /* evidence is gathered at a small share */
	ROLLOUT_SHIFTING, /* good so far; the share rises to 1 */
	ROLLOUT_COMPLETED, /* final */
	ROLLOUT_ROLLED_BACK /* final */
};

/**
 * struct rollout_order - what operators ordered
 * @id: digest of service, version and serial of the specification; not 0
 * @duration_us: time from the order to its deadline
 */
struct rollout_order {
	char service[SERVICE_NAME_MAX];
	char version[ROLLOUT_VERSION_MAX];
	uint64_t id;
	int64_t duration_us;
};

/**
 * struct rollout_limits - settings
 * @share: most that a bad version may get of all attempts until the deadline
 *	(rollouts.share); half of it is used while evidence is gathered
 * @slack: attempts that it may get beyond (rollouts.slack); of a service with
 *	few requests, a larger share is used within that
 */
struct rollout_limits {
	double share;
	double slack;
};

/**
 * struct rollout_status - the part of the status that all daemons act on
 * @share: part of the attempts that goes to the new version, 0 to 1
 * @started_ms: time of the order, Unix time in milliseconds
 */
struct rollout_status {
	enum rollout_state state;
	double share;
	int64_t started_ms;
};

/**
 * struct rollout_share - attempts to a service, counted by one daemon since the
 * order or its own start
 * @total: attempts
 * @to_new: of these, attempts to the new version
 * @credit: attempts to the new version that are due, in millionths
 */
struct rollout_share {
	uint64_t total;
	uint64_t to_new;
	uint32_t credit;
};

/**
 * rollout_share_init() - start to count the attempts of an order
 * @daemon: incarnation of this daemon
 *
 * Each attempt earns credit at the share in force, and one whole credit sends
 * an attempt to the new version. If @slack is 0, these never exceed the largest
 * share of all attempts, whichever daemons start or end. Otherwise the credit
 * starts at a random part of one, so that many daemons with an attempt each
 * send the share on average, and exceed it by a few attempts by chance.
 */
void rollout_share_init(struct rollout_share *, const struct rollout_order *,
    const struct rollout_limits *, uint64_t daemon);
/** rollout_take() - count an attempt, a retry or a hedge as well. Return:
 * whether it goes to the new version
 * @share: that of the status; 0 if the order is rolled back */
int rollout_take(struct rollout_share *, double share);
/** rollout_give_back() - the last attempt that rollout_take() gave to the new
 * version went to an old target, as no new one could be had */
void rollout_give_back(struct rollout_share *);

/** rollout_wanted() - number of new targets to send @share to, so that each has
 * at most the load that it would have if all requests were moved
 * @nold: number of old targets */
int rollout_wanted(double share, int nold);
/**
 * rollout_chosen() - choose the same new targets as all other daemons
 * @target: digests of the names of the new targets that are warm, in any order
 * @k: number of targets wanted
 * @chosen: filled in with indices into @target, best first
 * Return: number of these, the lesser of @n and @k.
 */
int rollout_chosen(const uint64_t *target, int n, int k, uint64_t order,
    int *chosen);
/** rollout_decider() - which of @n members decides, by incarnation; -1 if there
 * is none
 * @service: digest of the service's name */
int rollout_decider(const uint64_t *member, int n, uint64_t service);
/** rollout_digest() - digest of a name: FNV-1a, mixed; never 0 */
uint64_t rollout_digest(const char *name);

/** rollout_time_bucket() - bucket of the time that an answer took at the
 * target: 0 below 1 ms, i below 2^i ms, the last one from 4096 ms on */
int rollout_time_bucket(int64_t us);

/**
 * struct rollout_route - answers of one target on one route
 * @route: digest of the route, or ROLLOUT_ROUTE_OTHER
 * @failed: answers with status 5xx, and requests without a whole answer
 * @time: the other answers by rollout_time_bucket()
 */
struct rollout_route {
	uint32_t route;
	uint32_t failed;
	uint32_t time[ROLLOUT_TIMES];
};

/** rollout_route_answers() - all answers, failed ones as well */
uint32_t rollout_route_answers(const struct rollout_route *);

/**
 * struct rollout_report - what the daemon beside a target counted since the
 * order, or since the start of the daemon or the target
 * @order: id of the order
 * @reporter: incarnation of the daemon
 * @target: digest of the name of the target, the same after a restart
 * @start: digest of the start id of the target; with another one the totals
 *	begin at 0 again
 * @sequence: number of the report, rising from 1 with each one that a reporter
 *	sends; a report with a lower one came late, with the same one twice
 * @is_new: nonzero if the version is that of the order
 * @warm: nonzero if the target is not cold, nor draining; totals leave out the
 *	time in which it is cold and what ran while the machine was slow (pace)
 * @started: requests that the target began to run, on all routes
 * @in_flight: requests that run at the target
 */
struct rollout_report {
	uint64_t order;
	uint64_t reporter;
	uint64_t target;
	uint64_t start;
	uint32_t sequence;
	int is_new;
	int warm;
	uint32_t started;
	uint32_t in_flight;
	int nroute;
	struct rollout_route route[ROLLOUT_ROUTES_MAX];
};

/** enum rollout_reason - why rollout_step() returns its state */
enum rollout_reason {
	ROLLOUT_WAITS, /* nothing changes */
	ROLLOUT_ORDERED, /* none to running */
	ROLLOUT_RATE, /* running: the share is fitted to the rate of requests */
	ROLLOUT_GOOD, /* to shifting: enough answers on each route */
	ROLLOUT_GOOD_FEW, /* to shifting: few answers, none of them bad */
	ROLLOUT_MORE, /* shifting: the share rises */
	ROLLOUT_OLD_IDLE, /* completed: no request runs at old targets */
	ROLLOUT_DEADLINE, /* completed: the deadline is near */
	ROLLOUT_BAD, /* rolled back: the new version is worse */
	ROLLOUT_NO_EVIDENCE, /* rolled back: too few answers by the end */
	ROLLOUT_NO_TARGETS /* rolled back: too few warm new targets by then */
};

/**
 * struct rollout_verdict - the next status, and its evidence for logs
 * @share: share to be written with the state
 * @route: route with the strongest evidence against the new version, or
 *	ROLLOUT_ROUTE_ALL
 * @answers: answers of the new targets on @route
 * @failed: of these, failed ones
 * @slow: of these, slow ones
 * @old_answers: answers of the old targets on @route
 * @old_bad: of these, failed and slow ones
 * @score: CUSUM of @route, in nats
 * @threshold: score from which on the version is bad
 * @bad_targets: new targets with bad answers on @route
 * @old_targets: old targets that report
 * @warm_targets: warm new targets that report
 */
struct rollout_verdict {
	enum rollout_reason reason;
	double share;
	uint32_t route;
	uint64_t answers, failed, slow;
	uint64_t old_answers, old_bad;
	double score, threshold;
	int bad_targets;
	int old_targets, warm_targets;
};

/** struct rollout_totals - answers since the order, for metrics; [1] is the new
 * version's */
struct rollout_totals {
	uint64_t answers[2];
	uint64_t bad[2];
	uint64_t started[2];
};

struct rollout;

/** rollout_new() - begin to decide about an order; any daemon may at any time
 * @elapsed_us: time since the order, from the status's @started_ms */
struct rollout *rollout_new(const struct rollout_order *,
    const struct rollout_limits *, int64_t now, int64_t elapsed_us);
void rollout_free(struct rollout *);
/** rollout_note_report() - take a report; one of another order, a late or a
 * repeated one has no effect. Return: 1 if it was new, else 0 */
int rollout_note_report(struct rollout *, const struct rollout_report *,
    int64_t now);
/** rollout_forget() - a reporter is no member any more; its evidence stays */
void rollout_forget(struct rollout *, uint64_t reporter);
/**
 * rollout_step() - decide on the next state
 * @current: last known status of the order; ROLLOUT_NONE if there is none
 * @v: filled in
 *
 * To be called after reports and at least every 0.1 s.
 * Return: state to be written, together with @v->share, if either differs from
 * @current. A final state is returned as it is.
 */
enum rollout_state
rollout_step(struct rollout *, const struct rollout_status *current,
    int64_t now, struct rollout_verdict *v);
void rollout_totals(const struct rollout *, struct rollout_totals *);
/** rollout_state_name() - name of a state in the operators' status: "running",
 * for ROLLOUT_SHIFTING as well, "completed" or "rolled_back"; "" for none */
const char *rollout_state_name(enum rollout_state);
/** rollout_state_of() - state for such a name and the share beside it, which
 * is below ROLLOUT_SHIFT_SHARE in ROLLOUT_RUNNING; ROLLOUT_NONE if unknown */
enum rollout_state
rollout_state_of(const char *name, double share);
const char *rollout_reason_name(enum rollout_reason);

#endif
