#include "history.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

int
history_open(struct history *h, const char *path, const char *who,
    struct kq_error *e)
{
	memset(h, 0, sizeof *h);
	h->fd = -1;
	g_strlcpy(h->who, who, sizeof h->who);
	if (!path)
		return 0;
	h->fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	if (h->fd < 0)
		return kq_error_set(e, KQ_LAYER_IO, errno, "history %s: %s",
		    path, g_strerror(errno));
	return 0;
}

void
history_write(struct history *h, int64_t now, const char *fmt, ...)
{
	char b[HISTORY_LINE_MAX];
	va_list ap;
	int n, m;

	if (h->fd < 0)
		return;
	n = snprintf(b, sizeof b, "%lld %s ", (long long)now, h->who);
	va_start(ap, fmt);
	m = vsnprintf(b + n, sizeof b - n, fmt, ap);
	va_end(ap);
	n = MIN(n + m, (int)sizeof b - 2);
	b[n++] = '\n';
	if (write(h->fd, b, n) != n)
		g_warning("history: short write");
}

void
history_close(struct history *h)
{
	if (h->fd >= 0)
		close(h->fd);
	h->fd = -1;
}
