#include "link.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Only one of a known, small length on a connection that stays open can be read
 * over: the end of others is not known, or the call's own can't follow. */
static int
is_extra(struct http_link *l, const struct http_in *in)
{
	struct http_call *c = l->call;

	return c->ops->is_extra && l->answered && !l->earlier_head &&
	       in->head.length >= 0 && in->head.length <= HTTP_EXTRA_BYTES &&
	       http_should_keep_alive(&in->parser) &&
	       c->nextra < HTTP_EXTRA_MAX &&
	       c->ops->is_extra(c->ctx, &in->head);
}

static int
on_head(void *ctx, struct http_in *in)
{
	struct http_link *l = ctx;
	int status = in->head.status;

	l->interim = status < 200;
	if (status == 101)
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "unexpected response status");
	if (l->interim && l->call->ninterim++ == HTTP_INTERIM_MAX)
		return in_set_error(in, 400, HTTP_E_SYNTAX,
		    "too many interim responses");
	if (l->interim)
		return 1;
	l->extra = is_extra(l, in);
	if (l->extra) {
		l->call->nextra++;
		l->extra_by = io_now(l->pool->loop) + HTTP_EXTRA_US;
		return http_no_body(status);
	}
	l->call->ops->head(l->call->ctx, &in->head);
	if (l->closed)
		return 1;
	return l->call->method_is_head || http_no_body(status);
}

static void
on_body(void *ctx, const void *data, size_t n)
{
	struct http_link *l = ctx;

	if (!l->closed && !l->extra)
		l->call->ops->body(l->call->ctx, data, n);
}

static void
on_end(void *ctx)
{
	(void)ctx;
}

const struct http_in_ops link_in_ops = { on_head, on_body, on_end };

static int
replace_link(struct http_link *l)
{
	struct http_call *c = l->call;
	struct http_link *n;
	struct http_out out;

	if (!c->link_replaceable || c->sent)
		return 0;
	n = link_new(l->pool, NULL);
	if (!n)
		return 0;
	c->link_replaceable = 0;
	out = n->out;
	n->out = l->out;
	l->out = out;
	n->call = c;
	c->link = n;
	in_pause(&n->in, c->paused);
	link_set_state(n, LINK_BUSY);
	link_close(l);
	link_update_watch(n);
	return 1;
}

void
link_fail(struct http_link *l, const struct kq_error *err)
{
	struct http_call *c = l->call;
	struct kq_error copy = *err;

	if (!c) {
		pool_open_spare_later(l->pool);
		link_close(l);
		return;
	}
	if (replace_link(l))
		return;
	link_close(l);
	c->link = NULL;
	c->ops->failed(c->ctx, &copy, c->sent);
	call_free(c);
}

static void
fail(struct http_link *l, int code, const char *text, int e)
{
	struct kq_error err;

	kq_error_set(&err, KQ_LAYER_HTTP, code, "%s%s%s", text, e ? ": " : "",
	    e ? strerror(e) : "");
	link_fail(l, &err);
}

static void
finish_call(struct http_link *l, int eof)
{
	struct http_call *c = l->call;
	int reuse = l->in.keep_alive && c->ended && !c->half_closed &&
		    !out_pending(&l->out) && !l->in.unparsed_len && !eof &&
		    !c->nextra && !l->send_errno &&
		    l->pool->count[LINK_IDLE] < HTTP_IDLE_MAX;

	l->call = NULL;
	c->link = NULL;
	l->answered = 1;
	l->earlier_tag = c->tag;
	l->earlier_head = c->method_is_head;
	if (reuse) {
		in_pause(&l->in, 0);
		in_next_message(&l->in);
		link_set_state(l, LINK_IDLE);
	} else {
		link_close(l);
	}
	c->ops->done(c->ctx);
	call_free(c);
}

static void
parse_input(struct http_link *l, const char *data, size_t n)
{
	for (;;) {
		if (in_feed(&l->in, data, n) < 0) {
			if (!l->closed)
				link_fail(l, &l->in.err);
			return;
		}
		if (l->closed || !l->in.ended)
			return;
		if (!l->interim && !l->extra)
			break;
		l->extra = 0;
		in_next_message(&l->in);
		if (!l->in.unparsed_len)
			return;
		data = NULL;
		n = 0;
	}
	finish_call(l, 0);
}

/* A send that failed has taken the reset from the socket, so that the end may
 * be no orderly one: a body that lasts until the end is not complete then. */
