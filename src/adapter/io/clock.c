#include "io_impl.h"

#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <time.h>

#define US_PER_S 1000000
#define NS_PER_US 1000

int64_t
io_clock(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return (int64_t)t.tv_sec * US_PER_S + t.tv_nsec / NS_PER_US;
}

int
io_timerfd_open(struct io_loop *l)
{
	struct epoll_event e = { .events = EPOLLIN,
		.data.u64 = IO_TIMERFD_DATA };

	l->timer_fd =
	    timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	if (l->timer_fd < 0)
		return -1;
	return epoll_ctl(l->epoll, EPOLL_CTL_ADD, l->timer_fd, &e);
}

static void
set_timerfd(struct io_loop *l, int64_t due)
{
	struct itimerspec t = { 0 };

	l->timer_fd_due = due;
	t.it_value.tv_sec = due / US_PER_S;
	t.it_value.tv_nsec = due % US_PER_S * NS_PER_US;
	timerfd_settime(l->timer_fd, TFD_TIMER_ABSTIME, &t, NULL);
}

/* The descriptor stays set when a timer is cleared: waking up too early does no
 * harm and is cheaper than setting the descriptor at each clear. */
void
io_timers_arm(struct io_loop *l)
{
	int64_t due;

	if (l->dispatching)
		return;
	due = l->ntimer ? l->heap[0]->due : 0;
	if (due && due <= io_now(l)) {
		g_source_set_ready_time(&l->source, 0);
		return;
	}
	g_source_set_ready_time(&l->source, -1);
	if (due && (!l->timer_fd_due || due < l->timer_fd_due))
		set_timerfd(l, due);
}

void
io_timerfd_fired(struct io_loop *l)
{
	set_timerfd(l, 0);
}
