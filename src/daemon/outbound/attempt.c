#include <string.h>

#include <sodium.h>

#include "daemon/outbound/outbound.h"

static struct out_attempt *
unused_attempt(struct out_call *c)
{
	int i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state == ATTEMPT_UNUSED)
			return &c->attempt[i];
	return NULL;
}

/* Peer of the incarnation in the request id that the caller sent, the only one
 * that the request may go to; NULL when it is not known. */
static struct out_peer *
peer_of_request_id(struct out_call *c)
{
	struct once_id id;

	if (once_id_parse(&id, c->id))
		return NULL;
	return g_hash_table_lookup(c->data->peers, &id.incarnation);
}

/* Attempts that reached a target or still may. */
static int
attempts_used(const struct out_call *c)
{
	int i, n = c->reached;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		n += c->attempt[i].state != ATTEMPT_UNUSED &&
		     !c->attempt[i].counted;
	return n;
}

static int
is_open_at(const struct out_call *c, uint32_t handle)
{
	int i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state != ATTEMPT_UNUSED &&
		    c->attempt[i].handle == handle)
			return 1;
	return 0;
}

/* Peer for the next attempt, or NULL: the one in the request id for a repeat,
 * else the next candidate to try, while attempts are left. */
static struct out_peer *
choose_peer(struct out_call *c, int64_t now)
{
	struct out_service *s = c->service;
	uint32_t handle;

	if (c->repeat)
		return peer_of_request_id(c);
	if (attempts_used(c) >= c->attempts_max)
		return NULL;
	do {
		handle = outbound_next_target(c, now);
	} while (handle != PICK_NONE && is_open_at(c, handle));
	if (handle == PICK_NONE)
		return NULL;
	return g_hash_table_lookup(s->by_handle, GUINT_TO_POINTER(handle));
}

/* Sends the attempt now, or queues it until the connection to its peer is
 * open; -1 when it can do neither. */
static int
send_or_wait(struct out_attempt *a)
{
	struct out_peer *p = a->peer;

	if (p->conn && peer_is_open(p->conn))
		return outbound_attempt_send(a);
	if (out_peer_connect(p))
		return -1;
	a->state = ATTEMPT_WAITING;
	g_ptr_array_add(p->waiting, a);
	return 0;
}

/* Whether the request is refused because it crashes targets. While no request
 * is suspected of that, its digest is not needed. */
static int
crashes_targets(struct out_call *c, int64_t now)
{
	struct data *d = c->data;

	if (!crash_any(d->crashes))
		return 0;
	if (!c->digest)
		c->digest = data_request_digest(c->data, &c->head,
		    c->body->data, MIN(c->body->len, WIRE_CHUNK_MAX));
	return crash_refused_until(d->crashes, c->digest, now) != 0;
}

int
outbound_start_attempt(struct out_call *c)
{
	struct out_attempt *a = unused_attempt(c);
	int64_t now = data_now(c->data);
	struct out_service *s = c->service;
	struct out_peer *p;

	if (!a || c->body_base || !outbound_fits(c))
		return -1;
	if (crashes_targets(c, now)) {
		c->reason = WIRE_REASON_CRASHES;
		return -1;
	}
	while ((p = choose_peer(c, now))) {
		memset(a, 0, sizeof *a);
		a->call = c;
		a->peer = p;
		a->handle = p->handle;
		a->started = now;
		a->round = c->tried.second_round + 1;
		a->credit = byte_limit_share(&c->data->call_bytes,
		    BODY_KEEP_MAX, WIRE_WINDOW);
		pick_sent(s->pick, a->handle, now);
		if (!send_or_wait(a)) {
			out_service_probe(s);
			return 0;
		}
		outbound_attempt_clear(a);
		tried_note_ended(&c->tried, a->handle, TRIED_UNABLE);
		pick_refused(s->pick, a->handle, now, WIRE_REASON_NO_TARGET,
		    NULL);
		if (c->repeat)
			break;
	}
	return -1;
}

int
outbound_start_paid(struct out_call *c)
{
	if (!outbound_start_attempt(c)) {
		outbound_quota_extra(c);
		return 0;
	}
	retry_refund(&c->service->retry, &c->retry);
	return -1;
}

