#ifndef RIG_JUDGE_IMPL_H
#define RIG_JUDGE_IMPL_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Inner parts of the judge of histories.
 *
 * judge_line.c reads history lines, judge_read.c makes requests of
 * them, judge_plan.c machines and versions; judge_time.c tells
 * what a machine was going through at a moment, judge_limit.c a request's time
 * limits, judge_lost.c holds the clauses of LOST, judge_config.c those on
 * versions and routes, judge_denied.c those on refusals, judge_share.c those on
 * splits and added routes, judge_other.c those of other
 * rules, judge_print.c prints findings. judge_route.c tells what a version
 * allows and which versions a machine may go by. docs/TESTING.md ties each name
 * to the clause of the users' rules that it rests on.
 *
 * All times are in us; a request's last byte is the time of its line "call",
 * that of requests sent at once their start.
 */

#define MS INT64_C(1000)
#define GRACE_US (6000 * MS)
#define APPLY_US (2000 * MS)
#define SLACK_US (200 * MS)
#define OUTER_US (5000 * MS)
#define DOWNGRADE_US (250 * MS)
#define DOWNGRADE_SLOW_TIMES 8
#define TOUCH_US (3000 * MS)
#define OVER_US (1000 * MS) /* after the grace, and after the time to apply */
#define EARLY_US (3000 * MS) /* of a stop: sent so early */
#define LAST_SIXTH_US (GRACE_US * 5 / 6)
#define HALF_SECOND_US (500 * MS)
#define KEPT_MAX 3
#define CONFIG_TIMES 3
#define ORDER_US (20 * MS) /* by which lines of two writers may be swapped */
#define NEVER INT64_MAX

enum outcome_seen {
	SEEN_NOTHING,
	SEEN_WHOLE,
	SEEN_CUT,
	SEEN_BAD,
	SEEN_BEHIND,
	SEEN_LATE,
	SEEN_UNSENT
};

enum run_end { RUN_OPEN, RUN_DONE, RUN_CUT, RUN_BROKE };

/** struct run - the work of a target on a request; @to is NEVER while @how is
 * RUN_OPEN */
struct run {
	struct judged_machine *at;
	int64_t conn; /* number that the target gave its connection */
	int64_t from;
	int64_t to;
	enum run_end how;
	const char *service; /* of the target then, or NULL */
};

/**
 * struct judged_request - what was seen of a request
 * @to: machine that took it
 * @older: the one before with the same id, as a call that is made again when
 * its parent runs again
 * @passed: time at which a target had it, 0 if none
 * @sent: last byte; 0 if it was not sent as a whole
 */
struct judged_request {
	struct judged_request *older;
	const char *id;
	const char *who; /* its caller */
	const char *conn;
	const char *route;
	const char *parent; /* of a call, else NULL */
	struct judged_machine *to;
	int behind;
	int once;
	int is_probe; /* sent to a daemon for what it has in force */
	int64_t began;
	int64_t sent;
	int64_t allowed; /* from @began */
	int64_t work;
	enum outcome_seen outcome;
	int status;
	int is_signed;
	int64_t over;
	int64_t passed;
	struct judged_request *first; /* with this id */
	int answers_whole; /* runs of the id that came to their end */
	const char
	    *excuse; /* of the other clauses, where it may count as kept */
	GArray *runs; /* struct run */
	GPtrArray *lines;
};

/** enum trouble - an unplanned disturbance of a machine */
enum trouble { TROUBLE_KILL, TROUBLE_STOP, TROUBLE_SLOW, TROUBLE_LINK };

/** struct span - a time of trouble; @to is NEVER until its end is seen, but
 * where @what, the knob of a target, is not NULL */
struct span {
	const char *what;
	enum trouble trouble;
	int64_t from;
	int64_t to;
};

/** struct judged_machine - a daemon, and the target beside it */
struct judged_machine {
	const char *address; /* of the daemon */
	GArray *start, *term, *hup, *end; /* int64_t */
	GArray *begun; /* of @start, not after an end by itself */
	GArray *spans; /* struct span */
	GArray *unsound; /* struct span, of its target */
	GArray *parted; /* struct span, of its path to the store */
	int killed, forced, left; /* since its start */
	int near, near_cut, far, far_cut; /* beside a configuration or not */
	int64_t fell; /* when its target last dropped all requests */
	GPtrArray *lines;
};

/** struct version - of the configuration; @acked is NEVER until then */
struct version {
	int number;
	int64_t sent;
	int64_t acked;
	GHashTable *timeouts; /* route: ms */
	GHashTable *routes; /* route: GArray of struct part */
};

/** struct part - a service that a route goes to, and its weight */
struct part {
	const char *service;
	int weight;
};

/** struct judged_counts - how many were judged by a clause; those that are told
 * apart would have been found if the machine had an older version */
struct judged_counts {
	int probes;
	int by_version, by_version_apart;
	int by_boot, by_boot_apart;
	int routed;
	int split_times, split;
	int added, added_served, first, first_served;
	int refused, refused_by_all; /* of requests that are allowed */
};

/** struct finding - @what rests on the clause named @rule */
struct finding {
	const char *rule;
	const char *unless; /* the reading that would excuse it, else NULL */
	const struct judged_request *request; /* or NULL: */
	const char *line;
};

