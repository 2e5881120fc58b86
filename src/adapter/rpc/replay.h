#ifndef KQ_RPC_REPLAY_H
#define KQ_RPC_REPLAY_H

#include <stdint.h>

/**
 * DOC: Detection of replayed datagrams by a window of counters for each sender
 * (the sliding window of RFC 4303, section 3.4.3).
 */

struct replay;

/** replay_new() - windows for up to @max senders; with more, the window used
 * least recently is dropped */
struct replay *replay_new(int max);
void replay_free(struct replay *);
/** replay_accept() - check a counter and mark it as seen; returns 1 if it is
 * new, 0 if it was seen or is too old */
int replay_accept(struct replay *, uint64_t sender, uint64_t counter);
void replay_forget_sender(struct replay *, uint64_t sender);

#endif
