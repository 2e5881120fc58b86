#include "peer_impl.h"

static uint32_t
next_xid(struct peer_conn *c)
{
	if (!++c->next_xid)
		c->next_xid = 1;
	return c->next_xid;
}

static uint32_t
begin_two_way(struct peer_record *r, struct peer_conn *c, uint32_t proc)
{
	uint32_t xid;

	if (c->state != PEER_OPEN)
		return 0;
	xid = next_xid(c);
	return peer_call_begin(r, c, xid, proc) ? 0 : xid;
}

static uint32_t
send_two_way(struct peer_record *r, uint32_t xid, uint32_t proc)
{
	struct peer_conn *c = r->conn;

	if (peer_record_send(r, c->key))
		return 0;
	g_hash_table_insert(c->pending, GUINT_TO_POINTER(xid),
	    GUINT_TO_POINTER(proc));
	return xid;
}

uint32_t
peer_send_call(struct peer_conn *c, struct wire_call *m)
{
	struct peer_record r;
	uint32_t xid = begin_two_way(&r, c, WIRE_CALL);

	if (!xid || !wire_call(&r.xdr, m, NULL))
		return 0;
	return send_two_way(&r, xid, WIRE_CALL);
}

uint32_t
peer_send_probe(struct peer_conn *c)
{
	struct peer_record r;
	uint32_t xid = begin_two_way(&r, c, WIRE_PROBE);

	return xid ? send_two_way(&r, xid, WIRE_PROBE) : 0;
}

uint32_t
peer_send_pull(struct peer_conn *c, struct wire_pull *m)
{
	struct peer_record r;
	uint32_t xid = begin_two_way(&r, c, WIRE_PULL);

	if (!xid || !wire_pull(&r.xdr, m))
		return 0;
	return send_two_way(&r, xid, WIRE_PULL);
}

int
peer_send_reply(struct peer_conn *c, uint32_t xid, struct wire_reply *m)
{
	struct peer_record r;

	if (c->state != PEER_OPEN || peer_reply_begin(&r, c, xid))
		return -1;
	return wire_reply(&r.xdr, m, NULL) ? peer_record_send(&r, c->key) : -1;
}

int
peer_send_probe_reply(struct peer_conn *c, uint32_t xid,
    struct wire_probe_result *m)
{
	struct peer_record r;

	if (c->state != PEER_OPEN || peer_reply_begin(&r, c, xid))
		return -1;
	return wire_probe_result(&r.xdr, m) ? peer_record_send(&r, c->key) : -1;
}

int
peer_send_pull_reply(struct peer_conn *c, uint32_t xid, struct wire_state *m)
{
	struct peer_record r;

	if (c->state != PEER_OPEN || peer_reply_begin(&r, c, xid))
		return -1;
	return wire_state(&r.xdr, m, NULL) ? peer_record_send(&r, c->key) : -1;
}

static int
begin_one_way(struct peer_record *r, struct peer_conn *c, uint32_t proc)
{
	if (c->state != PEER_OPEN)
		return -1;
	return peer_call_begin(r, c, next_xid(c), proc);
}

int
peer_send_body(struct peer_conn *c, struct wire_body *m)
{
	struct peer_record r;

	if (begin_one_way(&r, c, WIRE_BODY) || !wire_body(&r.xdr, m))
		return -1;
	return peer_record_send(&r, c->key);
}

int
peer_send_credit(struct peer_conn *c, struct wire_credit *m)
{
	struct peer_record r;

	if (begin_one_way(&r, c, WIRE_CREDIT) || !wire_credit(&r.xdr, m))
		return -1;
	return peer_record_send(&r, c->key);
}

int
peer_send_notice(struct peer_conn *c, struct wire_notice *m)
{
	struct peer_record r;

	if (begin_one_way(&r, c, WIRE_NOTICE) || !wire_notice(&r.xdr, m))
		return -1;
	return peer_record_send(&r, c->key);
}

int
peer_send_cancel(struct peer_conn *c, uint32_t xid)
{
	struct wire_credit m = { xid, 0, 0 };
	struct peer_record r;

	g_hash_table_remove(c->pending, GUINT_TO_POINTER(xid));
	if (begin_one_way(&r, c, WIRE_CANCEL) || !wire_credit(&r.xdr, &m))
		return -1;
	return peer_record_send(&r, c->key);
}
