#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conn.h"

/* The end of a server before the end of its process. What the kernel has taken
 * outlives the process: it goes to a caller that reads it later, unless bytes
 * that the caller sent lie unread as the socket is closed. */

#define DROPS_MAX 16 /* reads at once */
#define STEP_US 5000 /* between looks at the connections */

/* What the kernel makes of a request for a buffer of @n bytes, or 0. */
static int
buffer_for(int n)
{
	int got = 0;
	socklen_t len = sizeof got;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return 0;
	if (setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &n, sizeof n) ||
	    getsockopt(fd, SOL_SOCKET, SO_SNDBUF, &got, &len))
		got = 0;
	close(fd);
	return got;
}

/* The kernel may have given more by itself. */
static void
unbind_socket(int fd, int n, int buffer)
{
	int has = 0;
	socklen_t len = sizeof has;

	if (!getsockopt(fd, SOL_SOCKET, SO_SNDBUF, &has, &len) && has < buffer)
		(void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &n, sizeof n);
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &n, sizeof n);
}

void
http_server_unbind(struct http_server *s, int sum)
{
	int bytes, buffer, n = 0;
	struct http_conn *c;

	for (c = s->conns; c; c = c->next)
		n += out_pending(&c->out) > 0;
	if (!n)
		return;
	bytes = MAX(sum / n, HTTP_KERNEL_UNSENT_BYTES);
	buffer = buffer_for(bytes);
	for (c = s->conns; c; c = c->next)
		if (out_pending(&c->out))
			unbind_socket(c->fd, bytes, buffer);
}

/* Drops what the caller sent. Return: 0, or -1 if the connection has failed,
 * with errno set. */
static int
drop_input(struct http_conn *c)
{
	ssize_t n = 0;
	int i;

	for (i = 0; i < DROPS_MAX; i++) {
		n = recv(c->fd, c->server->scratch, HTTP_READ_BYTES,
		    MSG_DONTWAIT);
		if (n <= 0)
			break;
	}
	return n >= 0 || errno == EAGAIN || errno == EINTR ? 0 : -1;
}

/* Sends what is left. Return: 0, or -1 if the connection has failed, with errno
 * set. */
static int
send_left(struct http_conn *c)
{
	ssize_t n;

	if (!out_pending(&c->out))
		return 0;
	n = out_send(&c->out, c->fd, NULL, 0);
	if (n >= 0) {
		c->sent += (uint64_t)n;
		return 0;
	}
	return errno == EAGAIN || errno == EINTR ? 0 : -1;
}

/* Sends what is left and drops what comes; closes the connection if the caller
 * has everything, or can't get more. */
static void
finish_conn(struct http_conn *c)
{
	if (c->send_errno) {
		conn_disconnected(c, c->send_errno);
		return;
	}
	if (drop_input(c) || send_left(c)) {
		conn_disconnected(c, errno);
		return;
	}
	if (out_pending(&c->out))
		return;
	if (!c->reset)
		shutdown(c->fd, SHUT_WR);
	if (!conn_unacked(c))
		conn_close(c);
}

/* Return: the number of connections that are not finished. */
static int
finish_conns(struct http_server *s)
{
	struct http_conn *c, *next;
	int n = 0;

	for (c = s->conns; c; c = next) {
		next = c->next;
		if (c->line.first)
			continue;
		finish_conn(c);
		n += !c->closed;
	}
	return n;
}

void
http_server_finish(struct http_server *s, int64_t until)
{
	while (finish_conns(s) && io_clock() < until)
		g_usleep(STEP_US);
}
