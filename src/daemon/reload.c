#include "daemon/reload.h"

#include <gio/gio.h>
#include <string.h>
#include <sys/stat.h>

#include "daemon/signals.h"
#include "io.h"
#include "log.h"

#define POLL_S 1 /* between two checks of the file; inotify is not reliable */

/**
 * struct reload - the settings in force
 * @seen: the file at the last check
 * @stopped: cancelled by reload_stop(), after which this struct is gone
 * @reading: nonzero while a thread checks or reads the file
 * @wanted: why to read the file again after that; NULL: not wanted
 */
struct reload {
	char *path;
	struct settings settings;
	struct control *control;
	struct data *data;
	struct stat seen;
	guint timer;
	GCancellable *stopped;
	int reading;
	const char *wanted;
};

/**
 * struct reading - one check of the file, by a thread of its own as a slow disk
 * may block it
 * @why: why the file is read; NULL: only if it differs from @seen
 * @read: nonzero if it was read
 * @failed: nonzero if it is not valid, for which @error tells why
 */
struct reading {
	char *path;
	const char *why;
	struct stat seen;
	int read;
	int failed;
	struct settings settings;
	struct kq_error error;
};

static void start_reading(struct reload *, const char *why);

static void
log_change(void *ctx, const char *group, const char *key, int live)
{
	log_event(EVENT_SETTING_CHANGED,
	    live ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_WARNING, io_clock(),
	    "setting changed name=%s%s%s outcome=%s", group ? group : "",
	    group ? "." : "", key, live ? "in-force" : "needs-restart");
}

static void
apply(struct reload *r, const struct reading *f)
{
	int n;

	if (f->failed) {
		log_event(EVENT_RELOAD_FAILED, G_LOG_LEVEL_WARNING, io_clock(),
		    "settings not reloaded why=%s line=%d error=\"%s\"", f->why,
		    f->error.line, f->error.text);
		return;
	}
	n = settings_compare(&r->settings, &f->settings, log_change, NULL);
	log_event(EVENT_RELOADED, G_LOG_LEVEL_MESSAGE, io_clock(),
	    "settings reloaded why=%s changed=%d", f->why, n);
	if (!n)
		return;
	settings_copy_live(&r->settings, &f->settings);
	log_setup(log_glib_level(r->settings.log_level));
	data_set_settings(r->data, &r->settings);
	control_set_settings(r->control, &r->settings);
}

static int
same_file(const struct stat *a, const struct stat *b)
{
	return a->st_ino == b->st_ino && a->st_size == b->st_size &&
	       a->st_mtim.tv_sec == b->st_mtim.tv_sec &&
	       a->st_mtim.tv_nsec == b->st_mtim.tv_nsec;
}

/* A missing file is being replaced: the next check finds it. */
static int
changed(struct reading *f)
{
	struct stat now;

	if (stat(f->path, &now) || same_file(&now, &f->seen))
		return 0;
	f->seen = now;
	return 1;
}

static void
read_file(GTask *task, gpointer source, gpointer data, GCancellable *stopped)
{
	struct reading *f = data;

	if (!f->why && changed(f))
		f->why = "file";
	if (f->why) {
		f->read = 1;
		f->failed = settings_load(&f->settings, f->path, &f->error);
	}
	g_task_return_boolean(task, TRUE);
}

static void
reading_done(GObject *source, GAsyncResult *result, gpointer ctx)
{
	struct reading *f = g_task_get_task_data(G_TASK(result));
	struct reload *r = ctx;
	const char *wanted;

	if (g_cancellable_is_cancelled(g_task_get_cancellable(G_TASK(result))))
		return;
	r->reading = 0;
	r->seen = f->seen;
	if (f->read)
		apply(r, f);
	wanted = r->wanted;
	r->wanted = NULL;
	if (wanted)
		start_reading(r, wanted);
}

static void
reading_free(gpointer data)
{
	struct reading *f = data;

	g_free(f->path);
	g_free(f);
}

static void
start_reading(struct reload *r, const char *why)
{
	struct reading *f = g_new0(struct reading, 1);
	GTask *task;

	signals_hold();
	task = g_task_new(NULL, r->stopped, reading_done, r);
	r->reading = 1;
	f->path = g_strdup(r->path);
	f->why = why;
	f->seen = r->seen;
	g_task_set_task_data(task, f, reading_free);
	g_task_run_in_thread(task, read_file);
	signals_release();
	g_object_unref(task);
}

void
reload_settings(struct reload *r, const char *why)
{
	if (r->reading)
		r->wanted = why;
	else
		start_reading(r, why);
}

static gboolean
poll_file(gpointer ctx)
{
	struct reload *r = ctx;

	if (!r->reading)
		start_reading(r, NULL);
	return G_SOURCE_CONTINUE;
}

struct reload *
reload_start(const char *path, const struct settings *s, struct control *c,
    struct data *d)
{
	struct reload *r = g_new0(struct reload, 1);

	r->path = g_strdup(path);
	r->settings = *s;
	r->control = c;
	r->data = d;
	if (stat(path, &r->seen))
		memset(&r->seen, 0, sizeof r->seen);
	r->stopped = g_cancellable_new();
	r->timer = g_timeout_add_seconds(POLL_S, poll_file, r);
	return r;
}

void
reload_stop(struct reload *r)
{
	g_source_remove(r->timer);
	g_cancellable_cancel(r->stopped);
	g_object_unref(r->stopped);
	g_free(r->path);
	g_free(r);
}
