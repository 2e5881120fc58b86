#include <string.h>

#include "daemon/inbound/inbound.h"

/* Buffered bytes of an answer that are sent at once; fewer wait for what comes
 * in the same iteration of the loop, as a target may send chunks of a few
 * bytes. */
#define FLUSH_BYTES 16384
#define BUFFER_BYTES 65536 /* beyond this the target's answer is not read */

static void
fill_reply(struct in_call *c, struct wire_reply *m, uint32_t outcome)
{
	struct data *d = c->data;

	memset(m, 0, G_STRUCT_OFFSET(struct wire_reply, field));
	m->clock = data_now(d);
	m->retries_used = c->retries_used;
	m->outcome = outcome;
	c->outcome = outcome;
	m->config_version = d->view->rules_version;
	inbound_fill_load(d, &m->load);
	m->status = c->answer_status;
	m->length = c->answer.length;
	m->nfield = c->answer.nfield;
	memcpy(m->field, c->answer.field, m->nfield * sizeof *m->field);
}

void
inbound_reply_head(struct in_call *c, uint32_t outcome, const void *body,
    size_t len, int more)
{
	struct wire_reply m;

	c->answer_held = 0;
	io_timer_clear(c->data->task.loop, &c->timer);
	if (!c->conn)
		return;
	fill_reply(c, &m, outcome);
	m.flags = more ? WIRE_REPLY_MORE : 0;
	m.body = body;
	m.body_len = len;
	c->answer_credit -= len;
	peer_send_reply(c->conn, c->xid, &m);
}

static int
send_chunk(struct in_call *c, const void *p, size_t n, int flags)
{
	struct wire_body m = { c->xid, flags | WIRE_BODY_ANSWER, p, n };

	c->answer_credit -= n;
	return peer_send_body(c->conn, &m);
}

/* Bytes beyond the credit stay buffered; reading of the target's answer goes on
 * once most of the buffer is sent. */
void
inbound_flush_answer(struct in_call *c)
{
	GByteArray *b = c->answer_body;
	size_t n, done = 0;
	int last;

	while (c->conn && b && done < b->len && c->answer_credit) {
		n = MIN(MIN(b->len - done, c->answer_credit), WIRE_CHUNK_MAX);
		last = c->answer_done && done + n == b->len;
		send_chunk(c, b->data + done, n, last ? WIRE_BODY_LAST : 0);
		done += n;
		if (last) {
			inbound_call_free(c);
			return;
		}
	}
	if (b && done) {
		g_byte_array_remove_range(b, 0, done);
		byte_limit_give(&c->data->call_bytes, done);
	}
	if (c->answer_paused && c->target_call &&
	    (!b || b->len < BUFFER_BYTES / 2)) {
		c->answer_paused = 0;
		http_call_pause(c->target_call, 0);
	}
}

static void
flush_due(void *ctx, int64_t now)
{
	inbound_flush_answer(ctx);
}

/* Buffers bytes of the answer, and pauses the reading of further ones when
 * there are many. */
static void
buffer_answer(struct in_call *c, const void *p, size_t n)
{
	if (!c->answer_body)
		c->answer_body = g_byte_array_new();
	g_byte_array_append(c->answer_body, p, n);
	byte_limit_take(&c->data->call_bytes, n);
	if (c->target_call && !c->answer_paused &&
	    c->answer_body->len >= BUFFER_BYTES) {
		c->answer_paused = c->answer_held_up = 1;
		http_call_pause(c->target_call, 1);
	}
}

void
inbound_drop_answer(struct in_call *c)
{
	if (!c->answer_body)
		return;
	byte_limit_give(&c->data->call_bytes, c->answer_body->len);
	g_byte_array_unref(c->answer_body);
	c->answer_body = NULL;
}

/* Tells the outbound side that the answer broke off; frees the call. */
static void
send_broken(struct in_call *c)
{
	if (c->conn)
		send_chunk(c, NULL, 0, WIRE_BODY_LAST | WIRE_BODY_BROKEN);
	inbound_call_free(c);
}

/* Frees @c with the last bytes, unless some of them wait for credit. */
void
inbound_forward_answer(struct in_call *c, const void *p, size_t n, int last,
    int cut)
{
	size_t first = MIN(n, WIRE_CHUNK_MAX);

	if (cut) {
		send_broken(c);
		return;
	}
	if (!c->conn) {
		if (last)
			inbound_call_free(c);
		return;
	}
	if (c->answer_held) {
		/* The reply is complete only if these bytes are the last or
		 * complete the announced length; else more may follow. */
		inbound_reply_head(c, WIRE_ANSWER, p, first,
		    !last && !(c->answer.length >= 0 &&
				 (uint64_t)c->answer.length == first));
		c->answer_in_reply = !last && c->answer.length >= 0 &&
				     (uint64_t)c->answer.length == first;
		if (last) {
			inbound_call_free(c);
			return;
		}
		p = (const char *)p + first;
		n -= first;
	}
	if (n)
		buffer_answer(c, p, n);
	c->answer_done = last;
	if (last &&
	    (c->answer_in_reply || !c->answer_body || !c->answer_body->len)) {
		if (!c->answer_in_reply)
			send_chunk(c, NULL, 0, WIRE_BODY_LAST);
		inbound_call_free(c);
		return;
	}
	if (last || !c->answer_body || c->answer_body->len >= FLUSH_BYTES) {
		inbound_flush_answer(c);
		return;
	}
	c->timer.fire = flush_due;
	c->timer.ctx = c;
	io_timer_set(c->data->task.loop, &c->timer, data_now(c->data));
}

/* A kept answer is no longer than the window, so it is sent without waiting for
 * credit. */
void
inbound_reply_kept(struct in_call *c, const struct once_answer *k)
{
	size_t n, done;

	c->answer_status = k->status;
	head_copy(&c->answer, NULL, NULL, k->body_len,
	    (const struct http_field *)k->field, k->nfield);
	c->answer.length = k->body_len;
	done = MIN(k->body_len, WIRE_CHUNK_MAX);
	inbound_reply_head(c, WIRE_KEPT, k->body, done, done < k->body_len);
	while (c->conn && done < k->body_len) {
		n = MIN(k->body_len - done, WIRE_CHUNK_MAX);
		send_chunk(c, (const char *)k->body + done, n,
		    done + n == k->body_len ? WIRE_BODY_LAST : 0);
		done += n;
	}
	inbound_call_free(c);
}

/* Replies to a repeat that waited in the at-most-once table. */
void
inbound_once_reply(void *ctx, void *arg, enum once_outcome o,
    const struct once_answer *k)
{
	struct in_call *c = arg;

	c->once_waiter = 0;
	if (o == ONCE_ANSWER)
		inbound_reply_kept(c, k);
	else if (o == ONCE_NOT_RUN)
		inbound_reply_outcome(c, WIRE_NOT_RUN, WIRE_REASON_FULL);
	else
		inbound_reply_outcome(c, WIRE_UNKNOWN, WIRE_REASON_LOST);
}

/* Replies to the waiting repeats whose deadline has passed. */
static void
once_due(void *ctx, int64_t now)
{
	struct data *d = ctx;

	once_expire_waiters(d->once, now);
	inbound_set_once_timer(d);
}

void
inbound_set_once_timer(struct data *d)
{
	int64_t due = once_next_deadline(d->once);

	d->once_timer.fire = once_due;
	d->once_timer.ctx = d;
	if (due == INT64_MAX)
		io_timer_clear(d->task.loop, &d->once_timer);
	else
		io_timer_set(d->task.loop, &d->once_timer, due);
}
