#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io.h"
#include "rig.h"

#define STATUS_AT 9 /* position of the status in an answer */

static int
connect_to(const char *ip, int port, int ms)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	struct timeval t = { ms / 1000, ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
	if (!connect(fd, (struct sockaddr *)&a, sizeof a))
		return fd;
	close(fd);
	return -1;
}

int
rig_http(const char *ip, int port, int ms, const char *method, const char *path,
    const char *body)
{
	char answer[1024];
	GString *t;
	size_t n = 0;
	ssize_t k = 0;
	int fd = connect_to(ip, port, ms);

	if (fd < 0)
		return 0;
	t = g_string_new(NULL);
	g_string_append_printf(t,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    method, path, ip, body ? strlen(body) : 0, body ? body : "");
	if (send(fd, t->str, t->len, MSG_NOSIGNAL) == (ssize_t)t->len)
		do {
			k = recv(fd, answer + n, sizeof answer - 1 - n, 0);
			n += k > 0 ? (size_t)k : 0;
		} while (k > 0 && n < sizeof answer - 1);
	g_string_free(t, TRUE);
	close(fd);
	answer[n] = '\0';
	return n > STATUS_AT ? (int)strtol(answer + STATUS_AT, NULL, 10) : 0;
}
