#include "rule.h"

#include <glib.h>
#include <string.h>

static int
method_covers(const char *a, const char *b)
{
	return strcmp(a, "*") == 0 || strcmp(a, b) == 0;
}

/* Length of the prefix before a final "*", or -1 if the path is exact. */
static int
wildcard_prefix_len(const char *path)
{
	size_t n = strlen(path);

	return n > 0 && path[n - 1] == '*' ? (int)n - 1 : -1;
}

static size_t
length_without_final_slash(const char *path)
{
	size_t n = strlen(path);

	return n > 1 && path[n - 1] == '/' ? n - 1 : n;
}

/* Compares without regard to case or a final slash. */
static int
equal_ignoring_case(const char *a, const char *b)
{
	size_t n = length_without_final_slash(a);

	return n == length_without_final_slash(b) &&
	       g_ascii_strncasecmp(a, b, n) == 0;
}

/* Compares without regard to case. A path that equals the prefix but for the
 * prefix's final slash counts as having the prefix. */
static int
has_prefix_ignoring_case(const char *path, const char *prefix, int n)
{
	if (g_ascii_strncasecmp(path, prefix, (gsize)n) == 0)
		return 1;
	return n > 1 && prefix[n - 1] == '/' && (int)strlen(path) == n - 1 &&
	       g_ascii_strncasecmp(path, prefix, (gsize)n - 1) == 0;
}

static int
path_matches(const struct service_rule *r, const char *path)
{
	int n = wildcard_prefix_len(r->path);

	if (n >= 0)
		return r->idempotent
			   ? strncmp(path, r->path, (size_t)n) == 0
			   : has_prefix_ignoring_case(path, r->path, n);
	return r->idempotent ? strcmp(path, r->path) == 0
			     : equal_ignoring_case(path, r->path);
}

int
service_rule_matches(const struct service_rule *r, const char *method,
    const char *path)
{
	return method_covers(r->method, method) && path_matches(r, path);
}

int
service_rule_covers(const struct service_rule *a, const struct service_rule *b)
{
	int n = wildcard_prefix_len(a->path);
	int m = wildcard_prefix_len(b->path);

	if (!method_covers(a->method, b->method))
		return 0;
	if (m < 0)
		return path_matches(a, b->path);
	if (n < 0 || n > m)
		return 0;
	return a->idempotent
		   ? strncmp(a->path, b->path, (size_t)n) == 0
		   : g_ascii_strncasecmp(a->path, b->path, (gsize)n) == 0;
}
