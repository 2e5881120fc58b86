#ifndef KQ_IO_IMPL_H
#define KQ_IO_IMPL_H

#include "io.h"

#include <stddef.h>

#define IO_DISARMED (-1)
#define IO_UNKNOWN (-2)
#define IO_TIMER_DATA UINT64_MAX /* epoll data of the timerfd */

struct io_slot {
	struct io_watch *watch; /* NULL when free */
	uint32_t generation;
	uint32_t next_free; /* index plus one */
};

struct io_loop {
	GSource source; /* first, GLib allocates the whole */
	gpointer tag;
	int epoll;
	int timer; /* timerfd, due with the first timer */
	int64_t armed; /* what it is set to, IO_DISARMED or IO_UNKNOWN */
	int dispatching;
	int64_t now;
	struct io_slot *slot;
	uint32_t nslot;
	uint32_t free_slot; /* index plus one, 0 is none */
	struct io_timer **heap;
	uint32_t ntimer;
	uint32_t heap_cap;
};

/** io_timers_run() - fire what is due at @now */
void io_timers_run(struct io_loop *, int64_t now);
/** io_timers_arm() - wake when the next timer is due; GLib's own timeouts
 * are whole milliseconds */
void io_timers_arm(struct io_loop *);

#endif
