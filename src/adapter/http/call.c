#include "link.h"

#include <sys/socket.h>

#include <errno.h>
#include <string.h>
#include <strings.h>

static struct http_call *
call_new(struct http_pool *p)
{
	struct http_call *c = p->free_calls;

	if (!c)
		return g_new0(struct http_call, 1);
	p->free_calls = c->next;
	memset(c, 0, sizeof *c);
	return c;
}

void
call_free(struct http_call *c)
{
	c->link = NULL;
	c->next = c->pool->free_calls;
	c->pool->free_calls = c;
}

static void
put_framing(struct http_out *o, int64_t length)
{
	if (length == HTTP_LENGTH_CHUNKED) {
		out_text(o, "Transfer-Encoding: chunked\r\n");
	} else if (length >= 0) {
		out_text(o, "Content-Length: ");
		out_int(o, length);
		out_text(o, "\r\n");
	}
	out_text(o, "\r\n");
}

static void
put_head(struct http_out *o, const char *host, const char *method,
    const char *path, const struct http_field *field, int nfield,
    int64_t length)
{
	int i, has_host = 0;

	out_text(o, method);
	out_text(o, " ");
	out_text(o, path);
	out_text(o, " HTTP/1.1\r\n");
	for (i = 0; i < nfield; i++) {
		if (!strcasecmp(field[i].name, "Host"))
			has_host = 1;
		out_field(o, field[i].name, field[i].value);
	}
	if (!has_host)
		out_field(o, "Host", host);
	put_framing(o, length);
}

static int
must_buffer(const struct http_link *l)
{
	return !l->connected || l->send_errno ||
	       (out_pending(&l->out) && !l->corked);
}

struct http_call *
http_call_start(struct http_pool *p, const char *method, const char *path,
    const struct http_field *field, int nfield, int64_t length, int unused_only,
    const struct http_call_ops *ops, void *ctx, struct kq_error *err)
{
	struct http_link *l = pool_get_link(p, unused_only, err);
	struct http_call *c;

	if (!l)
		return NULL;
	c = call_new(p);
	c->pool = p;
	c->link = l;
	c->ops = ops;
	c->ctx = ctx;
	c->method_is_head = !strcmp(method, "HEAD");
	c->chunked = length == HTTP_LENGTH_CHUNKED;
	c->ended = length == HTTP_LENGTH_NONE || length == 0;
	c->body_left = length;
	c->link_replaceable = l->connected;
	l->call = c;
	l->out.limit = p->call_bytes;
	l->in.call_bytes = p->call_bytes;
	l->last_byte = io_now(p->loop);
	link_set_state(l, LINK_BUSY);
	put_head(&l->out, p->host, method, path, field, nfield, length);
	if (c->ended) {
		link_flush(l);
	} else if (l->connected) {
		l->corked = 1;
		if (!l->in_callback)
			link_schedule(l);
	}
	link_update_watch(l);
	pool_open_spare(p);
	return c;
}

size_t
http_call_write(struct http_call *c, const void *data, size_t n)
{
	struct http_link *l = c->link;

	if (!l || c->ended || !n)
		return l ? out_pending(&l->out) : 0;
	if (!c->chunked) {
		if ((uint64_t)n > (uint64_t)c->body_left)
			n = (size_t)c->body_left;
		c->body_left -= (int64_t)n;
	}
	link_note_send(l,
	    out_body(&l->out, l->fd, data, n, c->chunked, !must_buffer(l)));
	if (out_pending(&l->out))
		c->notify_drained = 1;
	link_update_watch(l);
	return out_pending(&l->out);
}

void
http_call_end_request(struct http_call *c)
{
	struct http_link *l = c->link;
	int blocked;

	if (!l || c->ended)
		return;
	c->ended = 1;
	c->notify_drained = 0;
	if (!c->chunked && c->body_left > 0) {
		/* fewer bytes than Content-Length: the request cannot be
		 * completed */
		c->link_replaceable = 0;
		l->send_errno = EPROTO;
		link_schedule(l);
		return;
	}
	blocked = must_buffer(l);
	if (c->chunked)
		out_text(&l->out, "0\r\n\r\n");
	if (!blocked)
		link_flush(l);
	link_update_watch(l);
}

int
http_call_cancel(struct http_call *c)
{
	struct http_link *l = c->link;
	int sent = c->sent;

	if (!l)
		return sent;
	link_close(l);
	call_free(c);
	return sent;
}

int
http_call_shutdown(struct http_call *c)
{
	struct http_link *l = c->link;

	if (!l || !c->sent || io_unsent(l->fd))
		return 0;
	c->half_closed = 1;
	c->ended = 1;
	c->notify_drained = 0;
	out_clear(&l->out);
	shutdown(l->fd, SHUT_WR);
	io_limit_silence(l->fd, IO_USER_TIMEOUT_MS);
	http_call_pause(c, 0);
	link_update_watch(l);
	return 1;
}

int
http_call_is_first(const struct http_call *c)
{
	return c->link && !c->link->answered;
}

void
http_call_set_tag(struct http_call *c, uint64_t tag)
{
	c->tag = tag;
}

uint64_t
http_call_earlier_tag(const struct http_call *c)
{
	return c->link ? c->link->earlier_tag : 0;
}

void
http_call_pause(struct http_call *c, int on)
{
	struct http_link *l = c->link;

	on = on != 0;
	if (!l || c->paused == on)
		return;
	c->paused = on;
	in_pause(&l->in, on);
	if (!on)
		link_schedule(l);
}
