#ifndef KQ_IO_H
#define KQ_IO_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Event loop for the sockets and timers of one task.
 *
 * One loop belongs to one task (thread) and is attached to that task's
 * GMainContext as a single source: an epoll descriptor for all its sockets
 * and a binary heap for all its timers, so that the cost of an iteration
 * grows with the number of ready sockets, not of open ones. Timers have a
 * resolution of microseconds: a timer descriptor wakes the loop, since GLib
 * rounds up to milliseconds. All functions must be called from the owning task.
 * No callback may iterate the context.
 */

struct io_loop;

/** io_clock() - read the monotonic clock, in microseconds; it goes on while the
 * machine is suspended (CLOCK_BOOTTIME) */
int64_t io_clock(void);

/* Milliseconds after which a TCP connection with unacknowledged data is closed;
 * leaves time for several retransmissions at a round trip of 1 to 3 ms. */
#define IO_USER_TIMEOUT_MS 1500

/* IO_END: the peer ended its sending side, whether or not bytes before that are
 * unread */
enum { IO_READ = 1, IO_WRITE = 2, IO_END = 4 };

/** io_ready_fn - called with the IO_* bits that are ready; an error or a
 * hang-up sets IO_READ and IO_WRITE */
typedef void io_ready_fn(void *ctx, int ready);
/** io_timer_fn - called once when the timer is due; @now in microseconds */
typedef void io_timer_fn(void *ctx, int64_t now);

/**
 * struct io_watch - registration of one descriptor; zero it before first use
 *
 * It may be removed (and its memory reused) from within any callback of the
 * loop.
 */
struct io_watch {
	int fd;
	int events; /* IO_* bits asked for */
	io_ready_fn *ready;
	void *ctx;
	uint32_t slot; /* index in the loop's table plus one, 0 if not added */
};

/** struct io_timer - a one-shot timer; zero it before first use */
struct io_timer {
	int64_t due; /* io_clock() microseconds */
	io_timer_fn *fire;
	void *ctx;
	uint32_t pos; /* index in the heap plus one, 0 if not set */
};

struct io_loop *io_loop_new(GMainContext *);
/** io_loop_stop() - call back no timer and no watch from now on, even if the
 * main context is iterated further; both can still be set and cleared */
void io_loop_stop(struct io_loop *);
void io_loop_free(struct io_loop *);
/** io_now() - io_clock() as of the start of this iteration; outside of the
 * loop's callbacks the present time */
int64_t io_now(const struct io_loop *);

/** io_watch_add() - register a callback for when @fd is ready for @events; 0 or
 * -1 with errno */
int io_watch_add(struct io_loop *, struct io_watch *, int fd, int events,
    io_ready_fn *, void *ctx);
/** io_watch_events() - change the IO_* bits asked for */
void io_watch_events(struct io_loop *, struct io_watch *, int events);
void io_watch_remove(struct io_loop *, struct io_watch *);

/** io_timer_set() - set a timer, or change when it is due; fire and ctx must be
 * filled in */
void io_timer_set(struct io_loop *, struct io_timer *, int64_t due);
void io_timer_clear(struct io_loop *, struct io_timer *);

/** io_limit_silence() - break a TCP connection whose peer takes none of the
 * bytes sent for @ms, also if it only stopped reading, never if that is 0;
 * io_connect_tcp() does this with IO_USER_TIMEOUT_MS */
void io_limit_silence(int fd, unsigned ms);
/** io_unsent() - bytes that the system has taken for a TCP connection and has
 * not sent yet */
int io_unsent(int fd);
/** io_reset_on_close() - drop what is not sent, and reset the connection, as it
 * is closed */
void io_reset_on_close(int fd);
/** io_listen_tcp() - open a non-blocking listening socket on a numeric IP
 * address and a port; the socket or -1 with errno */
int io_listen_tcp(const char *ip, int port);
/** io_connect_tcp() - start a non-blocking connect; the socket or -1 with
 * errno. TCP_NODELAY is set, and TCP_USER_TIMEOUT to IO_USER_TIMEOUT_MS, since
 * a network partition shows as missing acknowledgements, not as a reset */
int io_connect_tcp(const char *ip, int port);

#endif
