#include <arpa/inet.h>
#include <dlfcn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/**
 * DOC: Preloaded into a daemon, leads its connections to a port elsewhere.
 *
 * RIG_REDIRECT_FROM and RIG_REDIRECT_TO name the two ports; the address stays
 * the same, so that a proxy there can treat the connection as it likes.
 */

typedef int connect_function(int, const struct sockaddr *, socklen_t);

static int
port_of(const char *name)
{
	const char *t = getenv(name);

	return t ? (int)strtol(t, NULL, 10) : 0;
}

/* Nonzero if it is a stream, as the same port takes datagrams. */
static int
is_stream(int fd)
{
	int type = 0;
	socklen_t n = sizeof type;

	return !getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &n) &&
	       type == SOCK_STREAM;
}

int redirect(int, const struct sockaddr *, socklen_t) __asm__("connect");

int
redirect(int fd, const struct sockaddr *a, socklen_t n)
{
	static connect_function *next;
	struct sockaddr_in to;
	int from = port_of("RIG_REDIRECT_FROM");

	if (!next)
		next = (connect_function *)dlsym(RTLD_NEXT, "connect");
	if (from && a->sa_family == AF_INET && n >= sizeof to &&
	    is_stream(fd)) {
		memcpy(&to, a, sizeof to);
		if (ntohs(to.sin_port) == from) {
			to.sin_port =
			    htons((uint16_t)port_of("RIG_REDIRECT_TO"));
			return next(fd, (struct sockaddr *)&to, sizeof to);
		}
	}
	return next(fd, a, n);
}