static void
handle_eof(struct http_link *l)
{
	if (l->send_errno) {
		fail(l, HTTP_E_CLOSED, "send", l->send_errno);
		return;
	}
	if (in_feed_eof(&l->in) < 0) {
		if (!l->closed)
			link_fail(l, &l->in.err);
		return;
	}
	if (l->closed)
		return;
	if (l->in.ended && !l->interim && !l->extra)
		finish_call(l, 1);
	else
		fail(l, HTTP_E_CLOSED, "connection closed before a response",
		    0);
}

static void
read_input(struct http_link *l)
{
	ssize_t n = recv(l->fd, l->pool->scratch, HTTP_READ_BYTES, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0)
		fail(l, HTTP_E_CLOSED, "receive", errno);
	else if (!l->call)
		fail(l, HTTP_E_CLOSED, "idle connection closed", 0);
	else if (!l->call->sent)
		fail(l, HTTP_E_CLOSED, "input before the request was sent", 0);
	else if (n == 0)
		handle_eof(l);
	else {
		l->last_byte = io_now(l->pool->loop);
		parse_input(l, l->pool->scratch, (size_t)n);
	}
}

/* The socket was reset while the user had paused the answer, the rest of which
 * it may hold. The watch, which would report this again, ends. */
static void
note_reset(struct http_link *l)
{
	io_watch_remove(l->pool->loop, &l->watch);
	if (!l->send_errno)
		l->send_errno = ECONNRESET;
	link_schedule(l);
}

static void
handle_readable(struct http_link *l)
{
	if (!(l->watch.events & IO_READ)) {
		note_reset(l);
		return;
	}
	if (l->call && l->call->paused) {
		l->read_disabled = 1;
		return;
	}
	read_input(l);
}

static void
handle_connected(struct http_link *l)
{
	socklen_t n = sizeof(int);
	int e = 0;

	if (getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &e, &n) < 0)
		e = errno;
	if (e) {
		fail(l, HTTP_E_CONNECT, "connect", e);
		return;
	}
	l->connected = 1;
	io_limit_silence(l->fd, 0);
	l->last_byte = io_now(l->pool->loop);
	link_flush(l);
}

static void
leave_callback(struct http_link *l)
{
	if (!l->closed && l->corked)
		link_flush(l);
	l->in_callback = 0;
	if (!l->closed)
		link_update_watch(l);
}

void
link_handle_ready(struct http_link *l, int ready)
{
	l->in_callback = 1;
	if (!l->connected) {
		handle_connected(l);
	} else {
		if (ready & IO_WRITE)
			link_flush(l);
		if (!l->closed && (ready & IO_READ))
			handle_readable(l);
	}
	leave_callback(l);
}

/* Whether an answer may have come before a send failed. */
static int
may_be_answered(const struct http_link *l)
{
	return l->call && l->call->sent && l->send_errno != EPROTO;
}

/* Reads what came before a send failed, one part an iteration, once the user
 * has not paused the answer; the call fails if that holds no whole answer. */
static void
read_rest(struct http_link *l)
{
	ssize_t n = 0;

	if (may_be_answered(l) && l->call->paused)
		return;
	if (may_be_answered(l))
		n = recv(l->fd, l->pool->scratch, HTTP_READ_BYTES, 0);
	if (n <= 0) {
		fail(l, HTTP_E_CLOSED, "send", l->send_errno);
		return;
	}
	parse_input(l, l->pool->scratch, (size_t)n);
	link_schedule(l);
}

static void
run_scheduled(struct http_link *l)
{
	l->scheduled = 0;
	if (l->corked)
		link_flush(l);
	if (!l->closed && l->call && !l->call->paused && l->in.unparsed_len)
		parse_input(l, NULL, 0);
	if (!l->closed && l->send_errno)
		read_rest(l);
}

/* What follows an extra response that breaks off would be taken for the rest of
 * its body. */
static void
time_out(struct http_link *l)
{
	if (!l->connected)
		fail(l, HTTP_E_CONNECT, "connect timed out", 0);
	else if (l->extra)
		fail(l, HTTP_E_SYNTAX, "an extra response broke off", 0);
	else
		fail(l, HTTP_E_TIMEOUT, "timed out: no byte sent or received",
		    0);
}

void
link_handle_timer(struct http_link *l, int64_t now)
{
	int64_t due;

	l->in_callback = 1;
	if (l->scheduled)
		run_scheduled(l);
	due = l->closed ? 0 : link_timeout_time(l);
	if (due && due <= now)
		time_out(l);
	leave_callback(l);
}
