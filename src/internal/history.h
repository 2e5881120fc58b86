#ifndef KQ_HISTORY_H
#define KQ_HISTORY_H

#include <stdint.h>

#include "error.h"

/**
 * DOC: History files, from which the tests check a concurrent run.
 *
 * One event a line: MONOTONIC_US WHO EVENT key=value ... Each line is one
 * write() to a file opened for appending, so that several processes can share
 * a file and no line is lost when a process is killed after writing it.
 */

#define HISTORY_LINE_MAX 512 /* bytes with the final newline */
#define HISTORY_WHO_MAX 64 /* bytes with the final NUL */

/**
 * struct history - an open history file
 * @fd: file, -1 when no history is written
 * @who: name of this process in each line
 */
struct history {
	int fd;
	char who[HISTORY_WHO_MAX];
};

/** history_open() - open @path for appending, or write no history if it is
 * NULL; 0 or -1 */
int history_open(struct history *, const char *path, const char *who,
    struct kq_error *);
/** history_write() - write one event at @now, in microseconds; @fmt gives its
 * name and its fields */
void history_write(struct history *, int64_t now, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void history_close(struct history *);

#endif
