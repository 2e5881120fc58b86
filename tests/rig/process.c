#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "io.h"
#include "rig.h"

#define SIGNAL_BASE 128 /* of the status of a process that a signal ended */
#define NOT_RUN 127

void
note(struct rig *r, const char *fmt, ...)
{
	char t[HISTORY_LINE_MAX];
	va_list a;

	va_start(a, fmt);
	g_vsnprintf(t, sizeof t, fmt, a);
	va_end(a);
	history_write(&r->history, io_clock(), "%s", t);
}

GPid
process_start(struct rig *r, const char *log, char **argv, char **env)
{
	char *path = g_build_filename(r->dir, log, NULL);
	int fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0666);
	GError *e = NULL;
	GPid pid = 0;

	g_free(path);
	if (fd < 0 ||
	    !g_spawn_async_with_fds(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
		NULL, NULL, &pid, -1, fd, fd, &e)) {
		fprintf(stderr, "rig: %s: %s\n", argv[0],
		    e ? e->message : g_strerror(errno));
		g_clear_error(&e);
		pid = 0;
	}
	if (fd >= 0)
		close(fd);
	return pid;
}

int
process_await(GPid pid)
{
	int status;

	while (waitpid(pid, &status, 0) < 0)
		if (errno != EINTR)
			return NOT_RUN;
	return WIFEXITED(status) ? WEXITSTATUS(status)
				 : SIGNAL_BASE + WTERMSIG(status);
}
