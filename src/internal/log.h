#ifndef KQ_LOG_H
#define KQ_LOG_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Numbered events.
 *
 * Each event has a number and a name, listed in docs/EVENTS.md; fields follow
 * the message as key=value, on standard output, a line each. One event is
 * written at most EVENT_PER_S_MAX times a second, one about a request at most
 * REQUEST_EVENT_PER_S_MAX times; what was left out is counted in its next line.
 * Lines go through a bounded buffer that a thread of its own writes out, so
 * that no task ever waits for the output.
 */

#define EVENT_PER_S_MAX 20
#define REQUEST_EVENT_PER_S_MAX \
	400 /* a day's usual rate of one daemon, twice */
#define EVENT_REQUESTS 500 /* events from this number on are about requests */

enum event {
	EVENT_STARTED = 100,
	EVENT_STOPPING = 101,
	EVENT_STOPPED = 102,
	EVENT_RELOADED = 103,
	EVENT_RELOAD_FAILED = 104,
	EVENT_SETTING_CHANGED = 105,
	EVENT_LISTEN_FAILED = 111,
	EVENT_TARGET_ANNOUNCED = 200,
	EVENT_TARGET_LEFT = 201,
	EVENT_TARGET_OLD = 202,
	EVENT_TARGET_BAD = 203,
	EVENT_TARGET_KNEE = 204,
	EVENT_REGISTERED = 300,
	EVENT_REGISTER_FAILED = 301,
	EVENT_ADDRESS_REMOVED = 302,
	EVENT_PLATFORM_DOWN = 310,
	EVENT_PLATFORM_UP = 311,
	EVENT_PLATFORM_WENT_BACK = 312,
	EVENT_PLATFORM_CALL = 313,
	EVENT_CONFIG_TAKEN = 320,
	EVENT_CONFIG_BAD = 321,
	EVENT_CONFIG_NOT_SENT = 322,
	EVENT_CONFIG_PULL_LATE = 323,
	EVENT_MEMBER_JOINED = 400,
	EVENT_MEMBER_SUSPECTED = 401,
	EVENT_MEMBER_ALIVE = 402,
	EVENT_MEMBER_DEAD = 403,
	EVENT_MEMBER_LEFT = 404,
	EVENT_PAUSED = 410,
	EVENT_EVICTED = 411,
	EVENT_DATAGRAM_REFUSED = 420,
	EVENT_PEER_SILENT = 430,
	EVENT_PEER_DEAD = 431,
	EVENT_OUTCOME_UNKNOWN = 500,
	EVENT_TARGET_LOST = 501,
	EVENT_ANSWER_SPOILED = 502,
	EVENT_CALL = 510,
	EVENT_ATTEMPT = 511,
	EVENT_INBOUND = 512,
	EVENT_BAD_REQUEST = 513
};

/** log_event() - write one event; @now in monotonic microseconds bounds its
 * rate */
void log_event(enum event, GLogLevelFlags level, int64_t now, const char *fmt,
    ...) __attribute__((format(printf, 4, 5)));
/** log_flags() - level of the settings as a level of GLib's */
GLogLevelFlags log_flags(int level);
/** log_wanted() - whether lines of a level are written at all */
int log_wanted(GLogLevelFlags level);
/** log_setup() - lines of this level and graver from now on */
void log_setup(GLogLevelFlags least);
/** log_finish() - write what waits, for a bounded time */
void log_finish(void);
/** log_lines_lost() - lines that did not fit into the buffer since the start */
uint64_t log_lines_lost(void);

#endif
