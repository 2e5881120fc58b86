#include "track.h"

#include <glib.h>
#include <string.h>

static int
has_left(const struct track *t, const char *id)
{
	int i;

	for (i = 0; i < MIN(t->nleft, TRACK_LEFT_MAX); i++)
		if (!strcmp(t->left[i], id))
			return 1;
	return 0;
}

static int
is_same_start(const struct track *t, const struct heartbeat *b)
{
	return !strcmp(t->last.id, b->id) &&
	       t->last.started_ms == b->started_ms;
}

/* Whether a start is later than the current one. If a start time is missing,
 * another id counts as later unless that id is known to have left. */
static int
is_later_start(const struct track *t, const struct heartbeat *b)
{
	if (t->last.started_ms && b->started_ms)
		return b->started_ms > t->last.started_ms;
	return strcmp(t->last.id, b->id) && !has_left(t, b->id);
}

static enum track_change
set_current(struct track *t, const struct heartbeat *b, int64_t now)
{
	t->last = *b;
	t->updated_at = now;
	t->health_only = 0;
	t->state = b->draining ? TRACK_DRAINING : TRACK_READY;
	return TRACK_START;
}

void
track_health_check(struct track *t, const struct heartbeat *b, int64_t now)
{
	set_current(t, b, now);
	t->health_only = 1;
	t->pending[0] = '\0';
}

/* Accepts a start from its second heartbeat on: a single one may be late, and
 * only a running target sends more. */
static enum track_change
confirm_start(struct track *t, const struct heartbeat *b, int64_t now)
{
	if (!strcmp(t->pending, b->id) && b->sequence > t->pending_sequence) {
		t->pending[0] = '\0';
		return set_current(t, b, now);
	}
	g_strlcpy(t->pending, b->id, sizeof t->pending);
	t->pending_sequence = b->sequence;
	return TRACK_UNCONFIRMED;
}

/* A draining start gets no requests, so that it needs no confirmation. */
static enum track_change
first_heartbeat(struct track *t, const struct heartbeat *b, int64_t now)
{
	if (has_left(t, b->id))
		return TRACK_STALE;
	if (t->confirm_first && !b->draining)
		return confirm_start(t, b, now);
	return set_current(t, b, now);
}

/* Handles a heartbeat while the current start is known from a health check
 * only. A heartbeat with the id of that start is accepted at once. */
static enum track_change
after_found(struct track *t, const struct heartbeat *b, int64_t now)
{
	if (!strcmp(t->last.id, b->id)) {
		int drained = t->state == TRACK_DRAINING;

		set_current(t, b, now);
		if (drained)
			t->state = TRACK_DRAINING;
		return b->draining && !drained ? TRACK_DRAINS : TRACK_UPDATED;
	}
	if (!has_left(t, b->id) && confirm_start(t, b, now) == TRACK_START)
		return TRACK_START;
	return TRACK_STALE;
}

enum track_change
track_heartbeat(struct track *t, const struct heartbeat *b, int64_t now)
{
	if (t->state == TRACK_NONE)
		return first_heartbeat(t, b, now);
	if (t->health_only && t->state != TRACK_LEFT)
		return after_found(t, b, now);
	if (!is_same_start(t, b))
		return is_later_start(t, b) ? set_current(t, b, now)
					    : TRACK_STALE;
	if (t->state == TRACK_LEFT || b->sequence <= t->last.sequence)
		return TRACK_STALE;
	t->last = *b;
	t->updated_at = now;
	if (!b->draining || t->state == TRACK_DRAINING)
		return TRACK_UPDATED;
	t->state = TRACK_DRAINING;
	return TRACK_DRAINS;
}

static void
remember_left(struct track *t, const char *id)
{
	if (!has_left(t, id))
		g_strlcpy(t->left[t->nleft++ % TRACK_LEFT_MAX], id,
		    SERVICE_NAME_MAX);
}

enum track_change
track_says_leaving(struct track *t, const char *id, int64_t now)
{
	if (t->state == TRACK_NONE)
		remember_left(t, id);
	if (t->state != TRACK_READY || strcmp(t->last.id, id))
		return TRACK_STALE;
	t->state = TRACK_DRAINING;
	t->updated_at = now;
	return TRACK_DRAINS;
}

enum track_change
track_leave(struct track *t, const char *id, int64_t now)
{
	remember_left(t, id);
	if (t->state == TRACK_NONE || t->state == TRACK_LEFT ||
	    strcmp(t->last.id, id))
		return TRACK_STALE;
	t->state = TRACK_LEFT;
	t->updated_at = now;
	return TRACK_LEAVES;
}
