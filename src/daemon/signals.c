#include "daemon/signals.h"

#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <signal.h>
#include <unistd.h>

#include "io.h"

#define BEAT_MS 100 /* between two times noted */

static const int handled[] = { SIGTERM, SIGINT, SIGHUP };

/**
 * struct signals - of the process
 * @pipe: a byte after each signal; a full one is read soon
 * @told: by the handler, that a signal came and is not taken up yet
 * @beat: when the main task ran last with no order to stop
 */
static struct signals {
	int pipe[2];
	volatile sig_atomic_t told_stop;
	volatile sig_atomic_t told_reload;
	int64_t beat;
	void (*stop)(void *ctx, int64_t since);
	void (*reload)(void *ctx);
	void *ctx;
} signals;

static void
mask(int how)
{
	sigset_t set;
	size_t i;

	sigemptyset(&set);
	for (i = 0; i < G_N_ELEMENTS(handled); i++)
		sigaddset(&set, handled[i]);
	pthread_sigmask(how, &set, NULL);
}

void
signals_hold(void)
{
	mask(SIG_BLOCK);
}

void
signals_release(void)
{
	mask(SIG_UNBLOCK);
}

static void
take(int signal)
{
	int error = errno;
	ssize_t n;

	if (signal == SIGHUP)
		signals.told_reload = 1;
	else
		signals.told_stop = 1;
	n = write(signals.pipe[1], "", 1);
	(void)n;
	errno = error;
}

/* The clock is read first: a signal that has not come when that is known was
 * sent later. */
static gboolean
beat(gpointer ctx)
{
	int64_t now = io_clock();

	if (!signals.told_stop)
		signals.beat = now;
	return G_SOURCE_CONTINUE;
}

static gboolean
taken(gint fd, GIOCondition condition, gpointer ctx)
{
	char bytes[64];

	while (read(fd, bytes, sizeof bytes) > 0)
		;
	if (signals.told_reload) {
		signals.told_reload = 0;
		signals.reload(signals.ctx);
	}
	if (signals.told_stop)
		signals.stop(signals.ctx, signals.beat);
	return G_SOURCE_CONTINUE;
}

void
signals_start(void (*stop)(void *ctx, int64_t since), void (*reload)(void *ctx),
    void *ctx)
{
	struct sigaction a = { .sa_handler = take, .sa_flags = SA_RESTART };
	size_t i;

	signals.stop = stop;
	signals.reload = reload;
	signals.ctx = ctx;
	if (pipe2(signals.pipe, O_CLOEXEC | O_NONBLOCK))
		g_error("no pipe for signals: %s", g_strerror(errno));
	g_unix_fd_add(signals.pipe[0], G_IO_IN, taken, NULL);
	beat(NULL);
	g_timeout_add(BEAT_MS, beat, NULL);
	for (i = 0; i < G_N_ELEMENTS(handled); i++)
		sigaction(handled[i], &a, NULL);
	signals_release();
}
