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
	return !strcmp(t->beat.id, b->id) && t->beat.born == b->born;
}

/* Whether a start is later than the current one. If a start time is missing,
 * another id counts as later unless that id is known to have left. */
static int
is_later_start(const struct track *t, const struct heartbeat *b)
{
	if (t->beat.born && b->born)
		return b->born > t->beat.born;
	return strcmp(t->beat.id, b->id) && !has_left(t, b->id);
}

static enum track_change
set_current(struct track *t, const struct heartbeat *b, int64_t now)
{
	t->beat = *b;
	t->taken = now;
	t->found = 0;
	t->state = b->draining ? TRACK_DRAINING : TRACK_READY;
	return TRACK_START;
}

void
track_found(struct track *t, const struct heartbeat *b, int64_t now)
{
	set_current(t, b, now);
	t->found = 1;
	t->doubted[0] = '\0';
}

/* Handles a heartbeat while the current start is known from a health check
 * only. A heartbeat with the id of that start is accepted at once, one of
 * another start only from the second on: a single one may be late, and only a
 * running target sends more. */
static enum track_change
after_found(struct track *t, const struct heartbeat *b, int64_t now)
{
	if (!strcmp(t->beat.id, b->id)) {
		set_current(t, b, now);
		return b->draining ? TRACK_DRAINS : TRACK_SAME;
	}
	if (!strcmp(t->doubted, b->id) && b->sequence > t->doubted_sequence &&
	    !has_left(t, b->id))
		return set_current(t, b, now);
	g_strlcpy(t->doubted, b->id, sizeof t->doubted);
	t->doubted_sequence = b->sequence;
	return TRACK_OLD;
}

enum track_change
track_heartbeat(struct track *t, const struct heartbeat *b, int64_t now)
{
	if (t->state == TRACK_NONE)
		return has_left(t, b->id) ? TRACK_OLD : set_current(t, b, now);
	if (t->found && t->state != TRACK_LEFT)
		return after_found(t, b, now);
	if (!is_same_start(t, b))
		return is_later_start(t, b) ? set_current(t, b, now)
					    : TRACK_OLD;
	if (t->state == TRACK_LEFT || b->sequence <= t->beat.sequence)
		return TRACK_OLD;
	t->beat = *b;
	t->taken = now;
	if (!b->draining || t->state == TRACK_DRAINING)
		return TRACK_SAME;
	t->state = TRACK_DRAINING;
	return TRACK_DRAINS;
}

enum track_change
track_leave(struct track *t, const char *id, int64_t now)
{
	if (!has_left(t, id))
		g_strlcpy(t->left[t->nleft++ % TRACK_LEFT_MAX], id,
		    SERVICE_NAME_MAX);
	if (t->state == TRACK_NONE || t->state == TRACK_LEFT ||
	    strcmp(t->beat.id, id))
		return TRACK_OLD;
	t->state = TRACK_LEFT;
	t->taken = now;
	return TRACK_LEAVES;
}
