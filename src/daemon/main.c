#include <argtable2.h>
#include <glib.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/control/control.h"
#include "daemon/ports.h"
#include "daemon/reload.h"
#include "daemon/signals.h"
#include "io.h"
#include "log.h"
#include "version.h"

#define EXIT_USAGE 2
#define EXIT_SETTINGS 3
#define EXIT_PORTS 4
/* Buffers of so many bytes and more are mappings of their own: what is freed or
 * never written of them takes no memory. */
#define MAPPED_BYTES 65536

struct program {
	GMainLoop *loop;
	struct control *control;
	struct reload *reload;
	int leaving;
};

static gboolean
quit(gpointer ctx)
{
	g_main_loop_quit(ctx);
	return G_SOURCE_REMOVE;
}

static void
leave_done(void *ctx)
{
	struct program *p = ctx;

	g_idle_add(quit, p->loop);
}

static void
reload_signal(void *ctx)
{
	struct program *p = ctx;

	reload_settings(p->reload, "signal");
}

static void
stop_signal(void *ctx, int64_t since)
{
	struct program *p = ctx;

	if (!p->leaving)
		control_leave(p->control, since, leave_done, p);
	p->leaving = 1;
}

static uint64_t
new_incarnation(void)
{
	uint64_t v;

	do {
		randombytes_buf(&v, sizeof v);
	} while (!v);
	return v;
}

static int
stopped(int64_t log_us)
{
	log_event(EVENT_STOPPED, G_LOG_LEVEL_MESSAGE, 0, "stopped");
	log_stop(log_us);
	return EXIT_SUCCESS;
}

static int
run(const struct settings *s, const char *path)
{
	uint64_t incarnation = new_incarnation();
	struct program p = { 0 };
	struct kq_error e = { 0 };
	struct data *d = NULL;
	enum ports_outcome outcome;
	int64_t exit_by;

	outcome = ports_open(s, incarnation, &p.control, &d, &e);
	if (outcome == PORTS_STOPPED)
		return stopped(LOG_STOP_US);
	if (outcome == PORTS_FAILED) {
		log_event(EVENT_LISTEN_FAILED, G_LOG_LEVEL_CRITICAL, 0, "%s",
		    e.text);
		log_stop(LOG_STOP_US);
		return EXIT_PORTS;
	}
	control_set_data(p.control, d);
	p.loop = g_main_loop_new(NULL, FALSE);
	p.reload = reload_start(path, s, p.control, d);
	data_start(d);
	control_start(p.control);
	signals_start(stop_signal, reload_signal, &p);
	log_event(EVENT_STARTED, G_LOG_LEVEL_MESSAGE, 0,
	    "started name=%s ip=%s caller_port=%d peer_port=%d "
	    "operator_port=%d datacentre=%s incarnation=%016" G_GINT64_MODIFIER
	    "x",
	    s->name, s->ip, s->caller_port, s->peer_port, s->operator_port,
	    s->datacentre, incarnation);
	g_main_loop_run(p.loop);
	reload_stop(p.reload);
	control_stop(p.control);
	exit_by = control_exit_by(p.control);
	data_stop(d);
	control_free(p.control);
	g_main_loop_unref(p.loop);
	return stopped(exit_by ? CLAMP(exit_by - io_clock(), 0, LOG_STOP_US)
			       : LOG_STOP_US);
}

static int
print_settings(const struct settings *s)
{
	GString *t = g_string_new(NULL);

	settings_print(t, s);
	fputs(t->str, stdout);
	g_string_free(t, TRUE);
	return EXIT_SUCCESS;
}

static int
load(const char *path, struct settings *s)
{
	struct kq_error e = { 0 };

	if (!settings_load(s, path, &e))
		return 0;
	if (e.line)
		fprintf(stderr, "kumquatrockd: %s:%d:%d: %s\n", path, e.line,
		    e.column, e.text);
	else
		fprintf(stderr, "kumquatrockd: %s: %s\n", path, e.text);
	return -1;
}

int
main(int argc, char **argv)
{
	struct arg_file *file =
	    arg_file1("s", "settings", "FILE", "settings, JSON with comments");
	struct arg_lit *check = arg_lit0(NULL, "check-settings",
	    "read the settings, say what is wrong, and exit");
	struct arg_lit *print = arg_lit0(NULL, "print-settings",
	    "print the settings in force, without keys, and exit");
	struct arg_lit *version =
	    arg_lit0(NULL, "version", "print version, commit and libraries");
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, check, print, version, help, end };
	static struct settings s;
	int code = EXIT_SUCCESS, serve = 0, errors;
	char *path;

	signals_hold();
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		printf("usage: kumquatrockd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		printf("exit: 0 stopped, 2 usage, 3 settings, 4 ports\n");
		return EXIT_SUCCESS;
	}
	if (version->count) {
		version_print("kumquatrockd");
		return EXIT_SUCCESS;
	}
	if (errors) {
		arg_print_errors(stderr, end, "kumquatrockd");
		fprintf(stderr, "see: kumquatrockd --help\n");
		return EXIT_USAGE;
	}
	if (load(file->filename[0], &s))
		code = EXIT_SETTINGS;
	else if (print->count)
		code = print_settings(&s);
	else if (check->count)
		printf("%s: settings are valid\n", file->filename[0]);
	else
		serve = 1;
	path = g_strdup(file->filename[0]);
	arg_freetable(table, sizeof table / sizeof *table);
	if (!serve) {
		g_free(path);
		return code;
	}
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
	log_setup(log_glib_level(s.log_level));
	log_catch_fatal();
	code = run(&s, path);
	g_free(path);
	return code;
}
