#ifndef KQ_DAEMON_PORTS_H
#define KQ_DAEMON_PORTS_H

#include "daemon/control/control.h"

/**
 * DOC: Opening the ports of a daemon. Another process may still have one of
 * them, as a former daemon does that is about to end, or a connection that
 * happens to come from there: the ports are tried again for a while.
 */

/** enum ports_outcome - how ports_open() ended
 * @PORTS_STOPPED: the process was told to stop meanwhile */
enum ports_outcome { PORTS_OPEN, PORTS_FAILED, PORTS_STOPPED };

/** ports_open() - create both tasks with their ports open; the signals that
 * stop the process are blocked */
enum ports_outcome ports_open(const struct settings *, uint64_t incarnation,
    struct control **, struct data **, struct kq_error *);

#endif
