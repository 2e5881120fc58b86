#include <arpa/inet.h>
#include <string.h>

#include "peer_impl.h"

#define LAST_FRAGMENT 0x80000000u
#define RECORD_MARK_LEN 4

static struct opaque_auth
zero_verifier(char *zero)
{
	struct opaque_auth a;

	a.oa_flavor = PEER_AUTH_FLAVOR;
	a.oa_base = zero;
	a.oa_length = PEER_MAC_LEN;
	return a;
}

static void
begin_record(struct peer_record *r, struct peer_conn *c)
{
	r->conn = c;
	xdrmem_create(&r->xdr, c->node->scratch + RECORD_MARK_LEN,
	    WIRE_RECORD_MAX, XDR_ENCODE);
}

int
peer_call_begin(struct peer_record *r, struct peer_conn *c, uint32_t xid,
    uint32_t proc)
{
	char zero[PEER_MAC_LEN] = { 0 };
	struct rpc_msg m;

	begin_record(r, c);
	memset(&m, 0, sizeof m);
	m.rm_xid = xid;
	m.rm_direction = CALL;
	m.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	m.rm_call.cb_prog = WIRE_PROGRAM;
	m.rm_call.cb_vers = WIRE_VERSION;
	m.rm_call.cb_proc = proc;
	m.rm_call.cb_cred = _null_auth;
	m.rm_call.cb_verf = zero_verifier(zero);
	r->verf = PEER_VERF_CALL;
	return xdr_callmsg(&r->xdr, &m) ? 0 : -1;
}

int
peer_reply_begin(struct peer_record *r, struct peer_conn *c, uint32_t xid)
{
	char zero[PEER_MAC_LEN] = { 0 };
	struct rpc_msg m;

	begin_record(r, c);
	memset(&m, 0, sizeof m);
	m.rm_xid = xid;
	m.rm_direction = REPLY;
	m.rm_reply.rp_stat = MSG_ACCEPTED;
	m.acpted_rply.ar_verf = zero_verifier(zero);
	m.acpted_rply.ar_stat = SUCCESS;
	m.acpted_rply.ar_results.where = NULL;
	m.acpted_rply.ar_results.proc = peer_no_result;
	r->verf = PEER_VERF_REPLY;
	return xdr_replymsg(&r->xdr, &m) ? 0 : -1;
}

int
peer_record_send(struct peer_record *r, const unsigned char *key)
{
	struct peer_conn *c = r->conn;
	char *rec = c->node->scratch + RECORD_MARK_LEN;
	size_t len = xdr_getpos(&r->xdr);
	uint32_t mark = htonl(len | LAST_FRAGMENT);
	int dir = c->accepted ? PEER_DIR_ACCEPTOR : PEER_DIR_CONNECTOR;

	if (c->state == PEER_CLOSED)
		return -1;
	memcpy(c->node->scratch, &mark, sizeof mark);
	peer_mac((unsigned char *)rec + r->verf, key, dir, c->seq_out++, rec,
	    len, r->verf);
	c->node->counters.records_out++;
	c->node->counters.bytes_out += len + RECORD_MARK_LEN;
	g_byte_array_append(c->out, (guint8 *)c->node->scratch,
	    len + RECORD_MARK_LEN);
	byte_limit_take(c->node->call_bytes, len + RECORD_MARK_LEN);
	peer_flush(c);
	return 0;
}
