#include <errno.h>
#include <sys/socket.h>

#include "peer_impl.h"

#define OUT_KEEP_MAX 65536 /* bytes of an idle buffer that stay allocated */

static void
release(struct peer_conn *c)
{
	g_byte_array_unref(c->out);
	c->out = g_byte_array_new();
}

/* Gives the kernel what it takes; a broken socket is found by the reader. */
void
peer_flush(struct peer_conn *c)
{
	size_t done = 0;
	ssize_t n;

	if (c->state == PEER_CONNECTING || c->state == PEER_CLOSED)
		return;
	while (done < c->out->len) {
		n = send(c->fd, c->out->data + done, c->out->len - done,
		    MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			break;
		done += n;
	}
	if (done == c->out->len && done > OUT_KEEP_MAX)
		release(c);
	else if (done)
		g_byte_array_remove_range(c->out, 0, done);
	io_watch_events(c->node->loop, &c->watch,
	    c->out->len ? IO_READ | IO_WRITE : IO_READ);
}
