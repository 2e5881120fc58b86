#ifndef KQ_SIGNALS_H
#define KQ_SIGNALS_H

#include <stdint.h>

/**
 * DOC: The signals that the daemon handles, taken up by the main task.
 *
 * A signal tells nothing of when it was sent. The main task notes the time
 * again and again while none has come, so that after a suspension it is known
 * from when on one may have waited.
 */

/** signals_hold() - let signals that come wait; around each start of a thread,
 * which inherits it, so that only the main thread takes them up */
void signals_hold(void);
/** signals_release() - take up those that waited; in the main thread */
void signals_release(void);
/** signals_start() - have the main context call back after a signal, also one
 * that waited; once, in the main thread
 * @stop: after SIGTERM or SIGINT, which came after @since (io_clock())
 * @reload: after SIGHUP */
void signals_start(void (*stop)(void *ctx, int64_t since),
    void (*reload)(void *ctx), void *ctx);

#endif
