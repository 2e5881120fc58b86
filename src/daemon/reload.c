#include "daemon/reload.h"

#include <string.h>
#include <sys/stat.h>

#include "io.h"
#include "log.h"

#define POLL_S 1 /* between two checks of the file; inotify is not reliable */

struct reload {
	char *path;
	struct settings settings;
	struct control *control;
	struct data *data;
	struct stat last_stat;
	guint timer;
};

static void
log_change(void *ctx, const char *group, const char *key, int live)
{
	log_event(EVENT_SETTING_CHANGED,
	    live ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_WARNING, io_clock(),
	    "setting changed name=%s%s%s outcome=%s", group ? group : "",
	    group ? "." : "", key, live ? "in-force" : "needs-restart");
}

void
reload_settings(struct reload *r, const char *why)
{
	struct settings s;
	struct kq_error e = { 0 };
	int n;

	if (settings_load(&s, r->path, &e)) {
		log_event(EVENT_RELOAD_FAILED, G_LOG_LEVEL_WARNING, io_clock(),
		    "settings not reloaded why=%s line=%d error=\"%s\"", why,
		    e.line, e.text);
		return;
	}
	n = settings_compare(&r->settings, &s, log_change, NULL);
	log_event(EVENT_RELOADED, G_LOG_LEVEL_MESSAGE, io_clock(),
	    "settings reloaded why=%s changed=%d", why, n);
	if (!n)
		return;
	settings_copy_live(&r->settings, &s);
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

static gboolean
poll_file(gpointer ctx)
{
	struct reload *r = ctx;
	struct stat now;

	/* A missing file is being replaced: the next check finds it. */
	if (stat(r->path, &now) || same_file(&now, &r->last_stat))
		return G_SOURCE_CONTINUE;
	r->last_stat = now;
	reload_settings(r, "file");
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
	if (stat(path, &r->last_stat))
		memset(&r->last_stat, 0, sizeof r->last_stat);
	r->timer = g_timeout_add_seconds(POLL_S, poll_file, r);
	return r;
}

void
reload_stop(struct reload *r)
{
	g_source_remove(r->timer);
	g_free(r->path);
	g_free(r);
}
