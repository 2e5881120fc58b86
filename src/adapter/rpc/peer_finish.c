#include <errno.h>
#include <poll.h>
#include <sys/socket.h>

#include "peer_impl.h"

/* The end of a node that was planned: its peers learn which calls it took. They
 * close their connections when they have read that; until then what they send
 * is read and dropped, as closing a socket with unread bytes resets it, and the
 * peer might not get what was sent before. */

static void
send_last(struct peer_conn *c)
{
	struct wire_credit m = { c->taken, WIRE_CREDIT_LAST_TAKEN, 0 };

	if (peer_send_credit(c, &m))
		peer_close(c);
}

/* Goes on with a connection that is ready; closes it once the peer has. */
static void
finish_conn(struct peer_conn *c)
{
	ssize_t n;

	peer_flush(c);
	if (!c->out->len)
		shutdown(c->fd, SHUT_WR);
	n = recv(c->fd, c->node->read_buf, PEER_READ_MAX, 0);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		peer_close(c);
}

static void
poll_conns(struct peer_node *n, int timeout_ms)
{
	struct pollfd *p = g_new0(struct pollfd, n->conns->len);
	struct peer_conn *c;
	guint i;

	for (i = 0; i < n->conns->len; i++) {
		c = g_ptr_array_index(n->conns, i);
		p[i].fd = c->fd;
		p[i].events = c->out->len ? POLLIN | POLLOUT : POLLIN;
	}
	poll(p, n->conns->len, timeout_ms);
	/* From the last, as a connection that closes gives its place to it. */
	for (i = n->conns->len; i-- > 0;)
		if (p[i].revents)
			finish_conn(g_ptr_array_index(n->conns, i));
	g_free(p);
}

void
peer_node_finish(struct peer_node *n, int64_t until)
{
	struct peer_conn *c;
	int64_t now;
	guint i;

	peer_node_stop_listen(n);
	for (i = n->conns->len; i-- > 0;) {
		c = g_ptr_array_index(n->conns, i);
		if (c->accepted && c->state == PEER_OPEN)
			send_last(c);
		else
			peer_close(c);
	}
	for (i = n->conns->len; i-- > 0;)
		finish_conn(g_ptr_array_index(n->conns, i));
	while (n->conns->len && (now = io_clock()) < until)
		poll_conns(n, (int)((until - now) / 1000) + 1);
}
