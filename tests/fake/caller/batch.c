#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller.h"

#define RECEIVE_BUFFER 16384 /* of the socket, bytes */
#define READ_BYTES 8192
#define TIMEOUT_S 8
#define LAST_CHUNK "\r\n0\r\n\r\n"

static int
open_slow(const struct batch *p)
{
	struct timeval t = { TIMEOUT_S, 0 };
	int bytes = RECEIVE_BUFFER, fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
	if (!connect(fd, (const struct sockaddr *)&p->to, sizeof p->to))
		return fd;
	close(fd);
	return -1;
}

static int
send_batch(const struct batch *p, int fd)
{
	GString *t = g_string_new(NULL);
	int i, bad;

	for (i = 0; i < BATCH_MAX && p->host[i]; i++)
		g_string_append_printf(t, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
		    p->path, p->host[i]);
	bad = send(fd, t->str, t->len, MSG_NOSIGNAL) != (ssize_t)t->len;
	g_string_free(t, TRUE);
	return bad ? -1 : 0;
}

/* Length of the whole answer at @at, with a length or in chunks, 0 if it is not
 * whole; its status. */
static size_t
whole_answer(const GString *in, size_t at, int *status)
{
	const char *start = in->str + at, *body, *field, *end;
	size_t n;

	*status = 0;
	body = at < in->len ? strstr(start, "\r\n\r\n") : NULL;
	if (!body)
		return 0;
	*status = (int)g_ascii_strtoull(start + 9, NULL, 10);
	field = strcasestr(start, "Content-Length:");
	if (!field || field > body) {
		end = strstr(body, LAST_CHUNK);
		return end ? (size_t)(end - start) + strlen(LAST_CHUNK) : 0;
	}
	n = (size_t)(body + 4 - start);
	n += g_ascii_strtoull(field + 15, NULL, 10);
	return at + n <= in->len ? n : 0;
}

static int
all_whole(const struct batch *p, const GString *in)
{
	size_t at = 0, n;
	int i, status;

	for (i = 0; i < BATCH_MAX && p->host[i]; i++) {
		n = whole_answer(in, at, &status);
		if (!n)
			return 0;
		at += n;
	}
	return 1;
}

/* Reads as slowly as the batch says until all answers are whole or the
 * connection ends. */
static void
read_batch(const struct batch *p, int fd, GString *in)
{
	gulong pause =
	    (READ_BYTES / 1024) * (gulong)G_USEC_PER_SEC / (gulong)p->kb_per_s;
	char b[READ_BYTES];
	ssize_t n;

	while (!all_whole(p, in)) {
		n = recv(fd, b, sizeof b, 0);
		if (n <= 0)
			return;
		g_string_append_len(in, b, n);
		g_usleep(pause);
	}
}

static void
count_batch(const GString *in, struct batch_counts *n)
{
	size_t at = 0, length = 1;
	int i, status;

	for (i = 0; i < BATCH_MAX && length; i++) {
		length = whole_answer(in, at, &status);
		n->whole[i] += length && status == 200;
		n->error[i] += length && status != 200;
		n->cut[i] += !length && status;
		at += length;
	}
}

int
batch_play(const struct batch *p, struct batch_counts *n)
{
	GString *in;
	int fd = open_slow(p);

	if (fd < 0)
		return -1;
	in = g_string_new(NULL);
	if (!send_batch(p, fd))
		read_batch(p, fd, in);
	count_batch(in, n);
	n->batches++;
	g_string_free(in, TRUE);
	close(fd);
	return 0;
}
