#include "error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

int
kq_error_set(struct kq_error *e, enum kq_layer layer, int code, const char *fmt,
    ...)
{
	va_list ap;

	if (!e)
		return -1;
	memset(e, 0, sizeof *e);
	e->layer = layer;
	e->code = code;
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof e->text, fmt, ap);
	va_end(ap);
	return -1;
}

int
kq_error_wrap(struct kq_error *e, enum kq_layer layer, int code,
    const char *fmt, ...)
{
	char lower[KQ_ERROR_TEXT_MAX];
	va_list ap;
	size_t n;

	if (!e)
		return -1;
	memcpy(lower, e->text, sizeof lower);
	e->layer = layer;
	e->code = code;
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof e->text, fmt, ap);
	va_end(ap);
	n = strlen(e->text);
	snprintf(e->text + n, sizeof e->text - n, ": %s", lower);
	return -1;
}

const char *
kq_layer_name(enum kq_layer layer)
{
	static const char *const names[] = { "none", "core", "config", "io",
		"http", "rpc", "platform", "daemon", "tool" };

	return names[layer];
}
