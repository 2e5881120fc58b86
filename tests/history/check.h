#ifndef KQ_HISTORY_CHECK_H
#define KQ_HISTORY_CHECK_H

#include <glib.h>
#include <stdint.h>

#include "error.h"

/**
 * DOC: Checks histories of one run against what must always hold.
 *
 * All events are read and ordered by time; then each rule reads them once.
 */

#define EVENT_FIELDS_MAX 16
#define SECOND INT64_C(1000000) /* us */

struct event_field {
	const char *name;
	const char *value;
};

/** struct event - one line; strings belong to the event
 * @index: place in the order of time
 * @line: the line as read */
struct event {
	int64_t at; /* us */
	uint32_t index;
	const char *who;
	const char *kind;
	int nfield;
	struct event_field field[EVENT_FIELDS_MAX];
	char *line;
	char *words;
};

struct event *event_parse(const char *line, struct kq_error *);
void event_free(struct event *);
/** event_get() - value of a field, or an empty string */
const char *event_get(const struct event *, const char *name);
int64_t event_number(const struct event *, const char *name);
int event_is(const struct event *, const char *kind);
/** event_read_file() - append the events of a file */
int event_read_file(GPtrArray *, const char *path, struct kq_error *);
void event_sort(GPtrArray *);

enum rule {
	RULE_MEASURE,
	RULE_COLD,
	RULE_DATACENTRE,
	RULE_WHOLE,
	RULE_NOT_RUN,
	RULE_ONCE,
	RULE_LEAVING,
	RULE_STOP,
	RULE_CONFIG_BACK,
	RULE_CONFIG_FORCE
};
#define RULES 10

const char *rule_name(enum rule);

/** struct options - of one check
 * @budget: measuring requests a second by service
 * @cold_limit: requests in flight that a cold target bears, by service
 * @grace: us after which no new work may come
 * @timeout: us, deadline of the calls; 0 is not known
 * @planned: every stop in the run was planned
 * @straight: load tool that went straight to a target, or an empty string
 * @windows: breaches printed for each rule */
struct options {
	GHashTable *budget;
	GHashTable *cold_limit;
	int64_t grace;
	int64_t timeout;
	int planned;
	const char *straight;
	int windows;
};

/** struct check - one run of the checker
 * @checked: events or keys that a rule looked at
 * @breaches: of each rule */
struct check {
	const struct options *options;
	GPtrArray *events;
	uint32_t checked[RULES];
	uint32_t breaches[RULES];
};

/**
 * breach() - count a breach and print its window: the events from @from to @to
 * that concern the same thing
 * @field: name of the field that says what is concerned, or "who"
 * @value: its value
 */
void breach(struct check *, enum rule, const struct event *from,
    const struct event *to, const char *field, const char *value);

const struct event *check_event(const struct check *, uint32_t index);
/** check_straight() - event of the load tool that goes straight */
int check_straight(const struct check *, const struct event *);

void rule_measure(struct check *);
void rule_cold(struct check *);
void rule_quiet(struct check *);
void rule_keys(struct check *);
void rule_calls(struct check *);
void rule_config(struct check *);
/** figures() - print counts and latencies; the number of whole answers */
uint32_t figures(const struct check *);

#endif
