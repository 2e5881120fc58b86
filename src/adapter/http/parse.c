#include "in.h"

#include <string.h>

#define TEXT_FIRST_BYTES 512

static void
add_text(struct http_in *in, const char *p, size_t n)
{
	size_t cap = in->text_cap ? in->text_cap : TEXT_FIRST_BYTES;

	while (cap - in->text_len < n)
		cap *= 2;
	if (cap != in->text_cap) {
		byte_limit_give(in->text_limit, in_text_counted(in));
		in->text = g_realloc(in->text, cap);
		in->text_cap = cap;
		byte_limit_take(in->text_limit, in_text_counted(in));
	}
	memcpy(in->text + in->text_len, p, n);
	in->text_len += n;
}

static int
on_url(http_parser *p, const char *at, size_t n)
{
	add_text(p->data, at, n);
	return 0;
}

static int
on_field(http_parser *p, const char *at, size_t n)
{
	struct http_in *in = p->data;

	if (in->head_done)
		return 0; /* trailer fields are dropped */
	if (memchr(at, ' ', n))
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "space in a field name");
	if (in->in_value || !in->nfield) {
		if (in->nfield == HTTP_FIELDS_MAX)
			return in_set_error(in, 431, HTTP_E_FIELDS,
			    "too many fields");
		add_text(in, "", 1);
		in->name_at[in->nfield++] = (uint32_t)in->text_len;
		in->in_value = 0;
	}
	add_text(in, at, n);
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t n)
{
	struct http_in *in = p->data;

	if (in->head_done)
		return 0;
	if (!in->in_value) {
		add_text(in, "", 1);
		in->value_at[in->nfield - 1] = (uint32_t)in->text_len;
		in->in_value = 1;
	}
	add_text(in, at, n);
	return 0;
}

static void
trim(char *s)
{
	size_t n = strlen(s);

	while (n > 0 && (s[n - 1] == ' ' || s[n - 1] == '\t'))
		s[--n] = '\0';
}

static void
fill_head(struct http_in *in)
{
	struct http_head *h = &in->head;
	int i;

	add_text(in, "", 1);
	h->method = h->path = NULL;
	h->status = 0;
	if (in->type == HTTP_REQUEST) {
		h->method = http_method_str(in->parser.method);
		h->path = in->text;
	} else {
		h->status = (int)in->parser.status_code;
	}
	h->nfield = in->nfield;
	for (i = 0; i < in->nfield; i++) {
		h->field[i].name = in->text + in->name_at[i];
		h->field[i].value = in->text + in->value_at[i];
		trim(in->text + in->value_at[i]);
	}
}

static int
on_head(http_parser *p)
{
	struct http_in *in = p->data;
	int r;

	fill_head(in);
	if (in_check_head(in) < 0)
		return -1;
	in->head_done = 1;
	p->upgrade = 0; /* not supported: read as a plain request */
	r = in->ops->head(in->ctx, in);
	if (in->paused)
		http_parser_pause(p, 1);
	return r;
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	struct http_in *in = p->data;

	if (p->flags & F_CHUNKED)
		in_join_body(in, at, n);
	else
		in->ops->body(in->ctx, at, n);
	if (in->paused)
		http_parser_pause(p, 1);
	return 0;
}

/* Before the last chunk, so that the user can still pause: the end of the
 * message comes after that. */
static int
on_chunk(http_parser *p)
{
	struct http_in *in = p->data;

	if (p->content_length)
		return 0;
	in_pass_joined(in);
	if (in->paused)
		http_parser_pause(p, 1);
	return 0;
}

static int
on_end(http_parser *p)
{
	struct http_in *in = p->data;

	in->ended = 1;
	in->keep_alive = http_should_keep_alive(p) && p->http_minor == 1;
	in->ops->end(in->ctx);
	http_parser_pause(p, 1);
	return 0;
}

const http_parser_settings in_parser_settings = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_chunk_header = on_chunk,
	.on_message_complete = on_end,
};
