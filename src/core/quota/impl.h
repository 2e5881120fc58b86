#ifndef KQ_QUOTA_IMPL_H
#define KQ_QUOTA_IMPL_H

#include <glib.h>

#include "quota.h"
#include "quota_codec.h"
#include "rng.h"

/* The bound is (5 rate + burst) * 1.1 + 20 in 5 s. RATE_PART * 5 rate and
 * depth() add up to less by 0.25 rate + 2, which is left for daemons that know
 * different numbers of members for a moment. */
#define RATE_PART 1.03
#define DEPTH_RATE_PART 0.1
#define DEPTH_BURST_PART 1.1
#define DEPTH_TOKENS 18

/* Period of polls: the more members, the longer, as the grantor sends and
 * receives a notice for each. */
#define POLL_PERIOD_US 400000
#define POLL_MEMBER_US 600
#define SILENT_PERIODS 1.5 /* without a poll, a suspected grantor is silent */
#define POLL_AFTER_ASK_US 10000000 /* polls go on after the last ask */
#define TERM_PERIODS 2.2 /* a loan outlasts one lost poll */
#define TERM_MAX_US 5000000
#define GRANT_US 4000000 /* a grant is valid for this long after its ask */
#define GRANT_RENEW_US 1000000 /* it is renewed so long before its end */
#define GRANT_MARGIN_US                                       \
	100000 /* the grantor counts it as out so much longer \
		*/
#define ASK_TIMEOUT_US 40000 /* exchanges take up to 20 ms */
#define ASK_PERIOD_US 100000 /* of asks while none can be granted */
#define ASK_MEMBER_US 200 /* longer for each member, as all may ask */
#define SPARE_PERIOD_US 1000000 /* the same, for a token that is only ready */
#define DEMAND_TAU_US 500000 /* over which the demand is averaged */
#define AHEAD_S 0.25 /* tokens asked ahead, as time of demand */
/* A token is held ready after two requests in this time. */
#define RECENT_US 2000000
#define SETTLE_US 1000000 /* from the start to the use of the own share */
#define SETTLE_LEAST_US                                       \
	100000 /* the same, if the number of daemons is known \
		*/
#define LEAST_US 5000000 /* from the start on, members are still being met */
#define GAP_US 1000000 /* after which a daemon was suspended */
/* Daemons that may be cut off keep their share so long, in a majority. */
#define LOST_KEEP_US 20000000
#define LOST_KEEP_MINORITY_US 600000000
/* Before a majority takes the share of a minority, the minority gives it up. */
#define MINORITY_USES_US 15000000
/* A share keeps this part of its rate when it is lent, and as much of its
 * depth, at least KEPT_TOKENS, provided that it has KEPT_FROM tokens. */
#define KEPT_PART 0.1
#define KEPT_TOKENS 1.5
#define KEPT_FROM 3.0
#define ROWS_MAX 65536 /* daemons at organisations, for a grantor */
#define WAITING_MAX 4096 /* requests of one organisation that wait */

enum member_seen { MEMBER_GONE, MEMBER_LOST, MEMBER_ALIVE, MEMBER_LEFT };

/** struct member - a daemon that is alive, or is not known to have left
 * @lost_at: when it was found dead, 0 while it is alive */
struct member {
	uint64_t incarnation;
	int64_t lost_at;
	int suspected; /* to have failed */
	int passed_over; /* suspected and silent, so that it is no grantor */
	int forgotten; /* lost for so long that it has no share any more */
	enum member_seen seen; /* in the last list */
};

/**
 * struct link - exchange with a grantor
 * @number: of the last ask
 * @open_until: end of the wait for its answer, 0 without one
 * @asked_at: time of that ask
 * @polled_at: time of the last poll
 * @lent_until: end of the term of the last loan
 */
struct link {
	uint64_t grantor;
	uint64_t number;
	int64_t open_until;
	int64_t asked_at;
	int64_t polled_at;
	int64_t lent_until;
};

