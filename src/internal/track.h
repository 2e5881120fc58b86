#ifndef KQ_TRACK_H
#define KQ_TRACK_H

#include <stdint.h>

#include "dialect.h"

/**
 * DOC: Tracks the current start of a target from its heartbeats.
 *
 * A start is one run of a target, named by its start id (heartbeat.id).
 * Heartbeats can arrive late, twice or out of order, also from a target that
 * has already ended. Starts are ordered by their start time, heartbeats of one
 * start by their sequence number. Draining and leaving are final for a start:
 * they were acknowledged, and the target relies on that.
 */

/* Starts that left, remembered to ignore late heartbeats of them. */
#define TRACK_LEFT_MAX 8

enum track_state {
	TRACK_NONE, /* no start known yet */
	TRACK_READY,
	TRACK_DRAINING,
	TRACK_LEFT
};

/** enum track_change - what a heartbeat or a leave changed */
enum track_change {
	TRACK_STALE, /* nothing: it is late or of another start */
	TRACK_UNCONFIRMED, /* nothing yet: it may be late, see confirm_first */
	TRACK_UPDATED, /* new heartbeat of the current start */
	TRACK_START, /* a new start became the current one */
	TRACK_DRAINS, /* the current start wants no new requests */
	TRACK_LEAVES /* the current start left */
};

/** struct track - the current start; zero it before first use
 * @confirm_first: nonzero if the very first heartbeat is not enough: a tracker
 *	that starts anew does not know which starts have left, and a late
 *	heartbeat of one of them may arrive. A health check or a second
 *	heartbeat confirms it.
 * @health_only: nonzero if it answered a health check and sent no heartbeat yet
 * @pending: id of a start that sent one heartbeat that is still to be
 *	confirmed: the first, or one of another start while @health_only is set;
 *	it may be a late one of a start that ended earlier
 * @pending_sequence: sequence number of that heartbeat
 * @last: last heartbeat accepted
 * @updated_at: time of the last change or accepted heartbeat
 * @left: ring of the ids that left last; @nleft counts the ids put into it */
struct track {
	int confirm_first;
	enum track_state state;
	int health_only;
	char pending[SERVICE_NAME_MAX];
	int64_t pending_sequence;
	struct heartbeat last;
	int64_t updated_at;
	int nleft;
	char left[TRACK_LEFT_MAX][SERVICE_NAME_MAX];
};

/** track_health_check() - note that a target answered a health check before any
 * heartbeat arrived */
void track_health_check(struct track *, const struct heartbeat *, int64_t now);
/** track_heartbeat() - process a heartbeat. Return: what it changed */
enum track_change
track_heartbeat(struct track *, const struct heartbeat *, int64_t now);
/** track_says_leaving() - note that the start @id says on an answer that it
 * leaves, which is as final as draining: a heartbeat that says otherwise was
 * sent before. Return: what that changed */
enum track_change
track_says_leaving(struct track *, const char *id, int64_t now);
/** track_leave() - note that the start @id left. Return: what that changed */
enum track_change track_leave(struct track *, const char *id, int64_t now);

#endif
