#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "io.h"
#include "planned.h"

#define GIVE_UP_US 400000 /* after the deadline */
#define SLOW_READ_BYTES 25000
#define SLOW_READ_US 50000
#define LENGTH_NONE (-1)
#define LENGTH_CHUNKED (-2)

/* Receives more bytes; 0, or -1 at the end of the connection or at @end. */
static int
receive(struct conn *c, int64_t end)
{
	int64_t left = end - io_clock();
	struct timeval t = { left / G_USEC_PER_SEC, left % G_USEC_PER_SEC };
	size_t room = sizeof c->in - 1 - c->n;
	ssize_t n;

	if (left <= 0 || !room)
		return -1;
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
	n = recv(c->fd, c->in + c->n, room, 0);
	if (n <= 0)
		return -1;
	c->n += (size_t)n;
	c->in[c->n] = '\0';
	return 0;
}

static void
drop(struct conn *c, size_t n)
{
	memmove(c->in, c->in + n, c->n - n + 1);
	c->n -= n;
}

/* Copies the value of a field of the head; an empty string without it. */
static void
head_field(const char *head, const char *name, char *value, size_t size)
{
	char *key = g_strdup_printf("\r\n%s: ", name);
	const char *at = strcasestr(head, key);

	*value = '\0';
	if (at) {
		at += strlen(key);
		g_strlcpy(value, at, MIN(size, strcspn(at, "\r") + 1));
	}
	g_free(key);
}

/* Drops a response that is an interim one, which comes only to a caller that
 * ended its sending side; Return: whether it was one */
static int
drop_interim(struct conn *c, const char *head_end)
{
	if (!c->half_closes || !g_str_has_prefix(c->in, "HTTP/1.1 100 "))
		return 0;
	drop(c, (size_t)(head_end - c->in) + 4);
	return 1;
}

/* Reads a head; the length of the body, LENGTH_CHUNKED, or LENGTH_NONE if there
 * is no whole head or one that isn't an answer with a length. */
static int64_t
read_head(struct conn *c, const struct request *r, struct answer *a,
    int64_t end)
{
	char value[ID_MAX], *head_end;
	int64_t length = 0;

	do {
		while (!(head_end = strstr(c->in, "\r\n\r\n")))
			if (receive(c, end))
				return LENGTH_NONE;
	} while (drop_interim(c, head_end));
	head_end[2] = '\0';
	if (strncmp(c->in, "HTTP/1.1 ", 9) != 0)
		a->outcome = OUTCOME_BAD;
	a->status = (int)strtol(c->in + 9, NULL, 10);
	head_field(c->in, "X-Server-Signature", value, sizeof value);
	a->is_signed = *value != '\0';
	head_field(c->in, "X-Attempt-Id", value, sizeof value);
	if (*value && strcmp(value, r->id) != 0)
		a->outcome = OUTCOME_BAD;
	head_field(c->in, "Connection", value, sizeof value);
	a->closes = !g_ascii_strcasecmp(value, "close");
	head_field(c->in, "Retry-After", value, sizeof value);
	a->retry_after_ms = (int)(g_ascii_strtod(value, NULL) * 1000);
	head_field(c->in, "Content-Length", value, sizeof value);
	length = *value ? strtoll(value, NULL, 10) : LENGTH_NONE;
	head_field(c->in, "Transfer-Encoding", value, sizeof value);
	if (!g_ascii_strcasecmp(value, "chunked"))
		length = LENGTH_CHUNKED;
	else if (length < 0 || (a->status / 100 == 2 && length != r->bytes))
		a->outcome = OUTCOME_BAD;
	drop(c, (size_t)(head_end - c->in) + 4);
	return length;
}

/* Compares received bytes with the target's body, the id and a newline over and
 * over. */
static int
is_body(const struct conn *c, const struct request *r, int64_t at, size_t n)
{
	size_t i, k = strlen(r->id) + 1;
	char expected;

	for (i = 0; i < n; i++) {
		expected = r->id[((size_t)at + i) % k];
		if (c->in[i] != (expected ? expected : '\n'))
			return 0;
	}
	return 1;
}

/* Reads bytes of a body up to the position @to; 0, or -1 if they are not
 * complete. */
static int
read_bytes(struct conn *c, const struct request *r, struct answer *a,
    int64_t at, int64_t to, int64_t end)
{
	int64_t paused = at;
	size_t n;

	while (at < to) {
		if (!c->n && receive(c, end))
			return -1;
		n = MIN(c->n, (size_t)(to - at));
		if (a->status / 100 == 2 && !is_body(c, r, at, n))
			a->outcome = OUTCOME_BAD;
		drop(c, n);
		at += (int64_t)n;
		if (c->way == WAY_SLOW_READER &&
		    at - paused > SLOW_READ_BYTES) {
			g_usleep(SLOW_READ_US);
			paused = at;
		}
	}
	return 0;
}

/* Reads a line into @t without its end; 0, or -1 if it is not complete. */
static int
read_line(struct conn *c, char *t, size_t size, int64_t end)
{
	char *line_end;

	while (!(line_end = strstr(c->in, "\r\n")))
		if (receive(c, end))
			return -1;
	*line_end = '\0';
	g_strlcpy(t, c->in, size);
	drop(c, (size_t)(line_end - c->in) + 2);
	return 0;
}

/* Reads a body in chunks and the trailer; 0, or -1 if it is not complete. */
static int
read_chunks(struct conn *c, const struct request *r, struct answer *a,
    int64_t end)
{
	char line[ID_MAX], *rest;
	int64_t at = 0, n;

	for (;;) {
		if (read_line(c, line, sizeof line, end))
			return -1;
		n = strtoll(line, &rest, 16);
		if (rest == line || n < 0)
			a->outcome = OUTCOME_BAD;
		if (n <= 0)
			break;
		if (read_bytes(c, r, a, at, at + n, end) ||
		    read_line(c, line, sizeof line, end))
			return -1;
		if (*line)
			a->outcome = OUTCOME_BAD;
		at += n;
	}
	if (a->status / 100 == 2 && at != r->bytes)
		a->outcome = OUTCOME_BAD;
	do
		if (read_line(c, line, sizeof line, end))
			return -1;
	while (*line);
	return 0;
}

static int
read_body(struct conn *c, const struct request *r, struct answer *a,
    int64_t length, int64_t end)
{
	if (length == LENGTH_CHUNKED)
		return read_chunks(c, r, a, end);
	return length < 0 ? -1 : read_bytes(c, r, a, 0, length, end);
}

void
answer_read(struct conn *c, const struct request *r, struct answer *a)
{
	int64_t end = r->start + r->limit_ms * INT64_C(1000) + GIVE_UP_US;
	int64_t length;

	if (r->patience_ms)
		end = r->start + r->patience_ms * INT64_C(1000);

	memset(a, 0, sizeof *a);
	length = read_head(c, r, a, end);
	if (!read_body(c, r, a, length, end))
		return;
	if (a->outcome == OUTCOME_BAD)
		return;
	a->outcome = io_clock() >= end ? OUTCOME_LATE : OUTCOME_CUT;
}

const char *
answer_outcome_name(enum outcome o)
{
	static const char *const names[] = { "whole", "cut", "bad", "behind",
		"late" };

	return names[o];
}
