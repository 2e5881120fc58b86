#include "in.h"

#include <string.h>

int
in_set_error(struct http_in *in, int status, int code, const char *text)
{
	in->error_status = status;
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
	in_next_message(in);
}

void
in_next_message(struct http_in *in)
{
	http_parser_init(&in->parser, in->type);
	in->parser.data = in;
	in->scan = SCAN_START;
	in->head_bytes = 0;
	in->status_at = 0;
	in->head_done = 0;
	in->ended = 0;
	in->keep_alive = 0;
	in->in_value = 0;
	in->nfield = 0;
	if (in_text_counted(in))
		in_drop_text(in);
	in->error_status = 0;
	in->text_len = 0;
	in->head.nfield = 0;
}

size_t
in_text_counted(const struct http_in *in)
{
	return in->text_cap > HTTP_TEXT_KEEP_BYTES ? in->text_cap : 0;
}

void
in_drop_text(struct http_in *in)
{
	byte_limit_give(in->text_limit, in_text_counted(in));
	g_free(in->text);
	in->text = NULL;
	in->text_cap = 0;
}

void
in_clear(struct http_in *in)
{
	byte_limit_give(in->call_bytes, in->unparsed_len);
	in_drop_text(in);
	g_free(in->unparsed);
	in->unparsed = NULL;
	in->unparsed_len = 0;
}

int
in_is_partial(const struct http_in *in)
{
	return in->scan != SCAN_START && !in->ended;
}

void
in_pause(struct http_in *in, int on)
{
	in->paused = on;
}

static int
parse_fault(struct http_in *in)
{
	enum http_errno e = HTTP_PARSER_ERRNO(&in->parser);

	if (in->error_status)
		return -1;
	if (e == HPE_HEADER_OVERFLOW)
		return in_set_error(in, 431, HTTP_E_HEAD_SIZE,
		    "head is too large");
	return in_set_error(in, 400, HTTP_E_SYNTAX, http_errno_description(e));
}

static ssize_t
execute(struct http_in *in, const char *data, size_t n)
{
	size_t r;

	if (HTTP_PARSER_ERRNO(&in->parser) == HPE_PAUSED)
		http_parser_pause(&in->parser, 0);
	r = http_parser_execute(&in->parser, &in_parser_settings, data, n);
	in_pass_joined(in);
	if (HTTP_PARSER_ERRNO(&in->parser) == HPE_OK ||
	    HTTP_PARSER_ERRNO(&in->parser) == HPE_PAUSED)
		return (ssize_t)r;
	return parse_fault(in);
}

static ssize_t
feed_head(struct http_in *in, const char *data, size_t n)
{
	size_t k = in_scan_head(in, data, n);

	if (in->scan == SCAN_FOLD)
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "field folded over lines");
	in->head_bytes += k;
	if (in->head_bytes > in->head_max)
		return in_set_error(in, 431, HTTP_E_HEAD_SIZE,
		    "head is too large");
	if (in->type == HTTP_RESPONSE && in_check_status_line(in, data, k) < 0)
		return -1;
	return execute(in, data, k);
}

/* Parses until the message is complete or parsing is paused. */
static int
feed(struct http_in *in, const char *data, size_t n, size_t *used)
{
	ssize_t r;

	*used = 0;
	while (*used < n && !in->ended && !in->paused) {
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
add_unparsed(struct http_in *in, const char *data, size_t n)
{
	if (!n)
		return;
	in->unparsed = g_realloc(in->unparsed, in->unparsed_len + n);
	memcpy(in->unparsed + in->unparsed_len, data, n);
	in->unparsed_len += n;
	byte_limit_take(in->call_bytes, n);
}

int
in_feed(struct http_in *in, const void *data, size_t n)
{
	char *unparsed;
	size_t used;
	int r;

	if (!in->unparsed_len && !n)
		return 0;
	if (!in->unparsed_len) {
		r = feed(in, data, n, &used);
		if (r == 0)
			add_unparsed(in, (const char *)data + used, n - used);
		return r;
	}
	add_unparsed(in, data, n);
	if (in->ended || in->paused)
		return 0;
	unparsed = in->unparsed;
	n = in->unparsed_len;
	byte_limit_give(in->call_bytes, n);
	in->unparsed = NULL;
	in->unparsed_len = 0;
	r = feed(in, unparsed, n, &used);
	if (r == 0)
		add_unparsed(in, unparsed + used, n - used);
	g_free(unparsed);
	return r;
}

int
in_feed_eof(struct http_in *in)
{
	if (!in_is_partial(in))
		return 0;
	if (in->head_done && execute(in, NULL, 0) >= 0 && in->ended)
		return 0;
	return in_set_error(in, 400, HTTP_E_CLOSED,
	    "closed before the message was whole");
}
