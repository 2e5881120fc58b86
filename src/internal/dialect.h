#ifndef KQ_DIALECT_H
#define KQ_DIALECT_H

#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "objects.h"

/**
 * DOC: Dialects: header fields, paths and formats that callers, targets and
 * the platform of one deployment use.
 *
 * A dialect holds names and parsers only; it makes no decisions. The default
 * is this program's own dialect. A header field that a dialect lacks is NULL.
 */

struct store_form;

#define TARGET_COLD_MS_MAX                                \
	86400000 /* longest time that a target stays cold \
		  */

/**
 * struct target_load - load that a target reports on an answer
 * @running: requests that it works on
 * @waiting: requests that wait there
 * @slots: requests that it works on at once at most
 * @pace: duration of work on its machine now, in percent of the usual; 0 when
 *	not reported
 */
struct target_load {
	int running;
	int waiting;
	int slots;
	int pace;
};

/**
 * struct heartbeat - state that a target reports to its daemon
 * @id: identifies this run of the target
 * @version: of its program, empty if it is not told or too long
 * @slots: requests that it works on at once at most
 * @started_ms: when it started, Unix milliseconds; 0 when it was found by a
 *	health check, which does not tell
 * @sequence: increases with each heartbeat of one run
 * @cold_ms: time for which it stays cold, milliseconds
 * @draining: nonzero when it takes no new requests
 */
struct heartbeat {
	char id[SERVICE_NAME_MAX];
	char service[SERVICE_NAME_MAX];
	char version[TARGET_VERSION_MAX];
	char ip[IP_TEXT_MAX];
	int port;
	int slots;
	int64_t started_ms;
	int64_t sequence;
	int64_t cold_ms;
	int draining;
};

/** enum target_report - kinds of reports that a target sends its daemon */
enum target_report { TARGET_REPORT_NONE, TARGET_HEARTBEAT, TARGET_LEAVE };

/**
 * struct dialect - names and parsers of one dialect; "field" means an HTTP
 * header field
 * @attempt_field: field of a caller's request with the id of its attempt; a
 *	target's answer repeats it
 * @deadline_field: field of a caller's request with the time left until its
 *	deadline, milliseconds
 * @origin_field: field of a request to a target with the service of the
 *	instance whose daemon took the request from the caller
 * @key_field: field of a caller's request with the key of its organisation
 * @organisation_field: field of a request to a target with the name of the
 *	organisation that the caller's key belongs to
 * @target_deadline_field: field of a request to a target with the time left
 *	until the deadline, milliseconds
 * @target_id_field: field of a request to a target with the id of the one run
 *	of the target that may run the request
 * @passes_retry_budget: nonzero if targets pass depth and retry budget on with
 *	the calls that they make; only then do HTTP messages carry request ids
 * @not_run_field: field of an answer by which a target says that it did not run
 *	the request
 * @misdirected_status: status by which a target says that it is not the one
 *	named in @target_id_field; 0 for none
 * @signature_field: field that each 2xx answer of a target has
 * @load_field: field of an answer that read_load() parses
 * @run_id_field: field of a health check's answer with the id of the target's
 *	run
 * @cold_field: field of a health check's answer with the time for which the
 *	target stays cold, milliseconds
 * @limit_field: field of an answer with the requests a second that the target
 *	takes from all daemons together, NULL if there is none
 * @leaving_field: field that each answer of a leaving target has
 * @ready_path: path of the daemon's readiness check
 * @report_path: path at which the daemon takes heartbeats and leaves
 * @half_close: nonzero if a caller that closed its sending side still gets its
 *	answer even if it is not known whether it closed the other one, too;
 *	otherwise it counts as gone then
 * @store: request and answer formats of the platform's object API
 */
struct dialect {
	const char *name;
	const char *attempt_field;
	const char *deadline_field;
	const char *origin_field;
	const char *key_field;
	const char *organisation_field;
	const char *target_deadline_field;
	const char *target_id_field;
	int passes_retry_budget;
	const char *not_run_field;
	int misdirected_status;
	const char *signature_field;
	const char *load_field;
	int (*read_load)(const char *text, struct target_load *);
	const char *run_id_field;
	const char *cold_field;
	const char *limit_field;
	const char *leaving_field;
	const char *ready_path;
	const char *report_path;
	/** parses a heartbeat, or a leave, which sets only the id; @query is
	 * the part of the URI after "?". Returns TARGET_REPORT_NONE, with the
	 * error filled in, on failure */
	enum target_report (*read_report)(struct heartbeat *, const char *query,
	    const char *text, size_t n, struct kq_error *);
	int half_close;
	const struct store_form *store;
};

extern const struct dialect dialect_own;
extern const struct dialect dialect_platform; /* in platform/ */

/** dialect_find() - find a dialect by its name; NULL if there is none */
const struct dialect *dialect_find(const char *name);

#endif
