#include <errno.h>
#include <sys/socket.h>

#include "peer_impl.h"

#define OUT_KEEP_MAX 65536 /* bytes; a larger buffer is freed once sent */

static void
replace_buffer(struct peer_conn *c)
{
	g_byte_array_unref(c->out);
	c->out = g_byte_array_new();
}

/* Sends as much as the kernel accepts. Errors of send() are ignored: on a
 * broken socket peer_receive() fails and closes the connection. */
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
	byte_limit_give(c->node->call_bytes, done);
	if (done == c->out->len && done > OUT_KEEP_MAX)
		replace_buffer(c);
	else if (done)
		g_byte_array_remove_range(c->out, 0, done);
	io_watch_events(c->node->loop, &c->watch,
	    c->out->len ? IO_READ | IO_WRITE : IO_READ);
}
