#include <string.h>

#include "config.h"
#include "daemon/outbound/outbound.h"

#define RECONNECT_DELAY_US 250000 /* after a connect failed or a close */

struct out_peer *
out_peer_new(struct data *d, uint64_t incarnation, const char *ip, int port)
{
	struct out_peer *p = g_new0(struct out_peer, 1);

	p->data = d;
	p->incarnation = incarnation;
	g_strlcpy(p->ip, ip, sizeof p->ip);
	p->port = port;
	p->attempts = g_hash_table_new(g_direct_hash, g_direct_equal);
	p->probes = g_hash_table_new(g_direct_hash, g_direct_equal);
	p->waiting = g_ptr_array_new();
	g_hash_table_insert(d->peers, &p->incarnation, p);
	return p;
}

int
out_peer_connect(struct out_peer *p)
{
	int64_t now = data_now(p->data);

	if (p->conn)
		return 0;
	if (now < p->connect_after)
		return -1;
	p->conn = peer_connect(p->data->node, p->ip, p->port, NULL);
	if (!p->conn) {
		p->connect_after = now + RECONNECT_DELAY_US;
		return -1;
	}
	peer_set_ctx(p->conn, p);
	return 0;
}

static void
send_pull(struct out_peer *p)
{
	struct wire_pull m = { p->pull.after, p->pull.full, p->pull.batch_id };

	p->pull_wanted = 0;
	p->pull_xid = peer_send_pull(p->conn, &m);
}

/* Reports a pull that is wanted or in flight as failed. */
static void
pull_failed(struct out_peer *p)
{
	struct data *d = p->data;

	if (!p->pull_wanted && !p->pull_xid)
		return;
	p->pull_wanted = 0;
	p->pull_xid = 0;
	d->events->page_received(d->events_ctx, p->incarnation, NULL);
}

/* Removes the first attempt that waits for the connection and returns it; NULL
 * when none waits. */
static struct out_attempt *
take_waiting(struct out_peer *p)
{
	struct out_attempt *a;

	if (!p->waiting->len)
		return NULL;
	a = g_ptr_array_index(p->waiting, 0);
	g_ptr_array_remove_index(p->waiting, 0);
	a->state = ATTEMPT_UNUSED;
	return a;
}

void
out_peer_opened(struct out_peer *p)
{
	struct out_attempt *a;

	if (p->incarnation && peer_incarnation(p->conn) != p->incarnation) {
		peer_close(p->conn);
		return;
	}
	once_clock_update(&p->clock, peer_hello_clock(p->conn),
	    data_now(p->data));
	if (p->data->leave.end) {
		peer_allow_silence(p->conn);
		outbound_refuse_late(p->data);
	}
	while ((a = take_waiting(p)))
		if (outbound_attempt_send(a))
			outbound_attempt_refused(a, WIRE_REASON_NO_TARGET,
			    NULL);
	if (p->pull_wanted && p->conn)
		send_pull(p);
}

/* Whether a call was certainly not taken. What became of a repeat's earlier run
 * is unknown all the same. */
static int
not_taken(const struct out_peer *p, const struct out_attempt *a)
{
	return p->ended && (int32_t)(a->xid - p->taken) > 0 && !a->call->repeat;
}

/* Attempts that were sent and not answered may have run, unless the peer said
 * that it did not take them; those that waited for the connection have not. */
void
out_peer_closed(struct out_peer *p)
{
	struct out_attempt *a;
	GHashTableIter it;
	gpointer v;

	p->conn = NULL;
	p->probed_at = p->calls_resent = p->check_asked = 0;
	p->connect_after = data_now(p->data) + RECONNECT_DELAY_US;
	g_hash_table_remove_all(p->probes);
	pull_failed(p);
	while ((a = take_waiting(p)))
		outbound_attempt_refused(a, WIRE_REASON_NO_TARGET, NULL);
	for (;;) {
		g_hash_table_iter_init(&it, p->attempts);
		if (!g_hash_table_iter_next(&it, NULL, &v))
			break;
		if (not_taken(p, v))
			outbound_attempt_refused(v, WIRE_REASON_NO_TARGET,
			    NULL);
		else
			outbound_attempt_failed(v, RETRY_LOST);
	}
	p->ended = 0;
}

