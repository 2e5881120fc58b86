#include "in.h"

#include <string.h>

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
