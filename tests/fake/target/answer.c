#include "target.h"

#include <string.h>

#define HEAD_MAX 2048 /* bytes with the final NUL */

static void
append_status(struct conn *c, int status, const char *line)
{
	char b[FIELD_MAX];

	if (!line) {
		g_snprintf(b, sizeof b, "HTTP/1.1 %d %s", status,
		    http_status_str(status));
		line = b;
	}
	g_byte_array_append(c->out, (const guint8 *)line, (guint)strlen(line));
	g_byte_array_append(c->out, (const guint8 *)"\r\n", 2);
}

static void
append_fields(struct conn *c, int status, const char *fields, int64_t length)
{
	char b[HEAD_MAX];
	GString *own = g_string_new(NULL);
	int n;

	if (c->target->users)
		users_fields(c, own, status);
	c->state = CONN_ANSWERING;
	c->body_stop = -1;
	c->body_left = length;
	n = g_snprintf(b, sizeof b, "%s%s%s", fields, own->str,
	    c->close_after ? "Connection: close\r\n" : "");
	g_string_free(own, TRUE);
	g_byte_array_append(c->out, (const guint8 *)b, (guint)n);
	if (c->chunked)
		n = g_snprintf(b, sizeof b,
		    "Transfer-Encoding: chunked\r\n\r\n");
	else
		n = g_snprintf(b, sizeof b,
		    "Content-Length: %" G_GINT64_FORMAT "\r\n\r\n", length);
	g_byte_array_append(c->out, (const guint8 *)b, (guint)n);
}

void
answer_text(struct conn *c, int status, const char *fields, const char *text)
{
	c->chunked = 0;
	append_status(c, status, NULL);
	append_fields(c, status, fields, (int64_t)strlen(text));
	c->body_left = 0;
	g_byte_array_append(c->out, (const guint8 *)text, (guint)strlen(text));
	conn_flush(c);
}

/* The next body bytes: at most @max, and at most up to the pattern's end. */
static size_t
next_bytes(struct conn *c, size_t max, const char **b)
{
	size_t n = MIN(strlen(c->pattern) - c->pattern_at, max);

	*b = c->pattern + c->pattern_at;
	c->pattern_at = (c->pattern_at + n) % strlen(c->pattern);
	return n;
}

/* Digest of the whole body; sets the pattern back to its start. */
static void
digest_body(struct conn *c, int64_t length, GChecksum *sum)
{
	const char *b;
	size_t n;

	while (length > 0) {
		n = next_bytes(c, (size_t)length, &b);
		g_checksum_update(sum, (const guchar *)b, (gssize)n);
		length -= (int64_t)n;
	}
	c->pattern_at = 0;
}

/* Fields of an answer with a body of @length bytes; no digest of it, which
 * takes a millisecond for some 250 kB, where the path has digest=0. */
static void
format_fields(struct conn *c, const char *key, int64_t length, char *b,
    size_t size)
{
	GChecksum *sum;
	size_t n;

	n = (size_t)g_snprintf(b, size,
	    "Call-Key: %s\r\nRequest-Digest: %s\r\n", key,
	    g_checksum_get_string(c->digest));
	if (!path_number(c, "digest", 1))
		return;
	sum = g_checksum_new(G_CHECKSUM_SHA256);
	digest_body(c, length, sum);
	g_snprintf(b + n, size - n, "Body-Digest: %s\r\n",
	    g_checksum_get_string(sum));
	g_checksum_free(sum);
}

/* Key that the answer names: the request's, or another under the knob wrong. */
static const char *
answer_key(struct conn *c)
{
	if (c->target->knobs.wrong > 0) {
		c->target->knobs.wrong--;
		return "another";
	}
	return *c->key ? c->key : "-";
}

void
answer_call(struct conn *c)
{
	struct target *t = c->target;
	const char *key = answer_key(c);
	int64_t length = path_number(c, "bytes", t->knobs.body_bytes);
	char fields[HEAD_MAX / 2];

	if (t->knobs.flood > 0 && strstr(c->path, "/flood/")) {
		flood_start(c);
		return;
	}
	g_snprintf(c->pattern, sizeof c->pattern, "%s\n", key);
	c->pattern_at = 0;
	format_fields(c, key, length, fields, sizeof fields);
	c->chunked = t->knobs.chunked != 0;
	append_status(c, 200, status_line(t));
	append_fields(c, 200, fields, length);
	if (t->knobs.stop_next > 0) {
		t->knobs.stop_next--;
		c->stop_left = t->knobs.stop_at;
		if (t->knobs.stop_at < (long)c->out->len + length)
			job_log(c, "broke");
	}
	if (t->knobs.cut > 0) {
		t->knobs.cut--;
		c->body_stop = c->body_left / 2;
		if (c->body_stop > 0)
			job_log(c, "broke");
	}
	if (path_number(c, "breaks", 0)) {
		job_log(c, "broke");
		c->body_stop = c->body_left / 2;
	}
	answer_fill(c); /* so that head and body are sent together */
	second_prepare(c, fields);
	/* not into the middle of a long body */
	if (c->second && t->knobs.second_kind == SECOND_AT_ONCE &&
	    c->body_left == 0) {
		g_byte_array_append(c->out, (const guint8 *)c->second->str,
		    (guint)c->second->len);
		g_string_free(c->second, TRUE);
		c->second = NULL;
	}
	conn_flush(c);
}

static void
append_chunk_size(struct conn *c, int64_t n)
{
	char line[16];
	int k;

	k = g_snprintf(line, sizeof line, "%x\r\n", (unsigned)n);
	g_byte_array_append(c->out, (const guint8 *)line, (guint)k);
}

int
answer_fill(struct conn *c)
{
	int64_t want =
	    MIN(c->body_left - MAX(c->body_stop, 0), (int64_t)WRITE_AHEAD);
	int ends_chunk = c->chunked && (want > 0 || c->body_left == 0);
	const char *b;
	size_t n;

	if (c->flood) {
		flood_fill(c);
		return 1;
	}
	if (ends_chunk)
		append_chunk_size(c, want);
	if (want == 0)
		c->chunked = 0;
	c->body_left -= want;
	while (want > 0) {
		n = next_bytes(c, (size_t)want, &b);
		g_byte_array_append(c->out, (const guint8 *)b, (guint)n);
		want -= (int64_t)n;
	}
	if (ends_chunk)
		g_byte_array_append(c->out, (const guint8 *)"\r\n", 2);
	return c->out->len > 0;
}
