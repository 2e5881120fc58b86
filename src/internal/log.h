#ifndef KQ_LOG_H
#define KQ_LOG_H

#define EVENT_DOMAIN "kumquatrock"

#include <glib.h>

/**
 * DOC: Numbered events.
 *
 * Each event has a number and a name, listed in docs/EVENTS.md; fields follow
 * the message as key=value. One event is written at most EVENT_PER_S_MAX
 * times a second; what was left out is counted in its next line.
 */

#define EVENT_PER_S_MAX 20

enum event {
	EVENT_STARTED = 100,
	EVENT_STOPPING = 101,
	EVENT_STOPPED = 102,
	EVENT_LISTEN_FAILED = 111,
	EVENT_TARGET_ANNOUNCED = 200,
	EVENT_TARGET_LEFT = 201,
	EVENT_REGISTERED = 300,
	EVENT_REGISTER_FAILED = 301,
	EVENT_PLATFORM_DOWN = 310,
	EVENT_PLATFORM_UP = 311,
	EVENT_PLATFORM_WENT_BACK = 312,
	EVENT_CONFIG_TAKEN = 320,
	EVENT_CONFIG_BAD = 321,
	EVENT_MEMBER_JOINED = 400,
	EVENT_MEMBER_SUSPECTED = 401,
	EVENT_MEMBER_ALIVE = 402,
	EVENT_MEMBER_DEAD = 403,
	EVENT_MEMBER_LEFT = 404,
	EVENT_PAUSED = 410,
	EVENT_EVICTED = 411,
	EVENT_DATAGRAM_REFUSED = 420,
	EVENT_OUTCOME_UNKNOWN = 500,
	EVENT_TARGET_LOST = 501
};

/** log_event() - write one event; @now in monotonic microseconds bounds its
 * rate */
void log_event(enum event, GLogLevelFlags level, int64_t now, const char *fmt,
    ...) __attribute__((format(printf, 4, 5)));
/** log_setup() - lines to standard error, of this level and graver */
void log_setup(GLogLevelFlags least);

#endif
