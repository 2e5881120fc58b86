#ifndef KQ_HISTORY_CHECK_H
#define KQ_HISTORY_CHECK_H

#include <glib.h>
#include <stdint.h>

#include "error.h"

/**
 * DOC: Checker of histories.
 *
 * The targets, the load tools and the platform of a test run write their events
 * to history files; a daemon's configuration versions come from its log. The
 * checker reads the files of one run, orders all events by time and checks them
 * against each rule in turn. A rule is a property that must hold in every run.
 */

#define EVENT_FIELDS_MAX 16
#define SECOND INT64_C(1000000) /* us */

struct event_field {
	const char *name;
	const char *value;
};

/**
 * struct event - one line of a history: TIME WHO KIND [NAME=VALUE]...
 * @at: time, us
 * @index: position among all events, by time once event_sort() has run
 * @who: program that wrote the line; a target's is its IP:PORT
 * @kind: what happened, e.g. "call", "answer", "run"
 * @line: the line as read
 * @words: copy of @line cut into words, which the other strings point into
 */
struct event {
	int64_t at;
	uint32_t index;
	const char *who;
	const char *kind;
	int nfield;
	struct event_field field[EVENT_FIELDS_MAX];
	char *line;
	char *words;
};

/** event_parse() - parse a line; returns NULL with the error if malformed */
struct event *event_parse(const char *line, struct kq_error *);
void event_free(struct event *);
/** event_get() - value of a field, an empty string without it; "who" gives the
 * program that wrote the line */
const char *event_get(const struct event *, const char *name);
/** event_number() - value of a field as an integer, 0 without it */
int64_t event_number(const struct event *, const char *name);
int event_is(const struct event *, const char *kind);
/** event_read_file() - append the events of a file to an array; returns nonzero
 * with the error if it cannot be read or has a malformed line */
int event_read_file(GPtrArray *, const char *path, struct kq_error *);
/** event_sort() - order by time, events of one time as read; sets @index */
void event_sort(GPtrArray *);

enum rule {
	RULE_MEASURE,
	RULE_COLD_LOAD,
	RULE_DATACENTRE,
	RULE_WHOLE_ANSWER,
	RULE_NOT_RUN,
	RULE_ONCE,
	RULE_LEAVING,
	RULE_PLANNED_STOP,
	RULE_CONFIG_MONOTONIC,
	RULE_CONFIG_IN_FORCE
};
#define RULES 10

/** rule_name() - name of a rule in the output */
const char *rule_name(enum rule);

/**
 * struct options - command line of the checker
 * @budget: most measuring requests a second to a target, by service
 * @cold_limit: most requests in flight on a cold target, by service
 * @grace: time after which a change must be in effect, us: a target that
 *         leaves or whose data centre is out gets no new work, a daemon uses
 *         the accepted version of the configuration
 * @timeout: timeout of the calls, us; 0 if it is not known
 * @planned: every stop in the run was planned: no daemon or target was cut off
 *           or killed
 * @direct: @who of the load tool that called a target directly, without a
 *          daemon; an empty string if there was none
 * @reports_max: most breaches printed for each rule
 */
struct options {
	GHashTable *budget;
	GHashTable *cold_limit;
	int64_t grace;
	int64_t timeout;
	int planned;
	const char *direct;
	int reports_max;
};

/**
 * struct check - one run of the checker
 * @checked: events or keys that each rule checked
 * @breaches: breaches of each rule
 */
struct check {
	const struct options *options;
	GPtrArray *events;
	uint32_t checked[RULES];
	uint32_t breaches[RULES];
};

/**
 * report_breach() - count a breach of a rule and print the events that show it
 * @from: first event to print
 * @to: last event to print
 * @field: name of the field, or "who", that events between the two must have
 *         with value @value to be printed
 *
 * At most options.reports_max breaches of each rule are printed.
 */
void report_breach(struct check *, enum rule, const struct event *from,
    const struct event *to, const char *field, const char *value);

/** check_event() - event at a position in the order of time */
const struct event *check_event(const struct check *, uint32_t index);
/** check_is_direct() - whether an event is of the load tool options.direct */
int check_is_direct(const struct check *, const struct event *);

/* Each checks one or more rules over all events. */
void rule_measure(struct check *);
void rule_cold(struct check *);
void rule_drained(struct check *);
void rule_keys(struct check *);
void rule_calls(struct check *);
void rule_config(struct check *);
/** print_figures() - print counts of calls by outcome and latencies; returns
 * the number of calls with a whole answer */
uint32_t print_figures(const struct check *);

#endif
