#ifndef KQ_ROLLOUT_IMPL_H
#define KQ_ROLLOUT_IMPL_H

#include <glib.h>

#include "rollout.h"

#define ROLLOUT_BIN_US 100000 /* width of a bin of answers */
/* Bins before and after a judged one in which old targets' answers of the same
 * time may be reported: ROLLOUT_REPORT_US. */
#define ROLLOUT_BINS_NEAR 3
/* Bins kept: the judged one, those near it, and the one that is filled. */
#define ROLLOUT_BINS (2 * ROLLOUT_BINS_NEAR + 2)
#define ROLLOUT_POOL_BINS 21 /* bins kept of all routes together */
#define ROLLOUT_EVIDENCE_MAX 256 /* routes; all others count as one */
#define ROLLOUT_RECENT_MAX                                 \
	16 /* new targets of which recent answers are kept \
	    */

/* Score in nats from which on a version is bad. */
#define ROLLOUT_THRESHOLD 12.0

/** enum rollout_side - version that answered */
enum rollout_side { ROLLOUT_OLD, ROLLOUT_NEW, ROLLOUT_SIDES };

/** struct rollout_counts - answers, as in struct rollout_route */
struct rollout_counts {
	uint32_t failed;
	uint32_t time[ROLLOUT_TIMES];
};

/** struct rollout_recent - answers of a new target, halved every 4 s
 * @at: time of the last halving */
struct rollout_recent {
	uint64_t target;
	double answers;
	double bad;
	int64_t at;
};

/** struct rollout_tally - answers and how many of them are bad */
struct rollout_tally {
	double answers;
	double bad;
};

/**
 * struct rollout_score - evidence against the new version
 * @score: CUSUM
 * @rate: old targets' share of bad answers since the order
 * @p0: the same near the last judged bin
 * @run: answers of either version since the score last left 0
 * @recent: of each new target
 */
struct rollout_score {
	double score;
	double rate;
	double p0;
	struct rollout_tally run[ROLLOUT_SIDES];
	int nrecent;
	struct rollout_recent recent[ROLLOUT_RECENT_MAX];
};

/**
 * struct rollout_evidence - answers on a route
 * @total: since the order
 * @bin: by time, at the number of the bin modulo ROLLOUT_BINS
 */
struct rollout_evidence {
	uint32_t route;
	struct rollout_counts total[ROLLOUT_SIDES];
	struct rollout_counts bin[ROLLOUT_BINS][ROLLOUT_SIDES];
	struct rollout_score score;
};

/** struct rollout_row - a reporter
 * @last: its last report
 * @heard_at: time of that
 * @started_at: time at which @last.started last rose
 * @before: answers up to the last change of the share
 * @gone: forgotten; kept, so that late reports are not counted again */
struct rollout_row {
	struct rollout_report last;
	int64_t heard_at;
	int64_t started_at;
	struct rollout_tally before;
	int gone;
};

/**
 * struct rollout - see rollout.h
 * @rows: reporter to struct rollout_row
 * @routes: route to struct rollout_evidence
 * @all: score of all routes together, which finds a fault in few requests on
 *	many routes
 * @pool: answers of the old targets on all routes, by bin modulo
 *	ROLLOUT_POOL_BINS, up to the last that was judged from
 * @bin: number of the bin that is filled, counted from @created
 * @share: share of the status at the last step
 * @share_at: time from which on it was that
 * @share_answers: answers of the new targets at that time
 */
struct rollout {
	struct rollout_order order;
	struct rollout_limits limits;
	int64_t created;
	int64_t elapsed_us;
	GHashTable *rows;
	GHashTable *routes;
	struct rollout_score all;
	struct rollout_tally pool[ROLLOUT_POOL_BINS];
	int64_t bin;
	uint64_t started[ROLLOUT_SIDES];
	double share;
	int64_t share_at;
	uint64_t share_answers;
};

/** rollout_mix() - mix the bits of a number */
uint64_t rollout_mix(uint64_t);

/** rollout_is_live() - whether a row counts as a target */
int rollout_is_live(const struct rollout_row *, int64_t now);

/** rollout_add() - add the answers that a report has more than the last one
 * @was: answers in the last report, NULL if there are none */
void rollout_add(struct rollout *, const struct rollout_report *,
    const struct rollout_route *, const struct rollout_route *was, int64_t now);
uint32_t rollout_answers(const struct rollout_counts *);
/** rollout_bad() - number of answers that failed or took @slow_from or a later
 * bucket */
uint32_t rollout_bad(const struct rollout_counts *, int slow_from);
/** rollout_slow_from() - first bucket of slow answers on a route;
 * ROLLOUT_TIMES if old targets gave too few answers */
int rollout_slow_from(const struct rollout_evidence *);
/** rollout_old_rate() - old targets' share of bad answers since the order */
double rollout_old_rate(const struct rollout_evidence *);

/** rollout_halve() - bring recent answers up to date */
void rollout_halve(struct rollout_recent *, int64_t now);

/** rollout_advance() - judge all bins for which it is time */
void rollout_advance(struct rollout *, int64_t now);
/** rollout_compare() - log-likelihood ratio of two rates of bad answers against
 * one; 0 if the new targets' is not the higher one. Holds for few answers as
 * well. */
double rollout_compare(const struct rollout_tally *newer,
    const struct rollout_tally *older);
/** rollout_counted() - what counts of a score */
double rollout_counted(const struct rollout *, const struct rollout_score *,
    int64_t now);
/** rollout_worst() - highest score that counts
 * @worst: filled in with its route, NULL if that is all routes together
 * Return: the score, of which @counted counts */
const struct rollout_score *rollout_worst(const struct rollout *, int64_t now,
    const struct rollout_evidence **worst, double *counted);
/** rollout_new_answers() - answers of the new targets since the order */
uint64_t rollout_new_answers(const struct rollout *);
/** rollout_is_unlike() - whether the new target with the most bad answers has a
 * higher rate of them than the others */
int rollout_is_unlike(const struct rollout_tally *worst,
    const struct rollout_tally *others);
/** rollout_begin_share() - the share changes. Answers before are not compared
 * with later ones, as a bad time would count for one version more. */
void rollout_begin_share(struct rollout *);
/** rollout_is_about_as_good() - whether all answers of the new targets at the
 * share in force are about as good as the old ones', without the worst target
 * if others answered and it is unlike them
 * @late: no time is left, so that a doubt would be final */
int rollout_is_about_as_good(const struct rollout *, int late);
/** rollout_is_enough() - whether answers of the new targets suffice for a good
 * verdict
 * @late: not all routes need many */
int rollout_is_enough(const struct rollout *, int late);

#endif
