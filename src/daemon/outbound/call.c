#include <string.h>

#include "daemon/outbound/outbound.h"
#include "log.h"

#define LATE_US 10000 /* by which a timer is late if this task did not run */
#define UNREAD_US 100000 /* to read what came meanwhile */

void
outbound_start_timeout(struct out_call *c, int64_t timeout_us)
{
	c->timeout_us = timeout_us;
	c->deadline = MIN(c->caller_deadline, data_now(c->data) + timeout_us);
	c->retry.deadline = c->deadline;
}

int64_t
outbound_latest_deadline(const struct out_call *c)
{
	return c->body_whole
		   ? c->deadline
		   : MIN(c->caller_deadline, c->deadline + c->timeout_us);
}

/* Whether the rest of an answer may have come and lie unread, as this task did
 * not run when the time was over; asked once for a call. */
static int
may_be_unread(struct out_call *c, int64_t now)
{
	int was_late = c->was_late;

	c->was_late = 1;
	return !was_late && c->state == OUT_ANSWERING &&
	       now - c->deadline > LATE_US;
}

static void
deadline_expired(void *ctx, int64_t now)
{
	struct out_call *c = ctx;

	if (may_be_unread(c, now)) {
		io_timer_set(c->data->task.loop, &c->deadline_timer,
		    now + UNREAD_US);
		return;
	}
	c->reason = WIRE_REASON_DEADLINE;
	outbound_give_up_call(c);
}

static void
hedge_due(void *ctx, int64_t now)
{
	struct out_call *c = ctx;

	if (c->winner || c->state != OUT_TRYING)
		return;
	if (retry_allow_hedge(&c->service->retry, &c->retry, now) != RETRY_GO)
		return;
	if (!outbound_start_paid(c))
		c->data->counters.hedges++;
}

/* The first attempt starts later, when enough of the body has arrived. */
void
outbound_start_call(struct out_call *c)
{
	struct io_loop *loop = c->data->task.loop;

	c->service->called = 1;
	c->deadline_timer.fire = deadline_expired;
	c->deadline_timer.ctx = c;
	io_timer_set(loop, &c->deadline_timer, c->deadline);
	c->hedge_timer.fire = hedge_due;
	c->hedge_timer.ctx = c;
}

/* Refuses a call of which no attempt has started. */
static void
refuse_too_many(struct out_call *c, const char *reason)
{
	if (c->repeat)
		outbound_answer_error(c, 504, "unknown", reason,
		    "too many bytes are in flight; whether it ran before is "
		    "not known\n");
	else
		outbound_answer_error(c, 503, "not-run", reason,
		    "too many bytes are in flight\n");
}

/* Logs when calls begin to be refused and when they no longer are. */
static void
note_limit(struct data *d, int reached)
{
	if (reached == d->calls_refused)
		return;
	d->calls_refused = reached;
	log_event(reached ? EVENT_CALL_BYTES_REACHED : EVENT_CALL_BYTES_FREE,
	    reached ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE, data_now(d),
	    "%s bytes=%" G_GINT64_FORMAT " limit=%" G_GINT64_FORMAT,
	    reached ? "requests are refused: too many bytes are in flight"
		    : "requests are taken again",
	    d->call_bytes.used, d->call_bytes.limit);
}

int
outbound_refuse_at_limit(struct out_call *c)
{
	int reached;

	data_make_room(c->data);
	reached = byte_limit_reached(&c->data->call_bytes);
	note_limit(c->data, reached);
	if (reached)
		refuse_too_many(c, "bytes-in-flight");
	return reached;
}

/* Starts the first attempt and, if the call may be hedged, the timer for its
 * hedge; -1 when no attempt could be started; the call is freed then. */
static int
start_first_attempt(struct out_call *c)
{
	int64_t delay;

	c->state = OUT_TRYING;
	if (!outbound_fits(c)) {
		outbound_refuse_leaving(c);
		return -1;
	}
	c->tried_at = data_now(c->data);
	if (outbound_start_attempt(c)) {
		if (c->reason != WIRE_REASON_CRASHES)
			c->reason = WIRE_REASON_NO_TARGET;
		outbound_give_up_call(c);
		return -1;
	}
	delay = retry_hedge_delay(&c->service->retry, &c->retry);
	if (delay >= 0 && c->body_whole)
		io_timer_set(c->data->task.loop, &c->hedge_timer,
		    data_now(c->data) + delay);
	return 0;
}

/* Whether a request has to wait for a token of its organisation, or for others
 * on its connection: should one of
 * those close the connection, it counts as never read. One that is not
 * idempotent would then run twice; another one waits only while an answer is
 * being passed on piece by piece. */
static int
must_wait(const struct out_call *c)
{
	if (c->quota_waits)
		return 1;
	if (!c->idempotent)
		return http_exchange_has_predecessor(c->exchange);
	return http_exchange_must_wait(c->exchange);
}

/* Starts the first attempt unless it has to wait; then it starts in
 * request_turn(). */
static int
start_in_turn(struct out_call *c)
{
	return must_wait(c) ? 0 : start_first_attempt(c);
}

void
outbound_start_waiting(struct out_call *c)
{
	if (c && c->state == OUT_READING && !must_wait(c) &&
	    (c->body_whole || c->body->len >= WIRE_CHUNK_MAX))
		start_first_attempt(c);
}

