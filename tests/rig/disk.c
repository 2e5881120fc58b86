#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <sys/stat.h>
#include <unistd.h>

#include "io.h"
#include "plan.h"

#define LOG_BYTES 4096
#define LOG_POLL_MS 20

/* Puts a pipe, open here, in place of a file; Return: its descriptor, or -1 */
static int
put_pipe(const char *path)
{
	char *pipe = g_strconcat(path, ".held", NULL);
	int fd = -1;

	unlink(pipe);
	if (!mkfifo(pipe, 0600) && (fd = open(pipe, O_RDWR | O_CLOEXEC)) >= 0 &&
	    rename(pipe, path)) {
		close(fd);
		fd = -1;
	}
	if (fd < 0)
		fprintf(stderr, "rig: %s: %s\n", pipe, g_strerror(errno));
	g_free(pipe);
	return fd;
}

/* Whoever reads the pipe gets the text of the file that is there again. */
static void
let_go(int fd, const char *path)
{
	char *text = NULL;
	gsize n = 0;

	if (g_file_get_contents(path, &text, &n, NULL) &&
	    write(fd, text, n) < 0)
		fprintf(stderr, "rig: %s: %s\n", path, g_strerror(errno));
	g_free(text);
	close(fd);
}

/* Reads of a daemon's settings are held up, as it gets SIGHUP and maybe
 * SIGTERM. */
void
act_hold_settings(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);
	char *path = machine_file(m, ".json");
	int fd = put_pipe(path);

	if (fd >= 0) {
		note(a->rig, "disk at=%s mode=held", m->address);
		machine_signal(m, SIGHUP);
		pause_ms(a->ms);
		if (a->first % 2)
			machine_stop(m);
		pause_ms(1000 + a->ms);
		machine_write_settings(m, 1);
		let_go(fd, path);
		note(a->rig, "disk at=%s mode=ok", m->address);
	}
	g_free(path);
}

/* Nobody reads a daemon's log, while it may stop. */
void
act_hold_log(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	note(a->rig, "log at=%s mode=held", m->address);
	g_atomic_int_set(&m->log_held, 1);
	pause_ms(1000 + a->ms);
	if (a->first % 2)
		machine_stop(m);
	pause_ms(a->count * 1000);
	g_atomic_int_set(&m->log_held, 0);
	note(a->rig, "log at=%s mode=ok", m->address);
}

/** struct log - what a daemon writes to a pipe */
struct log {
	struct machine *machine;
	int in;
	int out;
};

/* Copies until nothing is left when the run ends. */
static gpointer
copy_log(gpointer arg)
{
	struct log *l = arg;
	struct machine *m = l->machine;
	char t[LOG_BYTES];
	ssize_t n = 0;
	int last = 0;

	while (n > 0 || !last) {
		last = g_atomic_int_get(&m->log_ends);
		n = g_atomic_int_get(&m->log_held) ? 0
						   : read(l->in, t, sizeof t);
		if (n <= 0)
			pause_ms(LOG_POLL_MS);
		else if (write(l->out, t, (size_t)n) < 0)
			break;
	}
	close(l->out);
	close(l->in);
	g_free(l);
	return NULL;
}

static char *
log_file(const struct machine *m, const char *ending)
{
	return g_strdup_printf("%s/daemon-%d-%d.%s", m->rig->dir, m->zone,
	    m->number, ending);
}

void
log_open(struct machine *m)
{
	struct log *l = g_new0(struct log, 1);
	char *from = log_file(m, "pipe"), *to = log_file(m, "log");

	l->machine = m;
	if (mkfifo(from, 0600))
		fprintf(stderr, "rig: %s: %s\n", from, g_strerror(errno));
	l->in = open(from, O_RDONLY | O_NONBLOCK | O_CLOEXEC);
	l->out = open(to, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0666);
	m->log_reader = g_thread_new("log", copy_log, l);
	g_free(to);
	g_free(from);
}

void
log_close(struct machine *m)
{
	char *from = log_file(m, "pipe");

	g_atomic_int_set(&m->log_held, 0);
	g_atomic_int_set(&m->log_ends, 1);
	g_thread_join(m->log_reader);
	unlink(from);
	g_free(from);
}