void
out_peer_ended(struct out_peer *p, uint32_t taken)
{
	p->ended = 1;
	p->taken = taken;
	peer_close(p->conn);
}

void
out_peer_retire(struct out_peer *p)
{
	struct out_service *s = p->service;

	if (!s)
		return;
	pick_remove(s->pick, p->handle);
	g_hash_table_remove(s->by_handle, GUINT_TO_POINTER(p->handle));
	p->service = NULL;
	p->handle = PICK_NONE;
}

void
out_service_probe(struct out_service *s)
{
	uint32_t handle = pick_next_probe(s->pick, data_now(s->data));
	struct out_peer *p;
	uint32_t xid;

	if (handle == PICK_NONE)
		return;
	p = g_hash_table_lookup(s->by_handle, GUINT_TO_POINTER(handle));
	if (!p || out_peer_connect(p) || !peer_is_open(p->conn))
		return;
	xid = peer_send_probe(p->conn);
	if (!xid)
		return;
	s->data->counters.probes++;
	g_hash_table_add(p->probes, GUINT_TO_POINTER(xid));
}

void
outbound_probe_reply(void *ctx, struct peer_conn *conn, uint32_t xid,
    const struct wire_probe_result *m)
{
	struct out_peer *p = peer_ctx(conn);
	int64_t now = data_now(p->data);

	if (!g_hash_table_remove(p->probes, GUINT_TO_POINTER(xid)))
		return;
	once_clock_update(&p->clock, m->clock, now);
	if (p->service)
		pick_note_probe_reply(p->service->pick, p->handle, now,
		    &m->load);
}

static struct config_batch *
batch_from_page(struct out_peer *p, const struct wire_state *m)
{
	struct config_batch *b = g_new0(struct config_batch, 1);
	struct config_object *o;
	uint32_t i;

	b->source = p->incarnation;
	b->after = m->after;
	b->upto = m->upto;
	b->complete = m->complete;
	b->more = !!(m->flags & WIRE_STATE_MORE);
	b->full = !!(m->flags & WIRE_STATE_FULL);
	b->batch_id = m->number;
	b->nobject = m->nobject;
	b->object = g_new0(struct config_object, m->nobject + 1);
	for (i = 0; i < m->nobject; i++) {
		o = &b->object[i];
		o->kind = m->object[i].kind;
		o->version = m->object[i].version;
		o->serial = m->object[i].serial;
		o->removed = m->object[i].removed;
		g_strlcpy(o->name, m->object[i].name, sizeof o->name);
		o->unpacked_size = m->object[i].unpacked_size;
		if (!o->removed)
			o->value = g_bytes_new(m->object[i].value,
			    m->object[i].value_len);
	}
	return b;
}

void
outbound_pull_reply(void *ctx, struct peer_conn *conn, uint32_t xid,
    const struct wire_state *m)
{
	struct out_peer *p = peer_ctx(conn);
	struct data *d = p->data;

	if (p->pull_xid != xid)
		return;
	p->pull_xid = 0;
	d->events->page_received(d->events_ctx, p->incarnation,
	    batch_from_page(p, m));
}

struct pull_request {
	uint64_t incarnation;
	char ip[IP_TEXT_MAX];
	int port;
	struct config_pull pull;
};

static void
start_pull(void *ctx, void *message)
{
	struct data *d = ctx;
	struct pull_request *o = message;
	struct out_peer *p = g_hash_table_lookup(d->peers, &o->incarnation);

	if (!p)
		p = out_peer_new(d, o->incarnation, o->ip, o->port);
	p->pull_wanted = 1;
	p->pull = o->pull;
	g_free(o);
	if (out_peer_connect(p))
		pull_failed(p);
	else if (peer_is_open(p->conn))
		send_pull(p);
}

void
data_pull_config(struct data *d, uint64_t incarnation, const char *ip, int port,
    const struct config_pull *pull_next)
{
	struct pull_request *o = g_new0(struct pull_request, 1);

	o->incarnation = incarnation;
	g_strlcpy(o->ip, ip, sizeof o->ip);
	o->port = port;
	o->pull = *pull_next;
	task_post(&d->task, start_pull, d, o);
}