/* Makes a new request id for an attempt at a request that is not idempotent;
 * -1 when the clock of its peer is not known yet. A repeat keeps its id. */
static int
mint_id(struct out_attempt *a, int64_t now)
{
	struct out_call *c = a->call;
	uint8_t random[ONCE_RANDOM_LEN];
	struct once_id id;

	if (c->idempotent || c->repeat)
		return 0;
	randombytes_buf(random, sizeof random);
	if (once_id_mint(&id, a->peer->incarnation, &a->peer->clock, now,
		random))
		return -1;
	once_id_format(&id, c->id);
	return 0;
}

/* Time left in microseconds, 0 when it is over. */
static uint32_t
left_us(int64_t until, int64_t now)
{
	int64_t left = until - now;

	if (left < 0)
		return 0;
	return left > UINT32_MAX ? UINT32_MAX : left;
}

/* Whether a refused call can go to another target: a repeat goes only where its
 * earlier run went, and no body is sent again of which bytes may be freed until
 * the refusal comes. */
static int
can_move(const struct out_call *c)
{
	int64_t length = c->body_whole ? (int64_t)(c->body_base + c->body->len)
				       : c->head.length;

	return !c->repeat && length >= 0 && length <= BODY_KEEP_MAX;
}

/* Whether only the target of this attempt can take the call, or others that
 * stop as well. */
static int
nowhere_else(const struct out_attempt *a, int64_t now)
{
	const struct out_call *c = a->call;

	return !can_move(c) ||
	       !tried_any_stays(&c->tried, c->service->pick, now, a->handle);
}

/* Lets a target that is slow or crowded, or whose daemon stops, refuse the call
 * only while another one is left for it; a crowded one also only if the call
 * has more than one extra attempt left. */
static uint32_t
call_flags(struct out_attempt *a, int64_t now)
{
	const struct out_call *c = a->call;
	int movable;

	a->refusable =
	    can_move(c) && tried_may_refuse(&c->tried, c->service->pick);
	movable = a->refusable && retry_movable(&c->service->retry, &c->retry);

	return (c->idempotent ? WIRE_CALL_IDEMPOTENT : 0) |
	       (c->repeat ? WIRE_CALL_REPEAT : 0) |
	       (a->refusable ? WIRE_CALL_HAS_ALTERNATIVE : 0) |
	       (movable ? WIRE_CALL_REFUSE_CROWDED : 0) |
	       (nowhere_else(a, now) ? WIRE_CALL_NOWHERE_ELSE : 0);
}

/* Fills in the message of an attempt, with the first bytes of the body.
 * @m->trace points to a static buffer that the next call overwrites. */
static void
fill_call(struct out_attempt *a, struct wire_call *m, int64_t now)
{
	struct out_call *c = a->call;
	size_t n = MIN(c->body->len, WIRE_CHUNK_MAX);
	static char trace[TRACEPARENT_LEN + 1];

	trace[0] = 0;
	if (c->trace.sampled) {
		trace_start_child(&a->trace, &c->trace);
		trace_format(&a->trace, trace);
	}
	memset(m, 0, G_STRUCT_OFFSET(struct wire_call, field));
	m->config_version = c->data->view->rules_version;
	m->incarnation = a->peer->incarnation;
	m->left_us = left_us(outbound_latest_deadline(c), now);
	m->objective_us = left_us(MIN(c->objective, c->deadline), now);
	m->flags = call_flags(a, now);
	m->retries_left = retry_begin_attempt(&c->retry);
	m->depth = c->retry.depth + 1;
	m->service = c->service->conf.name;
	m->method = c->head.method;
	m->path = c->head.path;
	m->id = c->id;
	m->trace = trace;
	m->length = c->head.length;
	m->nfield = c->head.nfield;
	memcpy(m->field, c->head.field, m->nfield * sizeof *m->field);
	m->body = c->body->data;
	m->body_len = n;
	if (!c->body_whole || n < c->body->len)
		m->flags |= WIRE_CALL_MORE;
	else
		a->end_sent = 1;
	m->flags |= wire_window_flags(a->window);
}

/* Window for the answer, as the inbound side will read it from the call. */
static size_t
answer_window(const struct data *d)
{
	return wire_window(wire_window_flags(
	    byte_limit_share(&d->call_bytes, WIRE_CHUNK_MAX, WIRE_WINDOW)));
}

