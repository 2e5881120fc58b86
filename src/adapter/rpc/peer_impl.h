#ifndef KQ_PEER_IMPL_H
#define KQ_PEER_IMPL_H

#include <glib.h>
#include <rpc/rpc.h>

#include "peer.h"
#include "settings.h"

#define PEER_MAC_LEN 16
#define PEER_AUTH_FLAVOR 0x4b51 /* RPC verifier: MAC over the record */
#define PEER_VERF_CALL 40 /* offset of the verifier body in a call, bytes */
#define PEER_VERF_REPLY 20 /* the same in a reply */
#define PEER_READ_MAX 262144 /* bytes per read from a socket */
#define PEER_HELLO_MS 3000 /* timeout of connect and handshake, all keys */

/* PEER_HELLO: TCP connection established, handshake under way. */
enum peer_state { PEER_CONNECTING, PEER_HELLO, PEER_OPEN, PEER_CLOSED };

/* Direction byte of the MAC: a record reflected to its sender is not valid. */
enum { PEER_DIR_CONNECTOR = 1, PEER_DIR_ACCEPTOR = 2 };

struct peer_conn {
	struct peer_node *node;
	struct io_watch watch;
	struct io_timer hello_timer;
	enum peer_state state;
	int accepted; /* the peer initiated the connection */
	struct settings_address address; /* peer's, if we initiated */
	int hello_key; /* index of the fleet key for our hello */
	int fd;
	uint64_t incarnation; /* the peer's */
	int64_t hello_clock; /* the peer's, microseconds */
	unsigned char nonce[WIRE_NONCE_LEN]; /* ours */
	unsigned char key[PEER_KEY_LEN]; /* of the connection, derived */
	uint64_t seq_out; /* number of the next record sent */
	uint64_t seq_in; /* number of the next record received */
	int64_t last_record; /* when it was received, microseconds */
	uint32_t next_xid;
	uint32_t taken; /* xid of the last call that was handled */
	GByteArray *in; /* received part of an incomplete record */
	int64_t in_since; /* when that record began to arrive */
	GByteArray *out; /* bytes not yet accepted by the kernel */
	GHashTable *pending; /* xid to procedure of calls without a reply */
	void *ctx; /* peer_set_ctx() */
	guint index; /* in the node's conns */
};

struct peer_node {
	struct io_loop *loop;
	uint64_t incarnation;
	struct peer_keys keys;
	const struct peer_ops *ops;
	void *ctx;
	int listen_fd;
	struct io_watch listen_watch;
	struct io_timer listen_timer; /* due when accept is tried again */
	int hellos_max; /* accepted connections without a handshake */
	GPtrArray *conns;
	GPtrArray *closed; /* to be freed when no callback is running */
	int depth; /* nesting of running callbacks */
	struct peer_counters counters;
	size_t in_sum; /* received parts of all incomplete records */
	struct byte_limit *call_bytes; /* counts unsent bytes, or NULL */
	char *scratch; /* record mark and record being encoded */
	char *arena; /* decoded strings of the current record */
	char *read_buf; /* for recv() */
};

/* A record being encoded in the node's scratch memory. */
struct peer_record {
	XDR xdr;
	struct peer_conn *conn;
	size_t verf; /* offset of the verifier body */
};

bool_t peer_no_result(XDR *, ...);
uint32_t peer_key_id(const unsigned char *key);
void peer_key_derive(unsigned char *out, const unsigned char *key,
    const unsigned char *connector, const unsigned char *acceptor);
void peer_mac(unsigned char *mac, const unsigned char *key, int dir,
    uint64_t seq, const void *rec, size_t len, size_t verf);

struct peer_conn *peer_conn_new(struct peer_node *, int fd, int accepted);
void peer_conn_free(struct peer_conn *);
void peer_conn_set_open(struct peer_conn *);
void peer_conn_ready(void *ctx, int ready);
/* peer_drop_unsent() - forget the bytes not yet accepted by the kernel */
void peer_drop_unsent(struct peer_conn *);
/* peer_reject() - count an invalid record and close the connection */
void peer_reject(struct peer_conn *);

int peer_call_begin(struct peer_record *, struct peer_conn *, uint32_t xid,
    uint32_t proc);
int peer_reply_begin(struct peer_record *, struct peer_conn *, uint32_t xid);
int peer_record_send(struct peer_record *, const unsigned char *key);
void peer_flush(struct peer_conn *);

int peer_hello_send(struct peer_conn *);
/* peer_reconnect_next_key() - connect again with the next fleet key, after the
 * peer closed the connection without accepting our hello; -1 if there is no
 * next key, the connection is open or accepted, or connect() fails */
int peer_reconnect_next_key(struct peer_conn *);
void peer_handle_hello_call(struct peer_conn *, XDR *, uint32_t xid,
    const void *rec, size_t len);
void
peer_handle_hello_reply(struct peer_conn *, XDR *, const void *rec, size_t len);
void peer_dispatch(struct peer_conn *, char *rec, size_t len);
void peer_receive(struct peer_conn *);
/* peer_input_add() - keep bytes of a record that is incomplete */
void peer_input_add(struct peer_conn *, const unsigned char *, size_t n);
/* peer_input_remove() - forget the first @used bytes that are kept */
void peer_input_remove(struct peer_conn *, size_t used);
/* peer_input_drop() - forget all bytes that are kept */
void peer_input_drop(struct peer_conn *);
/* peer_input_bound() - while the incomplete records of all connections are too
 * much, close the connection whose long record takes the longest time */
void peer_input_bound(struct peer_node *);

#endif
