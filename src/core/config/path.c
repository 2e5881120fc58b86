#include "rule.h"

#include <string.h>

/* Whether the segment at @s, after a slash, is ".", "..", or empty with another
 * segment after it. */
static int
segment_is_dots_or_empty(const char *s)
{
	size_t n = strcspn(s, "/");

	if (n == 0)
		return s[0] == '/';
	return (n == 1 && s[0] == '.') ||
	       (n == 2 && s[0] == '.' && s[1] == '.');
}

int
service_path_canonical(const char *path)
{
	const char *p;

	if (path[0] != '/')
		return 0;
	for (p = path; *p; p++) {
		if (*p <= ' ' || *p > '~' || strchr("%;\\#", *p))
			return 0;
		if (*p == '/' && segment_is_dots_or_empty(p + 1))
			return 0;
	}
	return 1;
}
