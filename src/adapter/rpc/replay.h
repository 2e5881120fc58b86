#ifndef KQ_RPC_REPLAY_H
#define KQ_RPC_REPLAY_H

#include <stdint.h>

/**
 * DOC: Windows of counters, one a sender, against replayed datagrams
 * (the sliding window of RFC 4303, section 3.4.3).
 */

struct replay;

struct replay *replay_new(int max);
void replay_free(struct replay *);
/** replay_take() - whether a counter is new; it counts as seen from now on */
int replay_take(struct replay *, uint64_t sender, uint64_t counter);
void replay_forget(struct replay *, uint64_t sender);

#endif
