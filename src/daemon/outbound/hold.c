#include "daemon/outbound/outbound.h"

#define HOLD_CALL_MAX 524288 /* bytes of one answer */
#define HOLD_SUM_MAX 16777216 /* bytes of all answers */
/* an answer of unknown length, from its head */
#define HOLD_UNKNOWN_US 1000000

/* An answer that is passed on piece by piece takes the requests behind it on
 * its connection along if it breaks off. It is held until it is whole, within
 * bounds of bytes and time, if there are such requests. */

static void
set_bytes(struct out_call *c, size_t n)
{
	c->data->held_bytes += (int64_t)n - (int64_t)c->hold.bytes;
	c->hold.bytes = n;
}

void
outbound_hold_end(struct out_call *c)
{
	c->hold.on = 0;
	set_bytes(c, 0);
	io_timer_clear(c->data->task.loop, &c->hold.timer);
}

static size_t
release(struct out_call *c)
{
	outbound_hold_end(c);
	return http_exchange_release(c->exchange);
}

static void
hold_expired(void *ctx, int64_t now)
{
	(void)now;
	release(ctx);
}

void
outbound_hold_begin(struct out_call *c, int64_t length)
{
	struct http_exchange *x = c->exchange;

	if (!http_exchange_has_predecessor(x) && !http_exchange_next(x))
		return;
	c->hold.on = 1;
	http_exchange_hold(x);
	if (length != HTTP_LENGTH_CHUNKED)
		return;
	c->hold.timer.fire = hold_expired;
	c->hold.timer.ctx = c;
	io_timer_set(c->data->task.loop, &c->hold.timer,
	    data_now(c->data) + HOLD_UNKNOWN_US);
}

size_t
outbound_hold_body(struct out_call *c, size_t unsent)
{
	if (!c->hold.on)
		return unsent;
	set_bytes(c, unsent);
	if (unsent > HOLD_CALL_MAX || c->data->held_bytes > HOLD_SUM_MAX)
		return release(c);
	return http_exchange_has_predecessor(c->exchange) ? unsent : 0;
}

void
outbound_hold_turn(struct out_call *c)
{
	if (!c->hold.on)
		return;
	if (!http_exchange_next(c->exchange))
		release(c);
	else
		outbound_drained(c->data, c->exchange);
}