/**
 * struct lender - a daemon that lends its share to this one
 * @from: from then on its shares are lent to no former grantor
 * @until: end of the term
 * @share: part of each limit that it owns
 * @digest: of the grantors that it knows
 * @counted: nonzero if the share is in the sum of its set
 */
struct lender {
	int64_t from;
	int64_t until;
	double share;
	uint64_t digest;
	int counted;
};

#define GRANTOR_SETS 8 /* different sets of grantors known at once */

/** struct grantors - daemons that may be grantors, as some daemon knows them */
struct grantors {
	int n;
	uint64_t id[QUOTA_GRANTORS];
	uint64_t digest;
};

/**
 * struct lender_set - lenders that know the same grantors
 * @used_at: time of the last loan
 * @lent: sum of their shares
 */
struct lender_set {
	struct grantors grantors;
	int64_t used_at;
	double lent;
};

/** struct row - a daemon that an organisation's tokens were granted to
 * @out: tokens granted and neither used nor returned, as far as is known; less
 *	than 0 if the daemon owes some
 * @until: after that the tokens are not valid any more
 * @used: total of the daemon at its last ask */
struct row {
	double out;
	int64_t until;
	uint32_t used;
};

/** struct waiter - a request that waits */
struct waiter {
	void *request;
	int64_t since;
};

/**
 * struct org - an organisation with a limit
 * @own: tokens of this daemon's share, valid at @own_at
 * @held: tokens granted, less than 0 if extra attempts are owed
 * @held_until: end of their validity
 * @used: tokens used since the start
 * @demand: requests, decayed with DEMAND_TAU_US, at @demand_at
 * @request_at: time of the last request; @request_before of the one before
 * @ask_after: no ask before, as the last one got too little; requests are
 *	refused at once until then
 * @ahead_after: no ask for tokens that no request waits for before this
 * @arriving: 1 while quota_admit() asks for a request that is not in @waiting
 * @asked_want: what the last ask wanted for requests that wait
 * @asked_ahead: what it wanted beside that
 * @refused_untold: requests refused since the last ask
 * @retry_us: time after which refused requests may come again
 * @stock: tokens that it can grant, at @stock_at
 * @out: sum of @out of all rows, without what daemons owe
 * @denied: tokens that were asked for and not granted, decayed
 */
struct org {
	uint64_t id;
	char name[QUOTA_NAME_MAX];
	double rate;
	double burst;
	int set;
	int active;
	uint64_t grantor;
	int64_t blocked_until; /* end of the loan to the former grantor */

	double own;
	int64_t own_at;
	double held;
	int64_t held_until;
	uint32_t used;
	double demand;
	int64_t demand_at;
	int64_t request_at;
	int64_t request_before;
	int64_t ask_after;
	int64_t ahead_after;
	int64_t retry_us;
	uint32_t arriving;
	uint32_t asked_want;
	uint32_t asked_ahead;
	uint32_t refused_untold;
	GQueue waiting; /* of struct waiter */

	double stock;
	int64_t stock_at;
	double out;
	GHashTable *rows; /* incarnation to struct row, NULL if none */
	double denied;
	int64_t denied_at;

	int limited;
	int unanswered; /* the last refusal was for want of an answer */
	int64_t limited_since;
	int64_t refused_at;
	uint64_t admitted;
	uint64_t refused;
	uint64_t extra;
	uint64_t returned;
	uint64_t waited;
};

struct quota {
	const struct quota_events *events;
	void *ctx;
	struct rng rng;
	uint64_t self;
	int64_t first_members; /* when members were first set, 0 before */
	int64_t last_tick;
	GHashTable *orgs; /* id to struct org */
	GPtrArray *active; /* struct org with requests or tokens held */
	GPtrArray *granted; /* struct org that this daemon is the grantor of */

	GArray *members; /* struct member, sorted by incarnation */
	int alive;
	int counted; /* members that have a share */
	int least; /* number of daemons while this one starts, or 0 */
	int left; /* this daemon leaves */
	int suspects; /* members suspected */
	int64_t minority_since; /* 0 while this daemon is in no minority */
	struct grantors grantors;
	GHashTable *links; /* incarnation to struct link */