int
outbound_attempt_send(struct out_attempt *a)
{
	struct out_call *c = a->call;
	int64_t now = data_now(c->data);
	struct wire_call m;

	if (mint_id(a, now))
		return -1;
	a->window = answer_window(c->data);
	fill_call(a, &m, now);
	a->xid = peer_send_call(a->peer->conn, &m);
	if (!a->xid)
		return -1;
	a->state = ATTEMPT_SENT;
	http_exchange_set_passed(c->exchange);
	a->promised = a->window;
	byte_limit_take(&c->data->call_bytes, a->promised);
	a->body_sent = m.body_len;
	a->credit -= m.body_len;
	g_hash_table_insert(a->peer->attempts, GUINT_TO_POINTER(a->xid), a);
	outbound_send_body(a);
	return 0;
}

/* Frees the bytes of the body that all open attempts have sent, once it is
 * larger than BODY_KEEP_MAX, and resumes reading from the caller when few are
 * left. After that no further attempt can start. */
static void
release_body(struct out_call *c)
{
	size_t low = SIZE_MAX, total = c->body_base + c->body->len;
	int i;

	if (total <= BODY_KEEP_MAX)
		return;
	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state != ATTEMPT_UNUSED)
			low = MIN(low, c->attempt[i].body_sent);
	if (low == SIZE_MAX || low <= c->body_base)
		return;
	g_byte_array_remove_range(c->body, 0, low - c->body_base);
	c->data->body_bytes -= low - c->body_base;
	byte_limit_give(&c->data->call_bytes, low - c->body_base);
	c->body_base = low;
	if (c->paused && c->body->len <= outbound_body_share(c) / 2) {
		c->paused = 0;
		http_exchange_pause(c->exchange, 0);
	}
}

void
outbound_send_body(struct out_attempt *a)
{
	struct out_call *c = a->call;
	size_t total = c->body_base + c->body->len;
	struct wire_body m;
	size_t n;

	while (!a->end_sent) {
		n = MIN(MIN(total - a->body_sent, a->credit), WIRE_CHUNK_MAX);
		if (!n && !(c->body_whole && a->body_sent == total))
			break;
		m.call_xid = a->xid;
		m.body = c->body->data + (a->body_sent - c->body_base);
		m.body_len = n;
		m.flags = 0;
		if (c->body_whole && a->body_sent + n == total)
			m.flags = WIRE_BODY_LAST;
		if (peer_send_body(a->peer->conn, &m))
			return;
		a->body_sent += n;
		a->credit -= n;
		a->end_sent = m.flags & WIRE_BODY_LAST;
	}
	release_body(c);
}

void
outbound_credit(struct out_peer *p, const struct wire_credit *m)
{
	struct out_attempt *a =
	    g_hash_table_lookup(p->attempts, GUINT_TO_POINTER(m->call_xid));

	if (!a || m->bytes > WIRE_WINDOW - a->credit)
		return;
	a->credit += m->bytes;
	outbound_send_body(a);
}

int
outbound_has_attempt(const struct out_call *c, enum attempt_state state)
{
	int i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state == state)
			return 1;
	return 0;
}

void
outbound_attempt_clear(struct out_attempt *a)
{
	if (a->state == ATTEMPT_WAITING)
		g_ptr_array_remove_fast(a->peer->waiting, a);
	if (a->state == ATTEMPT_SENT) {
		g_hash_table_remove(a->peer->attempts,
		    GUINT_TO_POINTER(a->xid));
		byte_limit_give(&a->call->data->call_bytes, a->promised);
		a->promised = 0;
	}
	a->state = ATTEMPT_UNUSED;
}

void
outbound_attempt_cancel(struct out_attempt *a, const char *why)
{
	struct out_call *c = a->call;
	int64_t now;

	if (a->state == ATTEMPT_UNUSED)
		return;
	now = data_now(c->data);
	outbound_trace_attempt(a, "cancelled", 0);
	outbound_log_attempt(a, why, 0, NULL);
	if (a->state == ATTEMPT_SENT && a->peer->conn)
		peer_send_cancel(a->peer->conn, a->xid);
	pick_done(c->service->pick, a->handle, now, now - a->started,
	    PICK_CANCELLED, NULL);
	outbound_attempt_clear(a);
}
