#ifndef KQ_TRIED_H
#define KQ_TRIED_H

#include <stdint.h>

#include "pick.h"

/**
 * DOC: Targets that one request has tried, and the choice of the next.
 *
 * A target that refuses since its machine is slow may be asked once more when
 * no other is left, and then holds the request. That second round comes once,
 * so that a request always ends, also while no target can be reached.
 */

#define TRIED_MAX 8 /* targets tried for one request in a round */
#define TRIED_FREE_MAX 4 /* targets asked without pay while they are full */
#define TRIED_SLOW_MAX 3 /* refusals by slow targets, then one has to do */

/** struct tried - of one request; zero it before first use
 * @slow: refusals since the machine was slow
 * @again: the second round has begun */
struct tried {
	uint32_t handle[TRIED_MAX];
	int n;
	int total; /* in both rounds */
	int slow;
	int again;
};

/** tried_next() - next target, noted as tried; PICK_NONE when all were */
uint32_t tried_next(struct tried *, struct pick *, int64_t now);
/** tried_choosy() - whether a target that is slow or full may still refuse the
 * request, since another is left that is asked free of charge */
int tried_choosy(const struct tried *, const struct pick *);

#endif
