#ifndef KQ_READER_H
#define KQ_READER_H

#include <stdint.h>

/**
 * DOC: When a daemon reads the platform's objects although a watch is to report
 * their changes.
 *
 * Watches fail without an error, and the platform may turn some daemons away
 * while it serves others. So the fleet reads the objects at a steady pace:
 * every daemon knows from the datagrams of the others when the last of them has
 * read, and reads by itself when that was too long ago. The daemon that has
 * read last goes on. If it fails, the verifiers of the member table follow one
 * after the other, then all other daemons, in random order. The window of that
 * order grows with the fleet, so that few daemons ask before one of them is
 * answered and its reading holds back the others. The calls a second do not
 * grow with the fleet.
 */

#define READER_PERIOD_US 1000000 /* of the daemon that has read last */
#define READER_NO_RANK (-1) /* rank of a daemon that is not a verifier */

/**
 * struct reader - readings of one daemon
 * @own_at: time of its last reading, 0 for none
 * @took: time that the platform took to answer it; a daemon that finds the
 *	platform slow waits that much longer for the reading of another one
 * @failed_at: time of its last failed try since then, 0 for none
 * @backoff: time after @failed_at in which it does not try again
 * @draw: place of this daemon in the random order, 0 to 1
 */
struct reader {
	int64_t own_at;
	int64_t took;
	int64_t failed_at;
	int64_t backoff;
	double draw;
};

/** reader_succeeded() - note that this daemon has read at @at, and how long the
 * answer took */
void reader_succeeded(struct reader *, int64_t at, int64_t took);
/** reader_failed() - note a failed try
 * @draw: random number from 0 to 1, the new place in the order */
void reader_failed(struct reader *, double draw, int64_t now);
/**
 * reader_due() - time at which this daemon is to read if it hears of no newer
 * reading
 * @read_at: time of the newest reading of any daemon that is known
 * @rank: place among the verifiers from 0 on, or READER_NO_RANK
 * @members: number of daemons
 */
int64_t
reader_due(const struct reader *, int64_t read_at, int rank, int members);

#endif
