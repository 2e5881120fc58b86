#include "in.h"

#include <string.h>

/* Start of a status line (RFC 9112, 4): v is the minor version, c the class of
 * the status (RFC 9110, 15) and d a digit. */
static const char status_form[] = "HTTP/1.v cdd ";

static int
fits(char form, char c)
{
	switch (form) {
	case 'v':
		return c == '0' || c == '1';
	case 'c':
		return c >= '1' && c <= '5';
	case 'd':
		return c >= '0' && c <= '9';
	default:
		return c == form;
	}
}

/* http-parser takes any number of spaces and digits, and none after them. */
int
in_check_status_line(struct http_in *in, const char *data, size_t n)
{
	size_t i;

	for (i = 0; i < n && status_form[in->status_at]; i++) {
		if (!in->status_at && (data[i] == '\r' || data[i] == '\n'))
			continue;
		if (!fits(status_form[in->status_at], data[i]))
			return in_set_error(in, 400, HTTP_E_SYNTAX,
			    "malformed status line");
		in->status_at++;
	}
	return 0;
}

static const char *
skip_line(const char *p, const char *end)
{
	const char *q = memchr(p, '\n', (size_t)(end - p));

	return q ? q : end;
}

/* http-parser accepts folded fields, which are refused here: a scan before it
 * finds them, and the end of the head. */
size_t
in_scan_head(struct http_in *in, const char *data, size_t n)
{
	const char *p = data, *end = data + n;

	while (p < end && in->scan != SCAN_END) {
		if (in->scan == SCAN_LINE) {
			p = skip_line(p, end);
			if (p == end)
				break;
			in->scan = SCAN_LINE_START;
		} else if (in->scan == SCAN_START) {
			if (*p != '\r' && *p != '\n')
				in->scan = SCAN_LINE;
		} else if (*p == '\n') {
			in->scan = SCAN_END;
		} else if (in->scan == SCAN_LINE_START && *p == '\r') {
			in->scan = SCAN_CR;
		} else if (*p == ' ' || *p == '\t') {
			in->scan = SCAN_FOLD;
			break;
		} else {
			in->scan = SCAN_LINE;
		}
		p++;
	}
	return (size_t)(p - data);
}
