#ifndef KQ_IO_IMPL_H
#define KQ_IO_IMPL_H

#include "io.h"

#include <stddef.h>

#define IO_CLOCK UINT64_MAX /* epoll data of the clock */

struct io_slot {
	struct io_watch *watch; /* NULL when free */
	uint32_t generation;
	uint32_t next_free; /* index plus one */
};

struct io_loop {
	GSource source; /* first, GLib allocates the whole */
	gpointer tag;
	int epoll;
	int clock; /* timer descriptor: poll() rounds up to milliseconds */
	int64_t armed; /* when clock fires, 0 is never */
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
/** io_clock_open() - the descriptor for timers; 0 or -1 */
int io_clock_open(struct io_loop *);
void io_clock_fired(struct io_loop *);
/** io_timers_arm() - wake up when the next timer is due */
void io_timers_arm(struct io_loop *);

#endif
