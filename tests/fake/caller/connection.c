#include "caller.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PIPELINED 3 /* requests at once */
#define KEPT_MAX 4 /* requests on a connection one after the other */
#define PAUSE_MAX_US 50000
#define ANSWER_MAX 65536 /* bytes of a head and its body */
#define TIMEOUT_S 8

/** struct connection - @in holds bytes received and not yet used */
struct connection {
	struct caller *caller;
	int fd;
	int closing; /* an answer announced the end of the connection */
	size_t n;
	char in[ANSWER_MAX + 1];
};

static int
open_connection(struct connection *c)
{
	struct timeval t = { TIMEOUT_S, 0 };

	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return -1;
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
	if (!connect(c->fd, (struct sockaddr *)&c->caller->to,
		sizeof c->caller->to))
		return 0;
	close(c->fd);
	return -1;
}

static int
send_bytes(struct connection *c, const char *p, size_t n)
{
	return send(c->fd, p, n, MSG_NOSIGNAL) == (ssize_t)n ? 0 : -1;
}

static char *
format_request(struct caller *r, int with_body)
{
	int id = g_atomic_int_add(&r->next_id, 1);

	return g_strdup_printf("%s %s HTTP/1.1\r\nHost: %s\r\n"
			       "X-Attempt-Id: stop%d\r\nX-Deadline-Ms: 4000\r\n"
			       "%s\r\n",
	    with_body ? "POST" : "GET", r->path, r->host, id,
	    with_body ? "Content-Length: 4\r\n" : "");
}

/* Length of the whole answer at the start of the buffer, 0 if it is not whole
 * yet. */
static size_t
answer_length(struct connection *c)
{
	char *end, *field;
	size_t head;

	c->in[c->n] = '\0';
	end = strstr(c->in, "\r\n\r\n");
	if (!end)
		return 0;
	head = (size_t)(end - c->in) + 4;
	*end = '\0';
	field = strcasestr(c->in, "\r\nContent-Length:");
	if (field)
		head += (size_t)g_ascii_strtoull(field + 17, NULL, 10);
	if (head <= c->n && strcasestr(c->in, "\r\nConnection: close"))
		c->closing = 1;
	*end = '\r';
	return head <= c->n ? head : 0;
}

/* Reads one whole answer; 0 or -1. */
static int
read_answer(struct connection *c)
{
	size_t length;
	ssize_t n;

	while (!(length = answer_length(c))) {
		n = recv(c->fd, c->in + c->n, ANSWER_MAX - c->n, 0);
		if (n <= 0)
			return -1;
		c->n += (size_t)n;
	}
	memmove(c->in, c->in + length, c->n - length);
	c->n -= length;
	return 0;
}

static void
pause_some(GRand *rand)
{
	g_usleep((gulong)g_rand_int_range(rand, 1000, PAUSE_MAX_US));
}

/* Sends one request; 0 or -1. */
static int
send_request(struct connection *c, enum way way, GRand *rand)
{
	char *t = format_request(c->caller, way == WAY_BODY);
	size_t n = strlen(t), half = way == WAY_HALVES ? n / 2 : n;
	int bad = send_bytes(c, t, half);

	if (!bad && half < n) {
		pause_some(rand);
		bad = send_bytes(c, t + half, n - half);
	}
	if (!bad && way == WAY_BODY) {
		pause_some(rand);
		bad = send_bytes(c, "body", 4);
	}
	g_free(t);
	return bad;
}

/* Sends @k requests and reads their answers; 0, or -1 if the connection is of
 * no further use. Those behind an answer that closes the connection count as
 * not read, so that they are not counted as sent. */
static int
exchange(struct connection *c, enum way way, int k, GRand *rand)
{
	struct counts *n = &c->caller->counts;
	int i;

	for (i = 0; i < k; i++)
		if (send_request(c, way, rand))
			return -1;
	for (i = 0; i < k && !c->closing; i++) {
		g_atomic_int_inc(&n->sent[way]);
		if (read_answer(c)) {
			g_atomic_int_inc(&n->cut[way]);
			return -1;
		}
		g_atomic_int_inc(&n->answered[way]);
	}
	return c->closing ? -1 : 0;
}

int
connection_play(struct caller *r, enum way way, GRand *rand)
{
	struct connection *c = g_new0(struct connection, 1);
	int i, k = way == WAY_PIPELINED ? PIPELINED : 1;

	c->caller = r;
	if (open_connection(c)) {
		g_free(c);
		return -1;
	}
	g_atomic_int_inc(&r->counts.connections);
	if (way == WAY_LATE)
		pause_some(rand);
	for (i = 0; i < KEPT_MAX && !exchange(c, way, k, rand); i++)
		;
	close(c->fd);
	g_free(c);
	return 0;
}
