#include <sodium.h>
#include <string.h>

#include "peer_impl.h"

/* Verifies the MAC of a record on an open connection; nonzero if valid. */
static int
authenticate(struct peer_conn *c, const void *rec, size_t len, size_t verf)
{
	unsigned char mac[PEER_MAC_LEN];
	int dir = c->accepted ? PEER_DIR_CONNECTOR : PEER_DIR_ACCEPTOR;

	if (c->state != PEER_OPEN || len < verf + PEER_MAC_LEN)
		return 0;
	peer_mac(mac, c->key, dir, c->seq_in, rec, len, verf);
	if (sodium_memcmp(mac, (const char *)rec + verf, sizeof mac))
		return 0;
	c->seq_in++;
	c->last_record = io_now(c->node->loop);
	return 1;
}

/* Passes a one-way message on; -1 if it is malformed or has no callback. */
static int
handle_one_way(struct peer_conn *c, XDR *x, uint32_t proc)
{
	struct peer_node *n = c->node;
	struct wire_credit credit;
	struct wire_notice notice;
	struct wire_body body;

	if (proc == WIRE_BODY && wire_body(x, &body) && n->ops->body) {
		n->ops->body(n->ctx, c, &body);
		return 0;
	}
	if (proc == WIRE_CREDIT && wire_credit(x, &credit) && n->ops->credit) {
		n->ops->credit(n->ctx, c, &credit);
		return 0;
	}
	if (proc == WIRE_CANCEL && wire_credit(x, &credit) && n->ops->cancel) {
		n->ops->cancel(n->ctx, c, credit.call_xid);
		return 0;
	}
	if (proc == WIRE_NOTICE && wire_notice(x, &notice) && n->ops->notice) {
		n->ops->notice(n->ctx, c, &notice);
		return 0;
	}
	return -1;
}

/* Passes a call on; -1 if it is malformed or has no callback. */
static int
handle_call(struct peer_conn *c, XDR *x, uint32_t xid, uint32_t proc)
{
	struct peer_node *n = c->node;
	struct wire_arena a = { n->arena, 0, WIRE_RECORD_MAX };
	struct wire_call call;
	struct wire_pull pull;

	if (proc == WIRE_CALL && n->ops->call && wire_call(x, &call, &a)) {
		n->ops->call(n->ctx, c, xid, &call);
		return 0;
	}
	if (proc == WIRE_PROBE && n->ops->probe) {
		n->ops->probe(n->ctx, c, xid);
		return 0;
	}
	if (proc == WIRE_PULL && n->ops->pull && wire_pull(x, &pull)) {
		n->ops->pull(n->ctx, c, xid, &pull);
		return 0;
	}
	return handle_one_way(c, x, proc);
}

/* Passes the result of a reply on; -1 if it is malformed. */
static int
handle_result(struct peer_conn *c, XDR *x, uint32_t xid, uint32_t proc)
{
	struct peer_node *n = c->node;
	struct wire_arena a = { n->arena, 0, WIRE_RECORD_MAX };
	static struct wire_state state;
	struct wire_reply reply;
	struct wire_probe_result load;

	if (proc == WIRE_CALL && wire_reply(x, &reply, &a)) {
		n->ops->reply(n->ctx, c, xid, &reply);
		return 0;
	}
	if (proc == WIRE_PROBE && wire_probe_result(x, &load)) {
		n->ops->probe_reply(n->ctx, c, xid, &load);
		return 0;
	}
	if (proc == WIRE_PULL && wire_state(x, &state, &a)) {
		n->ops->pull_reply(n->ctx, c, xid, &state);
		return 0;
	}
	return -1;
}

static void
dispatch_call(struct peer_conn *c, XDR *x, char *rec, size_t len)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg m;

	memset(&m, 0, sizeof m);
	m.rm_call.cb_cred.oa_base = cred;
	m.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(x, &m) || m.rm_call.cb_prog != WIRE_PROGRAM ||
	    m.rm_call.cb_vers != WIRE_VERSION || m.rm_call.cb_cred.oa_length ||
	    m.rm_call.cb_verf.oa_length != PEER_MAC_LEN) {
		peer_reject(c);
		return;
	}
	if (m.rm_call.cb_proc == WIRE_HELLO) {
		peer_handle_hello_call(c, x, m.rm_xid, rec, len);
		return;
	}
	if (!authenticate(c, rec, len, PEER_VERF_CALL)) {
		peer_reject(c);
		return;
	}
	c->taken = m.rm_xid;
	if (handle_call(c, x, m.rm_xid, m.rm_call.cb_proc))
		peer_reject(c);
}

/* Removes a pending call and returns its procedure; returns WIRE_NULL if no
 * call is pending, as for a duplicate reply or a reply to a cancelled call. */
static uint32_t
take_pending(struct peer_conn *c, uint32_t xid)
{
	gpointer proc;

	if (!g_hash_table_steal_extended(c->pending, GUINT_TO_POINTER(xid),
		NULL, &proc))
		return WIRE_NULL;
	return GPOINTER_TO_UINT(proc);
}

static void
dispatch_reply(struct peer_conn *c, XDR *x, char *rec, size_t len)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg m;
	uint32_t proc;

	memset(&m, 0, sizeof m);
	m.acpted_rply.ar_verf.oa_base = verf;
	m.acpted_rply.ar_results.proc = peer_no_result;
	if (!xdr_replymsg(x, &m) || m.rm_reply.rp_stat != MSG_ACCEPTED ||
	    m.acpted_rply.ar_stat != SUCCESS ||
	    m.acpted_rply.ar_verf.oa_length != PEER_MAC_LEN) {
		peer_reject(c);
		return;
	}
	if (c->state == PEER_HELLO) {
		peer_handle_hello_reply(c, x, rec, len);
		return;
	}
	if (!authenticate(c, rec, len, PEER_VERF_REPLY)) {
		peer_reject(c);
		return;
	}
	proc = take_pending(c, m.rm_xid);
	if (proc != WIRE_NULL && handle_result(c, x, m.rm_xid, proc))
		peer_reject(c);
}

void
peer_dispatch(struct peer_conn *c, char *rec, size_t len)
{
	XDR x;

	xdrmem_create(&x, rec, len, XDR_DECODE);
	/* Low byte of the message type, the second word of a record. */
	if (len >= 8 && rec[7] == REPLY)
		dispatch_reply(c, &x, rec, len);
	else
		dispatch_call(c, &x, rec, len);
}
