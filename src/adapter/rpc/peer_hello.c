#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "peer_impl.h"

/*
 * Handshake: the connector sends a hello call under a fleet key, with its
 * nonce; the acceptor's reply carries a nonce of its own and is already under
 * the connection's key, derived from the fleet key and both nonces.
 */

static const unsigned char *
find_key(const struct peer_keys *k, uint32_t id)
{
	int i;

	for (i = 0; i < k->nkey; i++)
		if (peer_key_id(k->key[i]) == id)
			return k->key[i];
	return NULL;
}

static int
verify_mac(struct peer_conn *c, const unsigned char *key, const void *rec,
    size_t len, size_t verf)
{
	unsigned char mac[PEER_MAC_LEN];
	int dir = c->accepted ? PEER_DIR_CONNECTOR : PEER_DIR_ACCEPTOR;

	peer_mac(mac, key, dir, c->seq_in, rec, len, verf);
	if (sodium_memcmp(mac, (const char *)rec + verf, sizeof mac))
		return -1;
	c->seq_in++;
	return 0;
}

int
peer_hello_send(struct peer_conn *c)
{
	struct peer_node *n = c->node;
	struct wire_hello h;
	struct peer_record r;

	randombytes_buf(c->nonce, sizeof c->nonce);
	h.clock = io_now(n->loop);
	h.key_id = peer_key_id(n->keys.key[c->hello_key]);
	h.incarnation = n->incarnation;
	memcpy(h.nonce, c->nonce, sizeof h.nonce);
	if (peer_call_begin(&r, c, ++c->next_xid, WIRE_HELLO))
		return -1;
	if (!wire_hello(&r.xdr, &h))
		return -1;
	return peer_record_send(&r, n->keys.key[c->hello_key]);
}

static int
send_hello_reply(struct peer_conn *c, uint32_t xid, uint32_t key)
{
	struct wire_hello h;
	struct peer_record r;

	h.clock = io_now(c->node->loop);
	h.key_id = key;
	h.incarnation = c->node->incarnation;
	memcpy(h.nonce, c->nonce, sizeof h.nonce);
	if (peer_reply_begin(&r, c, xid) || !wire_hello(&r.xdr, &h))
		return -1;
	return peer_record_send(&r, c->key);
}

void
peer_handle_hello_call(struct peer_conn *c, XDR *x, uint32_t xid,
    const void *rec, size_t len)
{
	const unsigned char *key;
	struct wire_hello h;

	if (!c->accepted || c->state != PEER_HELLO || !wire_hello(x, &h)) {
		peer_reject(c);
		return;
	}
	key = find_key(&c->node->keys, h.key_id);
	if (!key || verify_mac(c, key, rec, len, PEER_VERF_CALL)) {
		peer_reject(c);
		return;
	}
	randombytes_buf(c->nonce, sizeof c->nonce);
	peer_key_derive(c->key, key, h.nonce, c->nonce);
	c->incarnation = h.incarnation;
	c->hello_clock = h.clock;
	if (send_hello_reply(c, xid, h.key_id)) {
		peer_close(c);
		return;
	}
	peer_conn_set_open(c);
}

void
peer_handle_hello_reply(struct peer_conn *c, XDR *x, const void *rec,
    size_t len)
{
	const unsigned char *key;
	struct wire_hello h;

	if (c->accepted || c->state != PEER_HELLO || !wire_hello(x, &h)) {
		peer_reject(c);
		return;
	}
	key = find_key(&c->node->keys, h.key_id);
	if (!key) {
		peer_reject(c);
		return;
	}
	peer_key_derive(c->key, key, c->nonce, h.nonce);
	if (verify_mac(c, c->key, rec, len, PEER_VERF_REPLY)) {
		peer_reject(c);
		return;
	}
	c->incarnation = h.incarnation;
	c->hello_clock = h.clock;
	peer_conn_set_open(c);
}

int
peer_reconnect_next_key(struct peer_conn *c)
{
	struct io_loop *loop = c->node->loop;
	int fd;

	if (c->accepted || c->state != PEER_HELLO ||
	    c->hello_key + 1 >= c->node->keys.nkey)
		return -1;
	fd = io_connect_tcp(c->address.ip, c->address.port);
	if (fd < 0)
		return -1;
	io_watch_remove(loop, &c->watch);
	close(c->fd);
	c->fd = fd;
	c->hello_key++;
	c->seq_out = 0;
	c->seq_in = 0;
	c->state = PEER_CONNECTING;
	peer_input_drop(c);
	peer_drop_unsent(c);
	return io_watch_add(loop, &c->watch, fd, IO_WRITE, peer_conn_ready, c);
}
