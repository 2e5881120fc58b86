#include "http_impl.h"

#include <string.h>

int
in_fault(struct http_in *in, int status, int code, const char *text)
{
	in->status = status;
	return kq_error_set(&in->err, KQ_LAYER_HTTP, code, "%s", text);
}

void
in_init(struct http_in *in, enum http_parser_type type, int head_max,
    const struct http_in_ops *ops, void *ctx)
{
	memset(in, 0, sizeof *in);
	in->type = type;
	in->head_max = (size_t)head_max;
	in->ops = ops;
	in->ctx = ctx;
	in_next(in);
}

void
in_next(struct http_in *in)
{
	http_parser_init(&in->parser, in->type);
	in->parser.data = in;
	in->scan = SCAN_START;
	in->head_bytes = 0;
	in->head_done = 0;
	in->ended = 0;
	in->keep = 0;
	in->in_value = 0;
	in->nfield = 0;
	in->status = 0;
	in->text_len = 0;
	in->head.nfield = 0;
}

void
in_clear(struct http_in *in)
{
	g_free(in->text);
	g_free(in->rest);
	in->text = in->rest = NULL;
	in->rest_len = in->text_cap = 0;
}

int
in_started(const struct http_in *in)
{
	return in->scan != SCAN_START && !in->ended;
}

void
in_hold(struct http_in *in, int on)
{
	in->hold = on;
}

static int
parse_fault(struct http_in *in)
{
	enum http_errno e = HTTP_PARSER_ERRNO(&in->parser);

	if (in->status)
		return -1;
	if (e == HPE_HEADER_OVERFLOW)
		return in_fault(in, 431, HTTP_E_HEAD_SIZE, "head is too large");
	return in_fault(in, 400, HTTP_E_SYNTAX, http_errno_description(e));
}

static ssize_t
execute(struct http_in *in, const char *data, size_t n)
{
	size_t r;

	if (HTTP_PARSER_ERRNO(&in->parser) == HPE_PAUSED)
		http_parser_pause(&in->parser, 0);
	r = http_parser_execute(&in->parser, &in_settings, data, n);
	if (HTTP_PARSER_ERRNO(&in->parser) == HPE_OK ||
	    HTTP_PARSER_ERRNO(&in->parser) == HPE_PAUSED)
		return (ssize_t)r;
	return parse_fault(in);
}

static ssize_t
feed_head(struct http_in *in, const char *data, size_t n)
{
	size_t k = in_scan(in, data, n);

	if (in->scan == SCAN_FOLD)
		return in_fault(in, 400, HTTP_E_SYNTAX,
		    "field folded over lines");
	in->head_bytes += k;
	if (in->head_bytes > in->head_max)
		return in_fault(in, 431, HTTP_E_HEAD_SIZE, "head is too large");
	return execute(in, data, k);
}

static int
feed(struct http_in *in, const char *data, size_t n, size_t *used)
{
	ssize_t r;

	*used = 0;
	while (*used < n && !in->ended && !in->hold) {
		if (in->scan != SCAN_END)
			r = feed_head(in, data + *used, n - *used);
		else
			r = execute(in, data + *used, n - *used);
		if (r < 0)
			return -1;
		*used += (size_t)r;
	}
	return 0;
}

static void
add_rest(struct http_in *in, const char *data, size_t n)
{
	if (!n)
		return;
	in->rest = g_realloc(in->rest, in->rest_len + n);
	memcpy(in->rest + in->rest_len, data, n);
	in->rest_len += n;
}

int
in_feed(struct http_in *in, const void *data, size_t n)
{
	char *rest;
	size_t used;
	int r;

	if (!in->rest_len && !n)
		return 0;
	if (!in->rest_len) {
		r = feed(in, data, n, &used);
		if (r == 0)
			add_rest(in, (const char *)data + used, n - used);
		return r;
	}
	add_rest(in, data, n);
	if (in->ended || in->hold)
		return 0;
	rest = in->rest;
	n = in->rest_len;
	in->rest = NULL;
	in->rest_len = 0;
	r = feed(in, rest, n, &used);
	if (r == 0)
		add_rest(in, rest + used, n - used);
	g_free(rest);
	return r;
}

int
in_eof(struct http_in *in)
{
	if (!in_started(in))
		return 0;
	if (in->head_done && execute(in, NULL, 0) >= 0 && in->ended)
		return 0;
	return in_fault(in, 400, HTTP_E_CLOSED,
	    "closed before the message was whole");
}