	GHashTable *lenders; /* incarnation to struct lender */
	int64_t asked_at; /* last ask for an organisation granted here */
	int64_t poll_at; /* next poll, 0 while none is needed */
	int64_t poll_began;
	int64_t term_us; /* of the loans that were asked for last */
	struct lender_set set[GRANTOR_SETS];
	uint64_t nrow;
	int64_t rows_checked;
	struct quota_totals totals;
};

/* members.c */
/** quota_members() - number of members among whom limits are divided */
int quota_members(const struct quota *);
/** quota_settled_at() - time from which on this daemon uses its share */
int64_t quota_settled_at(const struct quota *);
/** quota_share() - this daemon's part of each limit at @now, 0 if it may not
 * use one */
double quota_share(const struct quota *, int64_t now);
/** quota_grantor_of() - grantor of an organisation, 0 without members */
uint64_t quota_grantor_of(const struct grantors *, uint64_t id);
uint64_t quota_grantors_digest(const struct grantors *);
struct link *quota_link(struct quota *, uint64_t grantor);
/** quota_poll_period() - time between polls */
int64_t quota_poll_period(const struct quota *);
/** quota_pass_over() - take grantors that are suspected and silent out of the
 * choice, and others in again */
void quota_pass_over(struct quota *, int64_t now);
/** quota_forget_lost() - give up shares of daemons that were lost long ago */
void quota_forget_lost(struct quota *, int64_t now);

/* account.c */
struct org *quota_find(const struct quota *, const char *name);
double quota_depth(const struct org *);
/** quota_kept_rate() - part of a share's rate that is not lent */
double quota_kept_rate(const struct org *, double share);
/** quota_kept_depth() - tokens of a share that are not lent */
double quota_kept_depth(const struct org *, double share);
/** quota_accrue() - bring the own tokens up to date */
void quota_accrue(struct quota *, struct org *, int64_t now);
void quota_accrue_all(struct quota *, int64_t now);
/** quota_settle() - decide on requests that wait, after tokens came */
void quota_settle(struct quota *, struct org *, int64_t now);
/** quota_refuse_waiting() - refuse those that wait, since before @before */
void
quota_refuse_waiting(struct quota *, struct org *, int64_t before, int64_t now);
/** quota_check_gap() - drop what is held after a gap between ticks */
void quota_check_gap(struct quota *, int64_t now);
double quota_demand(const struct org *, int64_t now);
void quota_figures(struct quota *, struct org *, struct quota_figures *,
    int64_t now);

/* ask.c */
/** quota_ask() - ask a grantor for all organisations that need tokens */
void quota_ask(struct quota *, uint64_t grantor, int64_t now);
int quota_needs(struct quota *, struct org *, int64_t now);
/** quota_ask_period() - time until the next ask after one that got too little
 */
int64_t quota_ask_period(const struct quota *);
void quota_take_grant(struct quota *, uint64_t from,
    const struct quota_message *, int64_t now);

/* grant.c */
/** quota_refill() - bring an organisation's stock up to date */
void quota_refill(struct quota *, struct org *, int64_t now);
void quota_refill_all(struct quota *, int64_t now);
void quota_answer_ask(struct quota *, uint64_t from,
    const struct quota_message *, int64_t now);
void quota_expire_rows(struct quota *, struct org *, int64_t now);
void quota_drop_rows(struct quota *, struct org *);

/* lend.c */
void quota_poll(struct quota *, int64_t now);
void quota_answer_poll(struct quota *, uint64_t from,
    const struct quota_message *, int64_t now);
void quota_take_loan(struct quota *, uint64_t from,
    const struct quota_message *, int64_t now);
/** quota_sum_loans() - forget loans whose term is over, and sum the others */
void quota_sum_loans(struct quota *, int64_t now);

/* table.c */
int quota_send(struct quota *, uint64_t to, const struct quota_message *);

#endif
