#ifndef KQ_TEST_HTTP_NOTES_H
#define KQ_TEST_HTTP_NOTES_H

#include <glib.h>
#include <string.h>

/* Notation of the responses that a caller received, see struct ends_case. */

#define BIG_BYTES (12 << 20) /* more than the sockets hold */

/* Adds the notation of a response's body of one letter to @out. Return: where
 * the next response begins. */
static inline const char *
note_body(GString *out, const char *head, const char *p, const char *end)
{
	const char *field = strstr(head, "Content-Length: ");
	const char *start = p;
	size_t n = 0, left;
	int whole = 0;

	if (field && field < p) {
		n = g_ascii_strtoull(field + 16, NULL, 10);
		left = MIN(n, (size_t)(end - p));
		whole = left == n;
		p += left;
	} else {
		field = strstr(head, "Transfer-Encoding: ");
		start = field && field < p ? strstr(p, "\r\n") + 2 : p;
		field = strstr(p, "\r\n0\r\n\r\n");
		whole = field != NULL;
		p = field ? field + 7 : end;
	}
	g_string_append_c(out, start < end ? *start : '?');
	for (left = 0; left < n && whole; left++)
		whole = start[left] == *start;
	if (!whole)
		g_string_append_c(out, '/');
	else if (n == BIG_BYTES)
		g_string_append_c(out, '*');
	return p;
}

/* Notation of responses received, and of how the connection ended, to be freed.
 */
static inline char *
note_received(const GString *received, char how)
{
	const char *p = received->str, *end = p + received->len;
	const char *head, *outcome;
	GString *out = g_string_new(NULL);

	while ((head = p) < end && (p = strstr(p, "\r\n\r\n"))) {
		p += 4;
		if (!strncmp(head, "HTTP/1.1 100", 12)) {
			g_string_append_c(out, '+');
			continue;
		}
		if (!strncmp(head, "HTTP/1.1 200", 12)) {
			p = note_body(out, head, p, end);
			continue;
		}
		outcome = strstr(head, "Kumquatrock-Outcome: ");
		g_string_append_len(out, head + 9, 3);
		g_string_append_c(out, outcome ? outcome[21] : '?');
		p = strchr(p, '\n');
		p = p ? p + 1 : end;
	}
	if (how)
		g_string_append_c(out, how);
	return g_string_free(out, FALSE);
}

#endif
