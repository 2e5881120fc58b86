#include "caller.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_US 100000
#define TICKS_PER_S 10
#define RECEIVE_BUFFER 4096 /* bytes that the kernel takes for a caller */
#define STATUS_BYTES 12 /* "HTTP/1.1 200" */
#define BODY_WRITE 16384 /* bytes of an endless body, at once */
#define STATUSES 600

/** struct slow - one connection; @fd is -1 once it ended */
struct slow {
	int fd;
	size_t n; /* bytes received */
	char status[STATUS_BYTES + 1];
};

struct totals {
	int status[STATUSES]; /* answers by status */
	int ended;
	guint64 bytes;
};

static int
open_slow(const struct caller *r)
{
	int size = RECEIVE_BUFFER;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
	if (!connect(fd, (const struct sockaddr *)&r->to, sizeof r->to) &&
	    !fcntl(fd, F_SETFL, O_NONBLOCK))
		return fd;
	close(fd);
	return -1;
}

/* Replaces the end of a head by a field that goes on. */
static char *
unfinished_head(char *head, size_t n)
{
	GString *t = g_string_new(head);

	g_free(head);
	g_string_truncate(t, t->len - strlen("\r\n"));
	g_string_append(t, "X-Long: ");
	while (t->len < n)
		g_string_append_c(t, 'a');
	return g_string_free(t, FALSE);
}

static void
send_head(const struct caller *r, struct slow *s, int i, int deadline_ms)
{
	char *t = g_strdup_printf("%s %s HTTP/1.1\r\nHost: %s\r\n"
				  "X-Attempt-Id: slow%d\r\n"
				  "X-Deadline-Ms: %d\r\n%s\r\n",
	    r->sends_body ? "POST" : "GET", r->path, r->host, i, deadline_ms,
	    r->sends_body ? "Content-Length: 1000000000\r\n" : "");

	if (r->head_bytes)
		t = unfinished_head(t, (size_t)r->head_bytes);
	if (send(s->fd, t, strlen(t), MSG_NOSIGNAL) != (ssize_t)strlen(t)) {
		close(s->fd);
		s->fd = -1;
	}
	g_free(t);
}

static void
note_bytes(struct slow *s, struct totals *t, const char *p, size_t n)
{
	size_t k = s->n < STATUS_BYTES ? MIN(STATUS_BYTES - s->n, n) : 0;
	long status;

	if (k)
		memcpy(s->status + s->n, p, k);
	s->n += n;
	t->bytes += n;
	if (!k || s->n < STATUS_BYTES)
		return;
	status = strtol(s->status + STATUS_BYTES - 3, NULL, 10);
	if (status > 0 && status < STATUSES)
		t->status[status]++;
}

/* Reads at most @max bytes, and the status in any case. */
static void
read_some(struct slow *s, struct totals *t, size_t max)
{
	static char buf[65536];
	ssize_t n;

	while (s->n < STATUS_BYTES || max) {
		n = recv(s->fd, buf,
		    s->n < STATUS_BYTES ? STATUS_BYTES - s->n
					: MIN(max, sizeof buf),
		    0);
		if (n < 0)
			return;
		if (!n) {
			close(s->fd);
			s->fd = -1;
			t->ended++;
			return;
		}
		if (s->n >= STATUS_BYTES)
			max -= MIN(max, (size_t)n);
		note_bytes(s, t, buf, (size_t)n);
	}
}

static void
write_body(struct slow *s)
{
	static const char body[BODY_WRITE];

	while (send(s->fd, body, sizeof body, MSG_NOSIGNAL) > 0)
		;
}

/* Opens connection @i and sends its request; 0 or -1. */
static int
begin(const struct caller *r, const struct slow_way *w, struct slow *s, int i)
{
	s[i].fd = open_slow(r);
	if (s[i].fd < 0)
		return -1;
	send_head(r, &s[i], i, w->deadline_ms);
	return 0;
}

static void
print_totals(const struct totals *t, int connections)
{
	int i;

	printf("connections %d\n", connections);
	for (i = 0; i < STATUSES; i++)
		if (t->status[i])
			printf("status %d: %d\n", i, t->status[i]);
	printf("ended %d\nbytes %" G_GUINT64_FORMAT "\n", t->ended, t->bytes);
}

void
slow_play(const struct caller *r, const struct slow_way *w)
{
	struct slow *s = g_new0(struct slow, w->connections);
	struct totals t = { 0 };
	size_t share = (size_t)(w->bytes_per_s / TICKS_PER_S);
	int i, n = 0, opened = 0;

	while (g_get_monotonic_time() < r->end) {
		for (i = 0; i < w->open_per_s / TICKS_PER_S; i++)
			if (opened < w->connections)
				n += !begin(r, w, s, opened++);
		for (i = 0; i < opened; i++) {
			if (s[i].fd >= 0 && r->sends_body)
				write_body(&s[i]);
			if (s[i].fd >= 0)
				read_some(&s[i], &t, share);
		}
		g_usleep(TICK_US);
	}
	print_totals(&t, n);
	for (i = 0; i < opened; i++)
		if (s[i].fd >= 0)
			close(s[i].fd);
	g_free(s);
}
