#ifndef KQ_TOOL_H
#define KQ_TOOL_H

#include <glib.h>

#include "error.h"
#include "platform.h"
#include "settings.h"

/**
 * DOC: The command-line tool.
 *
 * Each command is one function that reads its own arguments and returns an
 * exit code.
 */

enum exit_code {
	EXIT_DONE = 0,
	EXIT_FAILED = 1, /* failed; the message says why */
	EXIT_USAGE = 2,
	EXIT_BAD_FILE = 3, /* invalid file; the message has line and column */
	EXIT_CONFLICT = 5, /* somebody else changed the object */
	EXIT_UNDECIDED = 6, /* outcome unknown; the message says how to retry */
	EXIT_NOT_IN_FORCE = 7 /* accepted, but not everywhere in time */
};

#define DAEMONS_MAX 16

/** struct tool - options common to all commands */
struct tool {
	const char *program;
	struct settings_address platform;
	int ndaemon;
	struct settings_address daemon[DAEMONS_MAX]; /* operator ports */
	int json;
	int wait_ms; /* for a publication to be in force; 0: do not wait */
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

/** tool_parse_address() - read IP:PORT; 0 or -1 */
int tool_parse_address(const char *text, struct settings_address *);
/** tool_print_error() - print an error to standard error */
void tool_print_error(const struct kq_error *);
/** tool_get() - send a GET to a daemon's operator port; the body, to be freed
 * with g_free(), or NULL with the error */
char *
tool_get(const struct settings_address *, const char *path, struct kq_error *);
/** tool_post() - send a POST to a daemon's operator port; 0 or -1 with the
 * error */
int tool_post(const struct settings_address *, const char *path,
    const char *body, struct kq_error *);
/** tool_error_no_daemon() - print that a daemon must be named; returns
 * EXIT_USAGE */
int tool_error_no_daemon(void);
/** tool_error_no_platform() - print that the platform must be named; returns
 * EXIT_USAGE */
int tool_error_no_platform(void);

enum publish_outcome {
	PUBLISH_ACCEPTED,
	PUBLISH_CONFLICT,
	PUBLISH_UNDECIDED,
	PUBLISH_REFUSED
};

/**
 * struct publication - one conditional write and its outcome
 * @id: publication id within the value, by which a write whose answer was
 *      lost is recognised
 * @is_retry: nonzero if the id is that of an earlier publication
 * @expect: version that the object must have, or PUBLISH_ANY
 * @version: version of the write, or of the object that conflicts with it; if
 *           the outcome is undecided, version that the write is conditional on
 */
struct publication {
	int kind;
	const char *name;
	const char *value;
	char id[64];
	int is_retry;
	uint64_t expect;
	uint64_t version;
	enum publish_outcome outcome;
	struct kq_error error;
};
#define PUBLISH_ANY UINT64_MAX

/** tool_publish() - write to the platform, retrying until the outcome is known
 * or the retries are used up */
void tool_publish(struct tool *, struct publication *);
/** tool_publish_report() - print the outcome, send an accepted object to the
 * named daemons and wait until it is in force, if asked for. @retry_command:
 * command and arguments, printed when the outcome is undecided. Returns an exit
 * code */
int tool_publish_report(struct tool *, struct publication *,
    const char *retry_command);

/** struct sync_request - a platform request that the tool waits for */
struct sync_request {
	GMainLoop *loop;
	struct platform_result result;
};
/** sync_request_done() - callback that stores the result and ends the loop */
void sync_request_done(void *ctx, struct platform_result *);

#endif
