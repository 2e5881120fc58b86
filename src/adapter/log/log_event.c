#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#define EVENT_MAX 1000

/* Bound of one event's rate; counts of all tasks together. */
struct rate {
	int64_t second;
	int written;
	int left_out;
};

static struct rate rates[EVENT_MAX];
static GMutex rates_lock;
static GLogLevelFlags least_level = G_LOG_LEVEL_INFO;

/* Whether to write; sets the count of lines left out before. */
static int
may_write(enum event e, int64_t now, int *left_out)
{
	struct rate *r = &rates[e];
	int64_t second = now / 1000000;
	int ok;

	g_mutex_lock(&rates_lock);
	if (r->second != second) {
		r->second = second;
		r->written = 0;
	}
	ok = r->written < EVENT_PER_S_MAX;
	if (ok) {
		r->written++;
		*left_out = r->left_out;
		r->left_out = 0;
	} else {
		r->left_out++;
	}
	g_mutex_unlock(&rates_lock);
	return ok;
}

void
log_event(enum event e, GLogLevelFlags level, int64_t now, const char *fmt, ...)
{
	char text[512], number[16];
	int left_out = 0;
	va_list ap;

	if (level > least_level || !may_write(e, now, &left_out))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof text, fmt, ap);
	va_end(ap);
	snprintf(number, sizeof number, "%d", e);
	g_log_structured(EVENT_DOMAIN, level, "EVENT", number, "MESSAGE",
	    "event=%s %s%s", number, text,
	    left_out ? " (lines left out before)" : "");
}

static int
own_event(const GLogField *f, gsize n)
{
	gsize i;

	for (i = 0; i < n; i++)
		if (!g_strcmp0(f[i].key, "EVENT"))
			return 1;
	return 0;
}

static GLogWriterOutput
writer(GLogLevelFlags level, const GLogField *f, gsize n, gpointer ctx)
{
	/* Libraries' chatter below a warning is not ours to print. */
	if (level > G_LOG_LEVEL_WARNING && !own_event(f, n))
		return G_LOG_WRITER_HANDLED;
	return g_log_writer_standard_streams(level, f, n, NULL);
}

void
log_setup(GLogLevelFlags least)
{
	least_level = least;
	g_log_writer_default_set_use_stderr(TRUE);
	g_log_set_writer_func(writer, NULL, NULL);
}
