#ifndef KQ_TOOL_H
#define KQ_TOOL_H

#include <glib.h>

#include "error.h"
#include "platform.h"
#include "settings.h"

/**
 * DOC: The command-line tool.
 *
 * Each command is one function that takes its own arguments and returns an
 * exit code.
 */

enum exit_code {
	EXIT_DONE = 0,
	EXIT_FAULT = 1, /* could not be done; the message says what to do */
	EXIT_USAGE = 2,
	EXIT_BAD_FILE = 3, /* a file is at fault; line and column are said */
	EXIT_CONFLICT = 5, /* somebody else changed it meanwhile */
	EXIT_UNDECIDED = 6, /* not known; the message names what settles it */
	EXIT_NOT_IN_FORCE = 7 /* accepted, but not everywhere within the wait */
};

#define DAEMONS_MAX 16

/** struct tool - options shared by the commands */
struct tool {
	const char *program;
	struct settings_address platform;
	int ndaemon;
	struct settings_address daemon[DAEMONS_MAX]; /* operator ports */
	int json;
	int wait_ms; /* 0: do not wait */
};

typedef int command_fn(struct tool *, int argc, char **argv);

command_fn command_check;
command_fn command_publish;
command_fn command_dc;
command_fn command_status;
command_fn command_targets;
command_fn command_members;
command_fn command_metrics;
command_fn command_settings;
command_fn command_explain;
command_fn command_drain;
command_fn command_undrain;
command_fn command_trace;

/** tool_address() - read IP:PORT; 0 or -1 */
int tool_address(const char *text, struct settings_address *);
/** tool_error() - message for a person on standard error */
void tool_error(const struct kq_error *);
/** tool_get() - GET from a daemon's operator port; text to free with g_free()
 * or NULL with the error */
char *
tool_get(const struct settings_address *, const char *path, struct kq_error *);
/** tool_post() - POST to a daemon's operator port; 0 or -1 */
int tool_post(const struct settings_address *, const char *path,
    const char *body, struct kq_error *);
/** tool_no_daemon() - say that a daemon must be named; returns EXIT_USAGE */
int tool_no_daemon(void);
int tool_no_platform(void);

enum publish_outcome {
	PUBLISH_ACCEPTED,
	PUBLISH_CONFLICT,
	PUBLISH_UNDECIDED,
	PUBLISH_REFUSED
};

/**
 * struct publication - one conditional write and what came of it
 * @id: publication id within the value, by which a write whose answer was
 *      lost is found again
 * @settles: nonzero if the id is that of an earlier publication
 * @expect: version that the object must have, or PUBLISH_ANY
 * @version: version of the write, or of what is in its way
 */
struct publication {
	int kind;
	const char *name;
	const char *value;
	char id[64];
	int settles;
	uint64_t expect;
	uint64_t version;
	enum publish_outcome outcome;
	struct kq_error error;
};
#define PUBLISH_ANY UINT64_MAX

void tool_publish(struct tool *, struct publication *);
/** tool_publish_report() - print the outcome, hand the accepted version to
 * daemons and wait until it is in force; returns an exit code */
int
tool_publish_report(struct tool *, struct publication *, const char *settle);

/** struct answer - a platform request made to wait for its result */
struct answer {
	GMainLoop *loop;
	struct platform_result result;
};
/** answer_take() - callback that keeps a copy of the result */
void answer_take(void *ctx, struct platform_result *);

#endif
