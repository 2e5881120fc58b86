#include "adapter/json/json_impl.h"

#include <stdarg.h>
#include <stdio.h>

static int fail_at(struct kq_error *e, int code, int line, int column,
    const char *fmt, va_list ap) __attribute__((format(printf, 5, 0)));

static int
fail_at(struct kq_error *e, int code, int line, int column, const char *fmt,
    va_list ap)
{
	char text[KQ_ERROR_TEXT_MAX];

	vsnprintf(text, sizeof text, fmt, ap);
	kq_error_set(e, KQ_LAYER_CONFIG, code, "%s", text);
	if (!e)
		return -1;
	e->line = line;
	e->column = column;
	return -1;
}

int
json_error_at(struct kq_error *e, int code, int line, int column,
    const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	fail_at(e, code, line, column, fmt, ap);
	va_end(ap);
	return -1;
}

int
json_fail(const struct json *j, int node, struct kq_error *e, int code,
    const char *fmt, ...)
{
	const struct json_node *n = json_node_at(j, node);
	va_list ap;

	va_start(ap, fmt);
	fail_at(e, code, n->line, n->column, fmt, ap);
	va_end(ap);
	return -1;
}

int
json_fail_key(const struct json *j, int node, struct kq_error *e, int code,
    const char *fmt, ...)
{
	const struct json_node *n = json_node_at(j, node);
	va_list ap;

	va_start(ap, fmt);
	fail_at(e, code, n->key_line, n->key_column, fmt, ap);
	va_end(ap);
	return -1;
}
