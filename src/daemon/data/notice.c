#include "daemon/inbound/inbound.h"
#include "daemon/outbound/outbound.h"

/* Notices between daemons, sent on whichever connection is open. */

void
data_notice_opened(struct data *d, struct peer_conn *conn)
{
	uint64_t id = peer_incarnation(conn);

	g_hash_table_replace(d->accepted, g_memdup2(&id, sizeof id), conn);
}

void
data_notice_closed(struct data *d, struct peer_conn *conn)
{
	uint64_t id = peer_incarnation(conn);

	if (g_hash_table_lookup(d->accepted, &id) == conn)
		g_hash_table_remove(d->accepted, &id);
}

/* Open connection to a daemon, or NULL; opens one if there is none. */
static struct peer_conn *
conn_to(struct data *d, uint64_t incarnation)
{
	struct out_peer *p = g_hash_table_lookup(d->peers, &incarnation);
	struct peer_conn *conn = p ? p->conn : NULL;

	if (conn && peer_is_open(conn))
		return conn;
	conn = g_hash_table_lookup(d->accepted, &incarnation);
	if (!conn && p && p->live)
		out_peer_connect(p);
	return conn;
}

int
data_send_notice(struct data *d, uint64_t incarnation, uint32_t kind,
    const void *content, size_t n)
{
	struct wire_notice m = { kind, content, (uint32_t)n };
	struct peer_conn *conn = conn_to(d, incarnation);

	return conn ? peer_send_notice(conn, &m) : -1;
}

void
data_notice_received(void *ctx, struct peer_conn *conn,
    const struct wire_notice *m)
{
	struct data *d = ctx;

	switch (m->kind) {
	case NOTICE_ROLLOUT:
		inbound_rollout_notice(ctx, peer_incarnation(conn), m->content,
		    m->len);
		break;
	case NOTICE_QUOTA:
		quota_receive(d->quota, peer_incarnation(conn), m->content,
		    m->len, data_now(d));
		break;
	default:
		break;
	}
}
