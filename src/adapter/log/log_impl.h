#ifndef KQ_LOG_IMPL_H
#define KQ_LOG_IMPL_H

#include <stddef.h>

#include "log.h"

/** log_sink_start() - start the thread that writes lines to standard output */
void log_sink_start(void);
/** log_sink_stop() - wait until all lines are written, for @most_us
 * microseconds at most */
void log_sink_stop(int64_t most_us);
/** log_sink_put() - queue one line, which ends with a newline; once the thread
 * is started it never blocks on the output */
void log_sink_put(const char *line, size_t n);
/** log_sink_flush_ids() - have the thread call log_ids_flush() soon; without a
 * thread, call it at once */
void log_sink_flush_ids(void);
/** log_sink_dump() - write queued lines from a signal handler of a process that
 * ends; lines that are being queued at that moment may be torn */
void log_sink_dump(void);
/** log_put_line() - write one line: time, level and @message, in which control
 * characters are replaced */
void log_put_line(GLogLevelFlags level, const char *message);
/** log_ids_flush() - write the ids of requests that were collected */
void log_ids_flush(void);
/** log_ids_dump() - write those ids from a signal handler of a process that
 * ends; they are in the lines that log_sink_dump() writes, too, if the thread
 * was writing them at that moment */
void log_ids_dump(void);
/** log_fatal_line() - write one line without its time from a signal handler of
 * a process that ends: @level, the number of the event and @n bytes of @text */
void log_fatal_line(const char *level, enum event, const char *text, size_t n);

#endif
