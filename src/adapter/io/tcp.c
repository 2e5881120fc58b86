#include "io.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

static int
fill_address(const char *ip, int port, struct sockaddr_storage *a, socklen_t *n)
{
	struct sockaddr_in *a4 = (struct sockaddr_in *)a;
	struct sockaddr_in6 *a6 = (struct sockaddr_in6 *)a;

	memset(a, 0, sizeof *a);
	if (port < 0 || port > UINT16_MAX)
		return -1;
	if (inet_pton(AF_INET, ip, &a4->sin_addr) == 1) {
		a4->sin_family = AF_INET;
		a4->sin_port = htons((uint16_t)port);
		*n = sizeof *a4;
		return 0;
	}
	if (inet_pton(AF_INET6, ip, &a6->sin6_addr) == 1) {
		a6->sin6_family = AF_INET6;
		a6->sin6_port = htons((uint16_t)port);
		*n = sizeof *a6;
		return 0;
	}
	return -1;
}

static int
open_socket(const char *ip, int port, struct sockaddr_storage *a, socklen_t *n)
{
	int fd, on = 1;

	if (fill_address(ip, port, a, n) < 0) {
		errno = EINVAL;
		return -1;
	}
	fd =
	    socket(a->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	return fd;
}

void
io_limit_silence(int fd, unsigned ms)
{
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

int
io_unsent(int fd)
{
	int n = 0;

	return ioctl(fd, SIOCOUTQNSD, &n) ? 0 : n;
}

void
io_reset_on_close(int fd)
{
	struct linger reset = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

static int
close_keep_errno(int fd)
{
	int e = errno;

	close(fd);
	errno = e;
	return -1;
}

int
io_listen_tcp(const char *ip, int port)
{
	struct sockaddr_storage a;
	socklen_t n;
	int fd, on = 1;

	fd = open_socket(ip, port, &a, &n);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind(fd, (struct sockaddr *)&a, n) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0)
		return close_keep_errno(fd);
	return fd;
}

int
io_connect_tcp(const char *ip, int port)
{
	struct sockaddr_storage a;
	socklen_t n;
	int fd;

	fd = open_socket(ip, port, &a, &n);
	if (fd < 0)
		return -1;
	io_limit_silence(fd, IO_USER_TIMEOUT_MS);
	if (connect(fd, (struct sockaddr *)&a, n) < 0 && errno != EINPROGRESS)
		return close_keep_errno(fd);
	return fd;
}
