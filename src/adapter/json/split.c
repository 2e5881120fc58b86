#include "json.h"

#include <string.h>

static int
is_blank(char c)
{
	return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

static const char *
skip_blank(const char *at, const char *end)
{
	while (at < end && is_blank(*at))
		at++;
	return at;
}

/* Returns the end of the string that begins at @at, or NULL. */
static const char *
skip_string(const char *at, const char *end)
{
	for (at++; at < end; at++) {
		if (*at == '"')
			return at + 1;
		if (*at == '\\')
			at++;
	}
	return NULL;
}

/* Returns the end of the array or object that begins at @at, or NULL. */
static const char *
skip_container(const char *at, const char *end)
{
	size_t depth = 0;

	while (at < end) {
		if (*at == '"') {
			at = skip_string(at, end);
			if (!at)
				return NULL;
			continue;
		}
		if (*at == '{' || *at == '[')
			depth++;
		else if ((*at == '}' || *at == ']') && --depth == 0)
			return at + 1;
		at++;
	}
	return NULL;
}

static const char *
skip_value(const char *at, const char *end)
{
	const char *from = at;

	if (at == end)
		return NULL;
	if (*at == '"')
		return skip_string(at, end);
	if (*at == '{' || *at == '[')
		return skip_container(at, end);
	while (at < end && !is_blank(*at) && !strchr(",:]}", *at))
		at++;
	return at > from ? at : NULL;
}

int
json_scan_start(struct json_scan *s, struct json_span v)
{
	const char *end = v.text + v.n;

	s->at = skip_blank(v.text, end);
	s->end = end;
	if (s->at == end || (*s->at != '{' && *s->at != '['))
		return -1;
	s->is_object = *s->at++ == '{';
	s->first = 1;
	return 0;
}

/* Moves behind the key of a member; 0 or -1. */
static int
scan_key(struct json_scan *s, struct json_span *key)
{
	const char *from = s->at, *to;

	to = from < s->end && *from == '"' ? skip_string(from, s->end) : NULL;
	if (!to)
		return -1;
	*key = (struct json_span){ from + 1, (size_t)(to - from) - 2 };
	s->at = skip_blank(to, s->end);
	if (s->at == s->end || *s->at != ':')
		return -1;
	s->at = skip_blank(s->at + 1, s->end);
	return 0;
}

int
json_scan_next(struct json_scan *s, struct json_span *key,
    struct json_span *value)
{
	const char *to;

	s->at = skip_blank(s->at, s->end);
	if (s->at == s->end)
		return -1;
	if (*s->at == (s->is_object ? '}' : ']'))
		return 0;
	if (!s->first) {
		if (*s->at != ',')
			return -1;
		s->at = skip_blank(s->at + 1, s->end);
	}
	s->first = 0;
	*key = (struct json_span){ "", 0 };
	if (s->is_object && scan_key(s, key))
		return -1;
	to = skip_value(s->at, s->end);
	if (!to)
		return -1;
	*value = (struct json_span){ s->at, (size_t)(to - s->at) };
	s->at = to;
	return 1;
}

int
json_scan_find(struct json_span object, const char *key,
    struct json_span *value)
{
	struct json_scan s;
	struct json_span k;

	if (json_scan_start(&s, object) || !s.is_object)
		return 0;
	while (json_scan_next(&s, &k, value) == 1)
		if (k.n == strlen(key) && !memcmp(k.text, key, k.n))
			return 1;
	return 0;
}

void
json_append_readable(GString *out, struct json_span object,
    const char *const *keys)
{
	struct json_span v;
	struct json *j;
	int n = 0;

	g_string_append_c(out, '{');
	for (; *keys; keys++) {
		if (!json_scan_find(object, *keys, &v))
			continue;
		j = json_read(v.text, v.n, NULL);
		if (!j)
			continue;
		json_free(j);
		g_string_append_printf(out, "%s\"%s\":", n++ ? "," : "", *keys);
		g_string_append_len(out, v.text, (gssize)v.n);
	}
	g_string_append_c(out, '}');
}
