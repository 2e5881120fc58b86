#include "in.h"

#include <string.h>
#include <strings.h>

#define LENGTH_DIGITS_MAX 18

const char *
http_head_find(const struct http_head *h, const char *name)
{
	int i;

	for (i = 0; i < h->nfield; i++)
		if (!strcasecmp(h->field[i].name, name))
			return h->field[i].value;
	return NULL;
}

int
http_no_body(int status)
{
	return status < 200 || status == 204 || status == 304;
}

static int
read_length(struct http_in *in, const char *s)
{
	int64_t n = 0;

	if (!*s || strspn(s, "0123456789") != strlen(s))
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "Content-Length is not a number");
	if (strlen(s) > LENGTH_DIGITS_MAX)
		return in_set_error(in, 413, HTTP_E_SYNTAX,
		    "body is too large");
	while (*s)
		n = n * 10 + (*s++ - '0');
	if (n > HTTP_LENGTH_MAX)
		return in_set_error(in, 413, HTTP_E_SYNTAX,
		    "body is too large");
	in->head.length = n;
	return 0;
}

struct framing {
	int nlength;
	int nencoding;
	int nhost;
	const char *length;
	const char *encoding;
};

static void
find_framing(const struct http_head *h, struct framing *f)
{
	int i;

	for (i = 0; i < h->nfield; i++) {
		if (!strcasecmp(h->field[i].name, "Content-Length")) {
			f->nlength++;
			f->length = h->field[i].value;
		} else if (!strcasecmp(h->field[i].name, "Transfer-Encoding")) {
			f->nencoding++;
			f->encoding = h->field[i].value;
		} else if (!strcasecmp(h->field[i].name, "Host")) {
			f->nhost++;
		}
	}
}

static int
check_request(struct http_in *in, const struct framing *f)
{
	if (in->parser.method == HTTP_CONNECT)
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "CONNECT is not served");
	if (f->nhost > 1)
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "more than one Host field");
	return 0;
}

static int
check_lengths(struct http_in *in, const struct framing *f)
{
	if (f->nlength && f->nencoding)
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "both Content-Length and Transfer-Encoding");
	if (f->nlength > 1)
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "more than one Content-Length field");
	if (f->nencoding > 1 ||
	    (f->nencoding && strcasecmp(f->encoding, "chunked") != 0))
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "Transfer-Encoding other than chunked");
	if (f->nencoding && !in->parser.http_minor)
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "Transfer-Encoding in HTTP/1.0");
	return 0;
}

int
in_check_head(struct http_in *in)
{
	struct framing f = { 0 };

	if (in->parser.http_major != 1 || in->parser.http_minor > 1)
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "version is neither HTTP/1.1 nor HTTP/1.0");
	find_framing(&in->head, &f);
	if (check_lengths(in, &f) < 0)
		return -1;
	if (in->type == HTTP_REQUEST && check_request(in, &f) < 0)
		return -1;
	if (f.nlength)
		return read_length(in, f.length);
	/* the body of a response with neither field ends when the connection
	 * closes */
	in->head.length = HTTP_LENGTH_CHUNKED;
	if (!f.nencoding &&
	    (in->type == HTTP_REQUEST || http_no_body(in->head.status)))
		in->head.length = HTTP_LENGTH_NONE;
	return 0;
}
