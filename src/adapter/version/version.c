#include "version.h"

#include <http_parser.h>
#include <libsoup/soup.h>
#include <sodium.h>
#include <stdio.h>

#ifndef KQ_COMMIT
#define KQ_COMMIT \
	"unknown" /* the build passes it where there is a repository */
#endif

void
version_print(const char *program)
{
	unsigned long p = http_parser_version();

	printf("%s %s, commit %s\n", program, KQ_VERSION, KQ_COMMIT);
	printf("GLib %u.%u.%u, libsoup %u.%u.%u, libsodium %s, "
	       "http-parser %lu.%lu.%lu\n",
	    glib_major_version, glib_minor_version, glib_micro_version,
	    soup_get_major_version(), soup_get_minor_version(),
	    soup_get_micro_version(), sodium_version_string(), p >> 16 & 255,
	    p >> 8 & 255, p & 255);
}
