#ifndef KQ_PEER_H
#define KQ_PEER_H

#include <stdint.h>

#include "byte_limit.h"
#include "error.h"
#include "io.h"
#include "wire.h"

/**
 * DOC: Persistent connections between daemons.
 *
 * ONC RPC records over TCP. Many RPC calls may be pending on one connection;
 * replies are matched to them by xid. Either end may send one-way messages
 * about a call. The verifier of each record is a keyed BLAKE2b MAC over the
 * record, its direction and its sequence number in that direction. The MAC key
 * of a connection is derived from the fleet key and a nonce of each end, so
 * that a record can't be forged, replayed, or moved to another position or
 * connection. A record that fails verification or can't be decoded is counted,
 * and the connection is closed.
 */

#define PEER_KEY_LEN 32
#define PEER_KEYS_MAX 2

struct peer_conn;
struct peer_node; /* a task's listening socket and peer connections */

/**
 * struct peer_keys - fleet keys
 *
 * Any of them is accepted from a peer. A connection made here uses the first;
 * if the peer closes it during the handshake, the next key is tried.
 */
struct peer_keys {
	int nkey;
	unsigned char key[PEER_KEYS_MAX][PEER_KEY_LEN];
};

/** struct peer_counters - totals since the node was created */
struct peer_counters {
	uint64_t records_in;
	uint64_t records_out;
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t records_rejected; /* invalid records: wrong MAC or malformed */
	uint64_t hellos_closed; /* connections, see peer_node_limit_hellos() */
};

/**
 * struct peer_ops - callbacks of a node
 *
 * @ctx is the one given to peer_node_new(). Messages, and the strings and bytes
 * that they point to, are valid until the callback returns.
 *
 * @call, @pull and @probe are RPC calls from the peer, to be answered with
 * peer_send_reply(), peer_send_pull_reply() and peer_send_probe_reply().
 * @reply, @pull_reply and @probe_reply are the peer's replies to calls of ours,
 * and must be set if such calls are sent. @closed must be set; it is called
 * once for each connection, which is invalid afterwards. Calls still pending on
 * it get no reply.
 *
 * A call or one-way message whose callback is NULL is treated as malformed.
 */
struct peer_ops {
	void (*opened)(void *ctx, struct peer_conn *);
	void (*closed)(void *ctx, struct peer_conn *);
	void (*call)(void *ctx, struct peer_conn *, uint32_t xid,
	    const struct wire_call *);
	void (*reply)(void *ctx, struct peer_conn *, uint32_t xid,
	    const struct wire_reply *);
	void (*body)(void *ctx, struct peer_conn *, const struct wire_body *);
	void (
	    *credit)(void *ctx, struct peer_conn *, const struct wire_credit *);
	void (*cancel)(void *ctx, struct peer_conn *, uint32_t xid);
	void (
	    *notice)(void *ctx, struct peer_conn *, const struct wire_notice *);
	void (*probe)(void *ctx, struct peer_conn *, uint32_t xid);
	void (*probe_reply)(void *ctx, struct peer_conn *, uint32_t xid,
	    const struct wire_probe_result *);
	void (*pull)(void *ctx, struct peer_conn *, uint32_t xid,
	    const struct wire_pull *);
	void (*pull_reply)(void *ctx, struct peer_conn *, uint32_t xid,
	    const struct wire_state *);
};

struct peer_node *peer_node_new(struct io_loop *, uint64_t incarnation,
    const struct peer_keys *, const struct peer_ops *, void *ctx);
int peer_node_listen(struct peer_node *, const char *ip, int port,
    struct kq_error *);
/** peer_node_stop_listen() - close the listening socket; connections stay
 * open */
void peer_node_stop_listen(struct peer_node *);
/** peer_node_finish() - end all connections as planned: each peer that
 * connected is told which of its calls were the last taken, by a credit with
 * WIRE_CREDIT_LAST_TAKEN, and has until @until to read that; no record is
 * handled any more. Call it when no callback runs. */
void peer_node_finish(struct peer_node *, int64_t until);
void peer_node_free(struct peer_node *);
/** peer_node_set_call_bytes() - count the unsent bytes of all connections in a
 * limit, which lasts as long as the node; call it before there are any */
void peer_node_set_call_bytes(struct peer_node *, struct byte_limit *);
/** peer_node_limit_hellos() - set the most accepted connections whose peer did
 * not prove yet that it is a daemon */
void peer_node_limit_hellos(struct peer_node *, int max);
/** peer_node_unsent_bytes() - add up what the connections hold */
size_t peer_node_unsent_bytes(const struct peer_node *);
const struct peer_counters *peer_node_counters(const struct peer_node *);

/** peer_connect() - connect to another daemon; ops->opened or ops->closed is
 * called later. Returns NULL on error. */
struct peer_conn *
peer_connect(struct peer_node *, const char *ip, int port, struct kq_error *);
/** peer_close() - close a connection; calls ops->closed before it returns */
void peer_close(struct peer_conn *);
/** peer_allow_silence() - keep a connection although the peer reads nothing */
void peer_allow_silence(struct peer_conn *);
int peer_is_open(const struct peer_conn *);
/** peer_is_accepted() - nonzero if the peer initiated the connection */
int peer_is_accepted(const struct peer_conn *);
/** peer_incarnation() - incarnation of the peer, 0 before the connection is
 * open */
uint64_t peer_incarnation(const struct peer_conn *);
/** peer_hello_clock() - the peer's clock when it sent its half of the
 * handshake, microseconds */
int64_t peer_hello_clock(const struct peer_conn *);
/** peer_last_record_time() - when the last authenticated record was received,
 * in microseconds of io_now() */
int64_t peer_last_record_time(const struct peer_conn *);
void peer_set_ctx(struct peer_conn *, void *);
void *peer_ctx(const struct peer_conn *);
/** peer_unsent_bytes() - bytes not yet accepted by the kernel */
size_t peer_unsent_bytes(const struct peer_conn *);

/* These return the xid, or 0 if the connection is not open or the message does
 * not fit into a record. */
uint32_t peer_send_call(struct peer_conn *, struct wire_call *);
uint32_t peer_send_probe(struct peer_conn *);
uint32_t peer_send_pull(struct peer_conn *, struct wire_pull *);
/* These return 0, or -1 if the connection is not open or the message is too
 * large. */
int peer_send_reply(struct peer_conn *, uint32_t xid, struct wire_reply *);
int peer_send_probe_reply(struct peer_conn *, uint32_t xid,
    struct wire_probe_result *);
int peer_send_pull_reply(struct peer_conn *, uint32_t xid, struct wire_state *);
int peer_send_body(struct peer_conn *, struct wire_body *);
int peer_send_credit(struct peer_conn *, struct wire_credit *);
int peer_send_notice(struct peer_conn *, struct wire_notice *);
/** peer_send_cancel() - cancel the WIRE_CALL with this xid; a reply to it is
 * ignored from now on */
int peer_send_cancel(struct peer_conn *, uint32_t xid);

#endif
