#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "peer_impl.h"

#define RECORD_MARK_LEN 4
#define LAST_FRAGMENT 0x80000000u
#define HELLO_RECORD_MAX 4096 /* bytes, until the handshake is complete */

/* Returns the length of the record at @p, 0 if it is incomplete, -1 if invalid.
 * Daemons send single-fragment records only, so no others are accepted. */
static long
record_length(const struct peer_conn *c, const unsigned char *p, size_t n)
{
	uint32_t max =
	    c->state == PEER_OPEN ? WIRE_RECORD_MAX : HELLO_RECORD_MAX;
	uint32_t mark;

	if (n < RECORD_MARK_LEN)
		return 0;
	memcpy(&mark, p, sizeof mark);
	mark = ntohl(mark);
	if (!(mark & LAST_FRAGMENT))
		return -1;
	mark &= ~LAST_FRAGMENT;
	if (mark > max || mark < PEER_VERF_REPLY + PEER_MAC_LEN)
		return -1;
	return n - RECORD_MARK_LEN < mark ? 0 : (long)mark;
}

/* Dispatches complete records; returns the number of bytes consumed. */
static size_t
process_records(struct peer_conn *c, unsigned char *p, size_t n)
{
	size_t used = 0;
	long len;

	while (c->state != PEER_CLOSED) {
		len = record_length(c, p + used, n - used);
		if (!len)
			return used;
		if (len < 0) {
			peer_reject(c);
			return n;
		}
		c->node->counters.records_in++;
		c->node->counters.bytes_in += len + RECORD_MARK_LEN;
		peer_dispatch(c, (char *)p + used + RECORD_MARK_LEN, len);
		used += len + RECORD_MARK_LEN;
	}
	return n;
}

/* Dispatches received bytes and keeps an incomplete record in c->in. */
static void
process_bytes(struct peer_conn *c, unsigned char *p, size_t n)
{
	size_t used;

	if (!c->in->len) {
		used = process_records(c, p, n);
		if (used < n && c->state != PEER_CLOSED)
			peer_input_add(c, p + used, n - used);
		return;
	}
	peer_input_add(c, p, n);
	used = process_records(c, c->in->data, c->in->len);
	if (c->state != PEER_CLOSED && used)
		peer_input_remove(c, used);
}

void
peer_receive(struct peer_conn *c)
{
	unsigned char *buf = (unsigned char *)c->node->read_buf;
	ssize_t n;

	do {
		n = recv(c->fd, buf, PEER_READ_MAX, 0);
	} while (n < 0 && errno == EINTR);
	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
		return;
	if (n <= 0 && !peer_reconnect_next_key(c))
		return;
	if (n <= 0) {
		peer_close(c);
		return;
	}
	process_bytes(c, buf, n);
	peer_input_bound(c->node);
}
