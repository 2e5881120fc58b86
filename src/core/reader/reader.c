#include "reader.h"

#include <glib.h>

/* Age of the newest reading at which the first verifier reads, and how much
 * later each of the others does. */
#define VERIFIER_AFTER_US 1250000
#define VERIFIER_STEP_US 150000
/* Age at which the other daemons begin. In a fleet of any size about one asks
 * every 40 ms. */
#define OTHERS_AFTER_US 1600000
#define OTHERS_STEP_US 40000
#define OTHERS_WINDOW_MIN_US 500000
#define FAILED_WINDOWS 4 /* windows for another try after a failed one */
#define BACKOFF_MIN_US 500000 /* doubled with each failed try */
#define BACKOFF_MAX_US 4000000

void
reader_succeeded(struct reader *r, int64_t at, int64_t took)
{
	r->own_at = at;
	r->took = took;
	r->failed_at = 0;
	r->backoff = 0;
}

void
reader_failed(struct reader *r, double draw, int64_t now)
{
	r->failed_at = now;
	r->backoff = CLAMP(2 * r->backoff, BACKOFF_MIN_US, BACKOFF_MAX_US);
	r->draw = draw;
}

/* Time for which the daemons that are not verifiers spread their readings. */
static double
window(int members)
{
	return MAX(members * OTHERS_STEP_US, OTHERS_WINDOW_MIN_US);
}

/* After a failed try the order is spread further: if the platform answers none
 * of the daemons, their calls are to stay few. */
static int64_t
retry_at(const struct reader *r, int members)
{
	return r->failed_at + r->backoff +
	       (int64_t)(FAILED_WINDOWS * r->draw * window(members));
}

int64_t
reader_due(const struct reader *r, int64_t read_at, int rank, int members)
{
	int64_t due = read_at + r->took;

	if (r->own_at && r->own_at == read_at)
		due = read_at + READER_PERIOD_US;
	else if (rank != READER_NO_RANK)
		due += VERIFIER_AFTER_US + rank * VERIFIER_STEP_US;
	else
		due += OTHERS_AFTER_US + (int64_t)(r->draw * window(members));
	return r->failed_at ? MAX(due, retry_at(r, members)) : due;
}
