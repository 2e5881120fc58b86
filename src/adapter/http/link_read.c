#include "http_impl.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

static int
on_head(void *ctx, struct http_in *in)
{
	struct http_link *l = ctx;
	int status = in->head.status;

	l->interim = status < 200;
	if (status == 101 || status < 100)
		return in_fault(in, 400, HTTP_E_SYNTAX,
		    "response status was not asked for");
	if (l->interim)
		return 1;
	l->call->ops->head(l->call->ctx, &in->head);
	if (l->dead)
		return 1;
	return l->call->is_head || http_no_body(status);
}

static void
on_body(void *ctx, const void *data, size_t n)
{
	struct http_link *l = ctx;

	if (!l->dead)
		l->call->ops->body(l->call->ctx, data, n);
}

static void
on_end(void *ctx)
{
	(void)ctx;
}

const struct http_in_ops link_in_ops = { on_head, on_body, on_end };

static int
replace(struct http_link *l)
{
	struct http_call *c = l->call;
	struct http_link *n;
	struct http_out out;

	if (!c->replaceable || c->sent)
		return 0;
	n = link_new(l->pool, NULL);
	if (!n)
		return 0;
	c->replaceable = 0;
	out = n->out;
	n->out = l->out;
	l->out = out;
	n->call = c;
	c->link = n;
	in_hold(&n->in, c->paused);
	link_move(n, LINK_BUSY);
	link_close(l);
	link_settle(n);
	return 1;
}

void
link_fail(struct http_link *l, const struct kq_error *err)
{
	struct http_call *c = l->call;
	struct kq_error copy = *err;

	if (!c) {
		pool_fill_later(l->pool);
		link_close(l);
		return;
	}
	if (replace(l))
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
finish(struct http_link *l, int eof)
{
	struct http_call *c = l->call;
	int reuse = l->in.keep && c->ended && !c->shut &&
		    !out_pending(&l->out) && !l->in.rest_len && !eof &&
		    !l->failed && l->pool->count[LINK_IDLE] < HTTP_IDLE_MAX;

	l->call = NULL;
	c->link = NULL;
	if (reuse) {
		in_hold(&l->in, 0);
		in_next(&l->in);
		link_move(l, LINK_IDLE);
	} else {
		link_close(l);
	}
	c->ops->done(c->ctx);
	call_free(c);
}

static void
run(struct http_link *l, const char *data, size_t n)
{
	for (;;) {
		if (in_feed(&l->in, data, n) < 0) {
			if (!l->dead)
				link_fail(l, &l->in.err);
			return;
		}
		if (l->dead || !l->in.ended)
			return;
		if (!l->interim)
			break;
		in_next(&l->in);
		if (!l->in.rest_len)
			return;
		data = NULL;
		n = 0;
	}
	finish(l, 0);
}

static void
at_eof(struct http_link *l)
{
	if (in_eof(&l->in) < 0) {
		if (!l->dead)
			link_fail(l, &l->in.err);
		return;
	}
	if (l->dead)
		return;
	if (l->in.ended && !l->interim)
		finish(l, 1);
	else
		fail(l, HTTP_E_CLOSED, "closed before a response", 0);
}

static void
take_input(struct http_link *l)
{
	ssize_t n = recv(l->fd, l->pool->scratch, HTTP_READ_BYTES, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0)
		fail(l, HTTP_E_CLOSED, "receive", errno);
	else if (!l->call)
		fail(l, HTTP_E_CLOSED, "idle connection closed", 0);
	else if (n == 0)
		at_eof(l);
	else {
		l->last = io_now(l->pool->loop);
		run(l, l->pool->scratch, (size_t)n);
	}
}

static void
readable(struct http_link *l)
{
	if (!(l->watch.events & IO_READ)) {
		fail(l, HTTP_E_CLOSED, "connection reset", 0);
		return;
	}
	if (l->call && l->call->paused) {
		l->read_off = 1;
		return;
	}
	take_input(l);
}

static void
connected(struct http_link *l)
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
	l->last = io_now(l->pool->loop);
	link_flush(l);
}

static void
leave(struct http_link *l)
{
	if (!l->dead && l->corked)
		link_flush(l);
	l->running = 0;
	if (!l->dead)
		link_settle(l);
}

void
link_ready(struct http_link *l, int ready)
{
	l->running = 1;
	if (!l->connected) {
		connected(l);
	} else {
		if (ready & IO_WRITE)
			link_flush(l);
		if (!l->dead && (ready & IO_READ))
			readable(l);
	}
	leave(l);
}

static void
resume(struct http_link *l)
{
	l->resume = 0;
	if (l->failed) {
		fail(l, HTTP_E_CLOSED, "send", l->failed);
		return;
	}
	if (l->corked)
		link_flush(l);
	if (!l->dead && l->call && !l->call->paused && l->in.rest_len)
		run(l, NULL, 0);
}

void
link_expire(struct http_link *l, int64_t now)
{
	int64_t due;

	l->running = 1;
	if (l->resume)
		resume(l);
	due = l->dead ? 0 : link_due(l);
	if (due && due <= now)
		fail(l, l->connected ? HTTP_E_TIMEOUT : HTTP_E_CONNECT,
		    l->connected ? "no byte for too long" : "connect timed out",
		    0);
	leave(l);
}
