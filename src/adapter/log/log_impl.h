#ifndef KQ_LOG_IMPL_H
#define KQ_LOG_IMPL_H

#include <stddef.h>

#include "log.h"

/** log_sink_start() - start the thread that writes lines to standard output */
void log_sink_start(void);
/** log_sink_stop() - wait a bounded time until all lines are written */
void log_sink_stop(void);
/** log_sink_put() - queue one line, which ends with a newline; once the thread
 * is started it never blocks on the output */
void log_sink_put(const char *line, size_t n);

#endif