/** struct judgement - a run and what is found in it */
struct judgement {
	GStringChunk *names;
	GPtrArray *texts; /* contents of the files */
	GPtrArray *requests, *machines;
	GHashTable *request_of, *machine_of;
	GHashTable *last_on; /* connection: its last request */
	GArray *versions;
	GArray *store; /* struct span, of the store */
	GArray *store_away; /* those with which it was down or slow, or lost
			       answers */
	struct judged_counts counts;
	GArray *findings;
	GHashTable *excused; /* name: how many */
	GPtrArray *kept; /* of machines in touch, beside no planned work */
	GPtrArray *candidates; /* beside a configuration */
};

/** judge_read() - read histories, merged by time; Return: 0, or -1 if a file
 * cannot be read */
int judge_read(struct judgement *, char **files, int n);

/** judge_broke_off() - the run's target ends its work by itself */
void judge_broke_off(struct run *, int64_t t);

/** judge_last() - the last time that is not later than @t, 0 if none */
int64_t judge_last(const GArray *times, int64_t t);
/** judge_disturbed() - nonzero if there was trouble between the times */
int judge_disturbed(const struct judged_machine *, int64_t from, int64_t to);
/** judge_link_harmed() - nonzero if the connections to it were cut or harmed in
 * the time for which that excuses, up to @t */
int judge_link_harmed(const struct judged_machine *, int64_t t);
/** judge_is_unsound() - nonzero if its target was in trouble between the times
 */
int judge_is_unsound(const struct judged_machine *, int64_t from, int64_t to);
/** judge_is_parted() - nonzero if its path to the store was disturbed */
int judge_is_parted(const struct judged_machine *, int64_t from, int64_t to);
/** judge_is_slowed() - nonzero if it was slowed between the times */
int judge_is_slowed(const struct judged_machine *, int64_t from, int64_t to);
/** judge_store_moved() - nonzero if the store was in trouble between the times
 */
int judge_store_moved(const struct judgement *, int64_t from, int64_t to);
/** judge_store_away() - the same for trouble that no longer bound covers */
int judge_store_away(const struct judgement *, int64_t from, int64_t to);
/** judge_in_touch() - nonzero if nothing happened to it for so long */
int judge_in_touch(const struct judged_machine *, int64_t t);
/** judge_up() - nonzero if its daemon runs and was told nothing else */
int judge_up(const struct judged_machine *, int64_t t);

/** enum limit - which limit of a request's time was reached */
enum limit { LIMIT_NONE, LIMIT_ROUTE, LIMIT_DEADLINE };

enum limit judge_limit(const struct judgement *, const struct judged_request *);
/** judge_used_most() - nonzero if seven tenths of its time were used */
int judge_used_most(const struct judgement *, const struct judged_request *);
/** judge_longest() - longest time limit of its route, 0 if none */
int64_t judge_longest(const struct judgement *, const struct judged_request *);
/** judge_by_config() - nonzero if it ended beside a configuration */
int judge_by_config(const struct judgement *, const struct judged_request *);

/** judge_has_routes() - nonzero if the history tells where routes go */
int judge_has_routes(const struct judgement *);
/** judge_allows() - nonzero if one of the versions @from to @to - 1 that were
 * sent by @t has the route go to @service, or has it if that is NULL;
 * Return: its number from 1, 0 if none */
guint judge_allows(const struct judgement *, guint from, guint to, int64_t t,
    const char *route, const char *service);
/** judge_all_have() - nonzero if each of these versions has the route, and
 * there is one */
int judge_all_have(const struct judgement *, guint from, guint to, int64_t t,
    const char *route);
/** judge_same_way() - nonzero if the versions have the route go the same way */
int
judge_same_way(const struct judgement *, guint a, guint b, const char *route);
/** judge_parts() - where a version has a route go, NULL if it lacks it */
const GArray *
judge_parts(const struct judgement *, guint version, const char *route);
/** judge_oldest() - oldest version that a request sent at @t may be handled by;
 * Return: -1 if the machine isn't bound */
int judge_oldest(const struct judgement *, const struct judged_machine *,
    int64_t t);
/** judge_calm() - nonzero if the machine is in touch and the store stable */
int
judge_calm(const struct judgement *, const struct judged_machine *, int64_t t);
/** judge_is_own_answer() - nonzero if the system answered by itself */
int judge_is_own_answer(const struct judged_request *);

/** judge_last_run() - NULL if it has not run */
const struct run *judge_last_run(const struct judged_request *);
/** judge_was_cut() - nonzero if its connection ended without its whole answer,
 * also behind an answer that closes if a target had it */
int judge_was_cut(const struct judged_request *);
void judge_lost(struct judgement *, struct judged_request *);
/** judge_lost_counts() - judge what depends on how often it happens */
void judge_lost_counts(struct judgement *);
void judge_other(struct judgement *, struct judged_request *);
void judge_other_counts(struct judgement *);
/** judge_config() - judge by versions and routes */
void judge_config(struct judgement *);
void judge_denied(struct judgement *);
void judge_share(struct judgement *);
void judge_added(struct judgement *);
/** judge_config_print() - print how much was judged so */
void judge_config_print(const struct judgement *);

void
judge_find(struct judgement *, const char *rule, const struct judged_request *);
void judge_find_unless(struct judgement *, const char *rule, const char *unless,
    const struct judged_request *);
void judge_find_line(struct judgement *, const char *rule, const char *line);
void judge_excuse(struct judgement *, const char *name);
/** judge_print() - Return: how many findings break a rule */
int judge_print(const struct judgement *);

#endif
