#ifndef KQ_IO_IMPL_H
#define KQ_IO_IMPL_H

#include "io.h"

#include <stddef.h>

#define IO_TIMERFD_DATA UINT64_MAX /* epoll data of the timer descriptor */

struct io_slot {
	struct io_watch *watch; /* NULL when free */
	uint32_t generation; /* makes events of an earlier watch stale */
	uint32_t next_free; /* index plus one, 0 is none */
};

struct io_loop {
	GSource source; /* first: g_source_new() allocates the struct */
	gpointer tag;
	int epoll;
	int timer_fd; /* used since poll() rounds up to milliseconds */
	int64_t timer_fd_due; /* io_clock() time it is set to, 0 for none */
	int dispatching;
	int64_t now;
	struct io_slot *slot;
	uint32_t nslot;
	uint32_t free_slot; /* index plus one, 0 is none */
	struct io_timer **heap;
	uint32_t ntimer;
	uint32_t heap_cap;
};

/** io_timers_run() - call back the timers that are due at @now */
void io_timers_run(struct io_loop *, int64_t now);
/** io_timerfd_open() - open the timer descriptor and add it to epoll; 0 or -1
 */
int io_timerfd_open(struct io_loop *);
/** io_timerfd_fired() - clear the timer descriptor after it expired */
void io_timerfd_fired(struct io_loop *);
/** io_timers_arm() - wake the loop when the next timer is due */
void io_timers_arm(struct io_loop *);

#endif
