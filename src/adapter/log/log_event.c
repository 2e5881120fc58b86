#include "adapter/log/log_impl.h"

#include <stdarg.h>
#include <time.h>

#define EVENT_MAX 1000
#define EVENT_TEXT_MAX 2048
#define LINE_MAX_BYTES 2304

/* Rate limit of one event, over all tasks together. */
struct rate {
	int64_t second; /* that written counts lines of */
	int written;
	int suppressed; /* lines since the last one written */
};

static struct rate rates[EVENT_MAX];
static GMutex rates_lock;
static int started;
static gint least_level = G_LOG_LEVEL_INFO; /* set beside tasks that log */

static int
is_about_request(enum event e)
{
	return e >= EVENT_REQUEST_FIRST && e <= EVENT_REQUEST_LAST;
}

/* Whether the rate limit allows a line; if so, sets @suppressed to the number
 * of lines suppressed since the last one. */
static int
rate_allows(enum event e, int64_t now, int *suppressed)
{
	struct rate *r = &rates[e];
	int64_t second = now / 1000000;
	int ok;

	g_mutex_lock(&rates_lock);
	if (r->second != second) {
		r->second = second;
		r->written = 0;
	}
	ok = r->written <
	     (is_about_request(e) ? REQUEST_EVENT_PER_S_MAX : EVENT_PER_S_MAX);
	if (ok) {
		r->written++;
		*suppressed = r->suppressed;
		r->suppressed = 0;
	} else {
		r->suppressed++;
	}
	g_mutex_unlock(&rates_lock);
	return ok;
}

static const char *
level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_DEBUG)
		return "debug";
	if (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE))
		return "info";
	return level & G_LOG_LEVEL_WARNING ? "warning" : "error";
}

void
log_put_line(GLogLevelFlags level, const char *message)
{
	char line[LINE_MAX_BYTES];
	int64_t us = g_get_real_time();
	time_t s = us / 1000000;
	struct tm t;
	size_t n, i;

	gmtime_r(&s, &t);
	n = strftime(line, sizeof line, "time=%Y-%m-%dT%H:%M:%S", &t);
	n += (size_t)g_snprintf(line + n, sizeof line - n, ".%03dZ level=%s %s",
	    (int)(us / 1000 % 1000), level_name(level), message);
	n = MIN(n, sizeof line - 2);
	for (i = 0; i < n; i++)
		if ((unsigned char)line[i] < ' ')
			line[i] = '?';
	line[n++] = '\n';
	log_sink_put(line, n);
}

static void put_event(enum event, GLogLevelFlags level, int suppressed,
    const char *fmt, va_list) __attribute__((format(printf, 4, 0)));

static void
put_event(enum event e, GLogLevelFlags level, int suppressed, const char *fmt,
    va_list ap)
{
	char text[EVENT_TEXT_MAX];
	int n;

	n = g_snprintf(text, sizeof text, "event=%d ", e);
	n += g_vsnprintf(text + n, sizeof text - n, fmt, ap);
	if (suppressed && n < (int)sizeof text)
		g_snprintf(text + n, sizeof text - n, " left_out=%d",
		    suppressed);
	log_put_line(level, text);
}

void
log_event(enum event e, GLogLevelFlags level, int64_t now, const char *fmt, ...)
{
	int suppressed;
	va_list ap;

	if (!log_level_enabled(level) || !rate_allows(e, now, &suppressed))
		return;
	va_start(ap, fmt);
	put_event(e, level, suppressed, fmt, ap);
	va_end(ap);
}

void
log_request_event(enum event e, GLogLevelFlags level, int64_t now,
    const char *id, const char *outcome, const char *fmt, ...)
{
	int suppressed;
	va_list ap;

	if (!log_level_enabled(level))
		return;
	if (!rate_allows(e, now, &suppressed)) {
		log_request_id(e, now, id, outcome);
		return;
	}
	va_start(ap, fmt);
	put_event(e, level, suppressed, fmt, ap);
	va_end(ap);
}

GLogLevelFlags
log_glib_level(int level)
{
	static const GLogLevelFlags flags[] = { G_LOG_LEVEL_CRITICAL,
		G_LOG_LEVEL_WARNING, G_LOG_LEVEL_INFO, G_LOG_LEVEL_DEBUG };

	return flags[level];
}

int
log_level_enabled(GLogLevelFlags level)
{
	return (gint)level <= g_atomic_int_get(&least_level);
}

/* Log writer of GLib: writes messages of libraries as event 0. */
static GLogWriterOutput
write_library_message(GLogLevelFlags level, const GLogField *f, gsize n,
    gpointer ctx)
{
	char text[EVENT_TEXT_MAX];
	gsize i;

	/* Messages below a warning are discarded. */
	if (level > G_LOG_LEVEL_WARNING)
		return G_LOG_WRITER_HANDLED;
	for (i = 0; i < n; i++) {
		if (g_strcmp0(f[i].key, "MESSAGE"))
			continue;
		g_snprintf(text, sizeof text, "event=0 library message=\"%s\"",
		    (const char *)f[i].value);
		log_put_line(level, text);
	}
	return G_LOG_WRITER_HANDLED;
}

void
log_setup(GLogLevelFlags least)
{
	g_atomic_int_set(&least_level, (gint)least);
	if (!started) {
		started = 1;
		g_log_set_writer_func(write_library_message, NULL, NULL);
		log_sink_start();
	}
}

void
log_stop(int64_t most_us)
{
	log_sink_stop(most_us);
}
