#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller.h"

#define TIMEOUT_S 8
#define READ_BYTES 8192
#define MS_US 1000
#define INTERIM "HTTP/1.1 1"

/** struct half_counts - requests after which the sending side was ended, and
 * their answers */
struct half_counts {
	int sent;
	int whole; /* with status 200 */
	int error; /* whole ones with another */
	int interim;
};

static int
open_connection(const struct caller *r)
{
	struct timeval t = { TIMEOUT_S, 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
	if (!connect(fd, (const struct sockaddr *)&r->to, sizeof r->to))
		return fd;
	close(fd);
	return -1;
}

static int
send_requests(struct caller *r, int fd, const struct half_way *w, int n)
{
	GString *t = g_string_new(NULL);
	int i, bad;

	for (i = 0; i < n; i++)
		g_string_append_printf(t,
		    "%s %s HTTP/1.%d\r\nHost: %s\r\n"
		    "X-Attempt-Id: half%d\r\nX-Deadline-Ms: %d\r\n%s\r\n",
		    w->method, r->path, !w->is_http10, r->host,
		    g_atomic_int_add(&r->next_id, 1), w->deadline_ms,
		    strcmp(w->method, "POST") ? "" : "Content-Length: 0\r\n");
	bad = send(fd, t->str, t->len, MSG_NOSIGNAL) != (ssize_t)t->len;
	g_string_free(t, TRUE);
	return bad ? -1 : 0;
}

/* Length of the first answer if it is whole, else 0. */
static size_t
answer_length(const GString *in)
{
	const char *body = strstr(in->str, "\r\n\r\n");
	const char *field = strcasestr(in->str, "\r\nContent-Length:");
	size_t n;

	if (!body)
		return 0;
	n = (size_t)(body + 4 - in->str);
	if (field && field < body)
		n += g_ascii_strtoull(field + 17, NULL, 10);
	return n <= in->len ? n : 0;
}

/* Reads @n whole answers; Return: 0, or -1 if the connection ended before. */
static int
read_answers(int fd, GString *in, int n, struct half_counts *k)
{
	char b[READ_BYTES];
	size_t length;
	ssize_t r;

	while (n) {
		length = answer_length(in);
		if (!length) {
			r = recv(fd, b, sizeof b, 0);
			if (r <= 0)
				return -1;
			g_string_append_len(in, b, r);
			continue;
		}
		if (g_str_has_prefix(in->str, INTERIM)) {
			k->interim++;
		} else {
			n--;
			if (!strncmp(in->str + 9, "200", 3))
				k->whole++;
			else
				k->error++;
		}
		g_string_erase(in, 0, (gssize)length);
	}
	return 0;
}

/* Reads what comes for some time, so that the socket is not reset when it is
 * closed. */
static void
drop_input(int fd, int ms)
{
	gint64 end = g_get_monotonic_time() + ms * (gint64)MS_US;
	char b[READ_BYTES];

	do {
		g_usleep(MS_US);
		while (recv(fd, b, sizeof b, MSG_DONTWAIT) > 0)
			;
	} while (g_get_monotonic_time() < end);
}

static void
play(struct caller *r, int fd, const struct half_way *w, struct half_counts *k)
{
	GString *in = g_string_new(NULL);
	struct half_counts kept = { 0 };

	if ((!w->is_kept || (!send_requests(r, fd, w, 1) &&
				!read_answers(fd, in, 1, &kept))) &&
	    !send_requests(r, fd, w, w->requests)) {
		k->sent += w->requests;
		g_usleep((gulong)w->pause_ms * MS_US);
		if (!w->leaves) {
			shutdown(fd, SHUT_WR);
			read_answers(fd, in, w->requests, k);
		} else if (w->reads_ms) {
			shutdown(fd, SHUT_WR);
			drop_input(fd, w->reads_ms);
		}
	}
	g_string_free(in, TRUE);
}

void
half_play(struct caller *r, const struct half_way *w)
{
	struct half_counts k = { 0 };
	int i, fd;

	for (i = 0; i < w->connections; i++) {
		fd = open_connection(r);
		if (fd < 0)
			continue;
		play(r, fd, w, &k);
		close(fd);
	}
	printf("sent %d whole %d error %d interim %d\n", k.sent, k.whole,
	    k.error, k.interim);
}