static void
request_turn(void *ctx, struct http_exchange *x)
{
	struct out_call *c = http_exchange_ctx(x);
	struct http_exchange *next, *after;

	for (next = http_exchange_next(x); next; next = after) {
		after = http_exchange_next(next);
		outbound_start_waiting(http_exchange_ctx(next));
	}
	if (c && c->state == OUT_ANSWERING)
		outbound_hold_turn(c);
	else
		outbound_start_waiting(c);
}

size_t
outbound_body_share(const struct out_call *c)
{
	return byte_limit_share(&c->data->call_bytes, BODY_KEEP_MAX,
	    WIRE_WINDOW);
}

static void
request_body(void *ctx, struct http_exchange *x, const void *p, size_t n)
{
	struct out_call *c = http_exchange_ctx(x);
	int i;

	if (!c)
		return;
	g_byte_array_append(c->body, p, n);
	c->data->body_bytes += n;
	byte_limit_take(&c->data->call_bytes, n);
	if (c->data->body_bytes > c->data->settings.body_in_flight_bytes &&
	    c->state == OUT_READING) {
		refuse_too_many(c, "body-in-flight");
		return;
	}
	if (c->state == OUT_READING && c->body->len >= WIRE_CHUNK_MAX &&
	    start_in_turn(c))
		return;
	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state == ATTEMPT_SENT)
			outbound_send_body(&c->attempt[i]);
	if (!c->paused && c->body->len > outbound_body_share(c)) {
		c->paused = 1;
		http_exchange_pause(x, 1);
	}
}

/* The timeout of a route is how long a caller waits that has sent its request;
 * the request itself has to come within as long. */
static void
restart_timeout(struct out_call *c)
{
	outbound_start_timeout(c, c->timeout_us);
	io_timer_set(c->data->task.loop, &c->deadline_timer, c->deadline);
}

static void
request_end(void *ctx, struct http_exchange *x)
{
	struct out_call *c = http_exchange_ctx(x);
	int i;

	if (!c)
		return;
	c->body_whole = 1;
	if (c->timeout_us)
		restart_timeout(c);
	if (c->state == OUT_READING) {
		start_in_turn(c);
		return;
	}
	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (c->attempt[i].state == ATTEMPT_SENT)
			outbound_send_body(&c->attempt[i]);
}

/* What became of a request whose exchange failed: its caller has gone, its
 * connection was closed by this daemon, or it broke off itself. */
static const char *
gone_outcome(const struct http_exchange *x)
{
	enum http_end_cause cause = http_exchange_end_cause(x);

	if (cause == HTTP_END_NONE)
		return "broken-request";
	return http_end_by_caller(cause) ? "caller-gone" : "closed";
}

static void
caller_gone(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	struct out_call *c = http_exchange_ctx(x);
	int i;

	if (!c)
		return;
	c->outcome = gone_outcome(x);
	c->exchange = NULL;
	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		outbound_attempt_cancel(&c->attempt[i], c->outcome);
	outbound_call_free(c);
}

static void
bad_message(void *ctx, const struct kq_error *err)
{
	struct data *d = ctx;

	d->counters.bad_requests++;
}

static void
conn_ended(void *ctx, const struct http_conn_end *e)
{
	struct data *d = ctx;

	int by_caller = http_end_by_caller(e->cause);

	if (by_caller) {
		d->counters.conns_left++;
	} else {
		d->counters.conns_cut++;
		d->counters.conns_cut_requests += (uint64_t)e->exchanges;
	}
	log_event(EVENT_CONNECTION_CUT,
	    by_caller ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_WARNING, data_now(d),
	    "connection cut conn=%" G_GUINT64_FORMAT
	    " by=%s cause=%s requests=%d open=%d unsent=%zu reason=\"%s\" "
	    "ids=%s",
	    e->number, by_caller ? "caller" : "daemon",
	    http_end_cause_name(e->cause), e->exchanges, e->open, e->unsent,
	    e->reason, e->requests);
}

static void
conn_refused(void *ctx, enum http_refusal why, int error)
{
	struct data *d = ctx;

	d->counters.conns_refused[why]++;
	log_event(EVENT_CONNECTION_REFUSED, G_LOG_LEVEL_WARNING, data_now(d),
	    "connection of a caller refused reason=%s open=%d limit=%d "
	    "error=%s",
	    http_refusal_name(why), http_server_connections(d->server),
	    d->settings.connections, error ? g_strerror(error) : "none");
}

void
outbound_call_free(struct out_call *c)
{
	struct io_loop *loop = c->data->task.loop;
	struct data *d = c->data;
	int i;

	outbound_log_call(c);
	outbound_trace_call(c);
	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		outbound_attempt_clear(&c->attempt[i]);
	io_timer_clear(loop, &c->deadline_timer);
	io_timer_clear(loop, &c->hedge_timer);
	outbound_hold_end(c);
	outbound_quota_cancel(c);
	if (c->retry.deadline)
		retry_call_end(&c->service->retry, &c->retry);
	head_copy_clear(&c->head);
	d->body_bytes -= c->body->len;
	byte_limit_give(&d->call_bytes, c->body->len);
	g_byte_array_unref(c->body);
	g_hash_table_remove(d->out_calls, c);
	g_free(c);
	data_check_drained(d);
}

const struct http_server_ops outbound_server_ops = {
	.request = outbound_request,
	.body = request_body,
	.end = request_end,
	.drained = outbound_drained,
	.became_first = request_turn,
	.failed = caller_gone,
	.rejected = bad_message,
	.ended = conn_ended,
	.refused = conn_refused,
};
