#include "out.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define OUT_FIRST_BYTES 1024
#define OUT_IOV_MAX 4
#define CHUNK_HEAD_BYTES 24
#define OUT_STEP_BYTES 65536 /* a larger buffer grows by as much */

size_t
out_pending(const struct http_out *o)
{
	return o->len - o->off;
}

static void
take(struct http_out *o, size_t n)
{
	byte_limit_take(o->limit, n);
	byte_limit_take(o->ahead, n);
}

static void
give(struct http_out *o, size_t n)
{
	byte_limit_give(o->limit, n);
	byte_limit_give(o->ahead, n);
}

void
out_run_ahead(struct http_out *o, struct byte_limit *b)
{
	if (o->ahead || !out_pending(o))
		return;
	o->ahead = b;
	byte_limit_take(b, out_pending(o));
}

/* Makes room for @n more bytes; returns where they go. */
static char *
reserve(struct http_out *o, size_t n)
{
	if (o->off > 0 && o->off >= o->len - o->off) {
		memmove(o->data, o->data + o->off, o->len - o->off);
		o->len -= o->off;
		o->off = 0;
	}
	if (o->cap - o->len < n) {
		if (!o->cap)
			o->cap = OUT_FIRST_BYTES;
		while (o->cap - o->len < n)
			o->cap += MIN(o->cap, OUT_STEP_BYTES);
		o->data = g_realloc(o->data, o->cap);
	}
	return o->data + o->len;
}

void
out_add(struct http_out *o, const void *data, size_t n)
{
	if (!n)
		return;
	memcpy(reserve(o, n), data, n);
	o->len += n;
	take(o, n);
}

void
out_text(struct http_out *o, const char *s)
{
	out_add(o, s, strlen(s));
}

void
out_field(struct http_out *o, const char *name, const char *value)
{
	out_text(o, name);
	out_add(o, ": ", 2);
	out_text(o, value);
	out_add(o, "\r\n", 2);
}

void
out_int(struct http_out *o, int64_t n)
{
	char buf[24];
	char *p = buf + sizeof buf;
	uint64_t u = (uint64_t)n;

	do
		*--p = (char)('0' + u % 10);
	while (u /= 10);
	out_add(o, p, (size_t)(buf + sizeof buf - p));
}

void
out_drop_last(struct http_out *o, size_t n)
{
	o->len -= n;
	give(o, n);
	if (!out_pending(o))
		o->ahead = NULL;
}

void
out_clear(struct http_out *o)
{
	give(o, out_pending(o));
	o->ahead = NULL;
	g_free(o->data);
	o->data = NULL;
	o->off = o->len = o->cap = 0;
}

static void
reset_buffer(struct http_out *o)
{
	o->off = o->len = 0;
	o->ahead = NULL;
	if (o->cap > HTTP_OUT_KEEP_BYTES)
		out_clear(o);
}

static void
buffer_unsent(struct http_out *o, const struct iovec *iov, int niov,
    size_t skip)
{
	int i;

	for (i = 0; i < niov; i++) {
		if (skip >= iov[i].iov_len) {
			skip -= iov[i].iov_len;
			continue;
		}
		out_add(o, (char *)iov[i].iov_base + skip,
		    iov[i].iov_len - skip);
		skip = 0;
	}
}

ssize_t
out_send(struct http_out *o, int fd, const struct iovec *iov, int niov)
{
	struct iovec v[OUT_IOV_MAX];
	struct msghdr m = { 0 };
	size_t pending = out_pending(o), n;
	ssize_t r;
	size_t k = 0;
	int e;

	if (pending) {
		v[k].iov_base = o->data + o->off;
		v[k++].iov_len = pending;
	}
	if (niov)
		memcpy(v + k, iov, (size_t)niov * sizeof *iov);
	m.msg_iov = v;
	m.msg_iovlen = k + (size_t)niov;
	r = sendmsg(fd, &m, MSG_NOSIGNAL);
	e = errno;
	n = r < 0 ? 0 : (size_t)r;
	give(o, MIN(n, pending));
	if (n >= pending)
		reset_buffer(o);
	else
		o->off += n;
	buffer_unsent(o, iov, niov, n >= pending ? n - pending : 0);
	errno = e;
	return r;
}

ssize_t
out_body(struct http_out *o, int fd, const void *data, size_t n, int chunked,
    int send_now)
{
	char head[CHUNK_HEAD_BYTES];
	char crlf[2] = { '\r', '\n' };
	struct iovec v[3];
	int i, k = 0;

	if (!n)
		return 0;
	if (chunked) {
		v[k].iov_base = head;
		v[k++].iov_len =
		    (size_t)snprintf(head, sizeof head, "%zx\r\n", n);
	}
	v[k].iov_base = (void *)data;
	v[k++].iov_len = n;
	if (chunked) {
		v[k].iov_base = crlf;
		v[k++].iov_len = sizeof crlf;
	}
	if (send_now)
		return out_send(o, fd, v, k);
	for (i = 0; i < k; i++)
		out_add(o, v[i].iov_base, v[i].iov_len);
	return 0;
}
