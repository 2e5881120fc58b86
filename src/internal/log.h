#ifndef KQ_LOG_H
#define KQ_LOG_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Log of numbered events.
 *
 * Each event has a number and a name, listed in docs/EVENTS.md, and is written
 * to standard output as one line: a message, then fields as key=value. An event
 * is written at most EVENT_PER_S_MAX times a second, or REQUEST_EVENT_PER_S_MAX
 * times if it is about a request; its next line then holds the number of
 * suppressed ones. Of suppressed events about a request, the request's id and
 * the outcome are still written, many to a line, up to ID_LINES_PER_S_MAX such
 * lines a second. Lines pass through a bounded buffer that a separate thread
 * writes out, so that no task ever waits for the output.
 */

#define EVENT_PER_S_MAX 20
#define REQUEST_EVENT_PER_S_MAX \
	400 /* twice the usual rate of one daemon over a day */
#define ID_LINES_PER_S_MAX 100 /* of each event */
#define LOG_STOP_US 500000 /* usual wait of log_stop() */
/* Events of these numbers are about requests. */
#define EVENT_REQUEST_FIRST 500
#define EVENT_REQUEST_LAST 599

enum event {
	EVENT_STARTED = 100,
	EVENT_STOPPING = 101,
	EVENT_STOPPED = 102,
	EVENT_RELOADED = 103,
	EVENT_RELOAD_FAILED = 104,
	EVENT_SETTING_CHANGED = 105,
	EVENT_STOP_CALLS = 106,
	EVENT_FATAL = 107,
	EVENT_LISTEN_FAILED = 111,
	EVENT_OPERATOR_BODY = 112,
	EVENT_LISTEN_WAITS = 113,
	EVENT_TARGET_ANNOUNCED = 200,
	EVENT_TARGET_LEFT = 201,
	EVENT_TARGET_REPORT_STALE = 202,
	EVENT_TARGET_REPORT_REFUSED = 203,
	EVENT_TARGET_KNEE = 204,
	EVENT_TARGET_UNCONFIRMED = 205,
	EVENT_TARGET_LIMIT = 206,
	EVENT_TARGET_SAYS_LEAVING = 207,
	EVENT_REQUEST_CRASHES = 208,
	EVENT_REGISTERED = 300,
	EVENT_REGISTER_FAILED = 301,
	EVENT_ADDRESS_REMOVED = 302,
	EVENT_PLATFORM_DOWN = 310,
	EVENT_PLATFORM_UP = 311,
	EVENT_PLATFORM_STALE = 312,
	EVENT_PLATFORM_CALL_FAILED = 313,
	EVENT_PLATFORM_RESTORED = 314,
	EVENT_CONFIG_APPLIED = 320,
	EVENT_CONFIG_INVALID = 321,
	EVENT_CONFIG_NOT_SENT = 322,
	EVENT_CONFIG_PULL_TIMEOUT = 323,
	EVENT_CONFIG_DIFFERS = 324,
	EVENT_MEMBER_JOINED = 400,
	EVENT_MEMBER_SUSPECTED = 401,
	EVENT_MEMBER_ALIVE = 402,
	EVENT_MEMBER_DEAD = 403,
	EVENT_MEMBER_LEFT = 404,
	EVENT_MEMBER_CHECKED = 405,
	EVENT_PAUSED = 410,
	EVENT_SELF_MARKED_LEFT = 411,
	EVENT_DATAGRAM_REFUSED = 420,
	EVENT_PEER_UNRESPONSIVE = 430,
	EVENT_PEER_TIMEOUT = 431,
	EVENT_PEER_SILENT = 432,
	EVENT_PEER_SUSPECTED = 433,
	EVENT_OUTCOME_UNKNOWN = 500,
	EVENT_TARGET_NO_ANSWER = 501,
	EVENT_ANSWER_UNUSABLE = 502,
	EVENT_RUN_ABORTED = 503,
	EVENT_TARGET_ENDED = 504,
	EVENT_CALL_BYTES_REACHED = 505,
	EVENT_CALL_BYTES_FREE = 506,
	EVENT_CALL = 510,
	EVENT_ATTEMPT = 511,
	EVENT_INBOUND_CALL = 512,
	EVENT_BAD_REQUEST = 513,
	EVENT_CONNECTION_CUT = 514,
	EVENT_REQUESTS_RECEIVED = 515,
	EVENT_REQUESTS_SENT = 516,
	EVENT_CONNECTION_REFUSED = 517,
	EVENT_ROLLOUT_ORDERED = 601,
	EVENT_ROLLOUT_SHARE = 602,
	EVENT_ROLLOUT_VERDICT = 603,
	EVENT_ROLLOUT_STATUS = 604,
	EVENT_ROLLOUT_WRITE_LOST = 605,
	EVENT_ROLLOUT_NOTE = 606,
	EVENT_ORGANISATIONS = 621,
	EVENT_QUOTA_LIMITED = 631,
	EVENT_QUOTA_FREE = 632
};

/** log_event() - write one event, unless its level or its rate limit excludes
 * it; @now in monotonic microseconds is the time for the limit */
void log_event(enum event, GLogLevelFlags level, int64_t now, const char *fmt,
    ...) __attribute__((format(printf, 4, 5)));
/** log_request_event() - write one event about the request @id, as log_event()
 * does; if the event's rate excludes it, id and @outcome are written as by
 * log_request_id() */
void log_request_event(enum event, GLogLevelFlags level, int64_t now,
    const char *id, const char *outcome, const char *fmt, ...)
    __attribute__((format(printf, 6, 7)));
/** log_request_id() - write the id of a request, and @outcome unless it is
 * NULL, with those of others in one line of an event about requests */
void
log_request_id(enum event, int64_t now, const char *id, const char *outcome);
/** log_glib_level() - convert a log level of the settings to GLib's */
GLogLevelFlags log_glib_level(int level);
/** log_level_enabled() - whether lines of a level are written */
int log_level_enabled(GLogLevelFlags level);
/** log_setup() - write lines of this level and more severe ones from now on;
 * the first call starts the thread that writes them */
void log_setup(GLogLevelFlags least);
/** log_catch_fatal() - from now on, write the queued lines and EVENT_FATAL when
 * the process ends by a fault of its own */
void log_catch_fatal(void);
/** log_stop() - stop the thread when it has written the buffered lines; waits
 * for @most_us microseconds at most */
void log_stop(int64_t most_us);
/** log_lines_lost() - number of lines dropped since the start because the
 * buffer was full */
uint64_t log_lines_lost(void);

#endif
