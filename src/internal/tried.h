#ifndef KQ_TRIED_H
#define KQ_TRIED_H

#include <stdint.h>

#include "pick.h"

/**
 * DOC: Targets tried for one call, and the choice of the next.
 *
 * When no target is left to try and one refused because its machine is slow, or
 * because its daemon stops, a second round over all targets begins. In that
 * round, such a target takes the request if it can, instead of refusing it.
 * Those that could not take it in the first one come after them. There is at
 * most one second round, so that a call always ends, also while no target can
 * be reached.
 */

#define TRIED_MAX 8 /* targets tried for one call in a round */
#define TRIED_UNABLE_MAX (2 * TRIED_MAX)
/* Targets tried without using retry budget while they refuse as full. */
#define TRIED_FREE_MAX 4
/* After so many refusals of that kind, the next target may not refuse so. */
#define TRIED_SOFT_MAX 3

/** struct tried - targets tried for one call; zero it before first use
 * @classes: of the targets to choose from (pick.h), PICK_ANY for all
 * @others: of those that the call may go to at all, PICK_ANY for all
 * @handle: targets tried in this round
 * @n: number of targets in @handle
 * @unable: targets that can't take the call any more: they refused and were not
 *	just slow, full or stopping, or refused in the second round, or lost it
 * @nunable: number of targets in @unable
 * @full: targets that had no room
 * @nfull: number of targets in @full
 * @total: attempts in both rounds
 * @soft_refusals: refusals because the target's machine was slow, or its daemon
 *	stops
 * @allowed_full: refusals by targets that were full and could refuse only as
 *	another target was left, if none was full beyond that
 * @second_round: nonzero once the second round has begun */
struct tried {
	uint32_t classes;
	uint32_t others;
	uint32_t handle[TRIED_MAX];
	int n;
	uint32_t unable[TRIED_UNABLE_MAX];
	int nunable;
	uint32_t full[TRIED_MAX];
	int nfull;
	int total;
	int soft_refusals;
	int allowed_full;
	int second_round;
};

/** tried_next() - choose the next target and add it to those tried.
 * Return: handle, or PICK_NONE when none is left. */
uint32_t tried_next(struct tried *, struct pick *, int64_t now);
/** tried_next_now() - the same without beginning the second round */
uint32_t tried_next_now(struct tried *, struct pick *, int64_t now);
/** tried_note_full() - a target was full and refused; @allowed: it could refuse
 * only as another target was left */
void tried_note_full(struct tried *, int allowed);
/** enum tried_end - how an attempt ended without an answer */
enum tried_end {
	TRIED_UNABLE, /* the target can't take the call any more */
	TRIED_AGAIN, /* it may take it in a second round */
	TRIED_FULL /* the same, but it has no room now */
};
/** tried_note_ended() - an attempt at a target ended without an answer */
void tried_note_ended(struct tried *, uint32_t handle, enum tried_end);
/** tried_any_stays() - whether a target other than @handle is left in this
 * round or the second one that has room and is not known to be leaving or
 * failing, slow or not */
int tried_any_stays(const struct tried *, const struct pick *, int64_t now,
    uint32_t handle);
/** tried_may_refuse() - whether a target that is slow or full may refuse the
 * request, because another can be tried without using retry budget */
int tried_may_refuse(const struct tried *, const struct pick *);

#endif
