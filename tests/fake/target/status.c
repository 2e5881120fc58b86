#include "target.h"

/* Status lines that the protocol doesn't have, in the place of "200 OK". The
 * last three follow an interim answer, or are one. */
static const char *const odd_lines[] = {
	"HTTP/1.1 000 None",
	"HTTP/1.1 000",
	"HTTP/1.1 099 Low",
	"HTTP/1.1 0200 OK",
	"HTTP/1.1 00200 OK",
	"HTTP/1.1 20 OK",
	"HTTP/1.1 600 High",
	"HTTP/1.1 999 High",
	"HTTP/1.1 1000 High",
	"HTTP/1.1 2000 OK",
	"HTTP/1.1 -200 OK",
	"HTTP/1.1 +200 OK",
	"HTTP/1.1 200",
	"HTTP/1.1 200OK",
	"HTTP/1.1  200 OK",
	"HTTP/1.1 OK",
	"HTTP/1.1",
	"HTTP/1.2 200 OK",
	"HTTP/1.01 200 OK",
	"HTTP/2.0 200 OK",
	"HTTP/1.1 101 Switch",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0200 OK",
	"HTTP/1.1 0100 Continue\r\n\r\nHTTP/1.1 200 OK",
	"HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK",
};

const char *
status_line(struct target *t)
{
	long kind = t->knobs.status_kind;

	if (t->knobs.status_next <= 0 || kind < 1 ||
	    kind > (long)G_N_ELEMENTS(odd_lines))
		return NULL;
	t->knobs.status_next--;
	return odd_lines[kind - 1];
}
