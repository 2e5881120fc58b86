#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapter/http/conn.h"
#include "adapter/http/link.h"

/*
 * Sends the input as a peer's bytes, in pieces, to the HTTP server or client of
 * the adapter. The first byte holds flags of enum behaviour: which side is
 * tested and what its callbacks do. The second byte is the size of the pieces
 * less one.
 */

#define ITERATIONS_MAX 400

enum behaviour {
	AS_CLIENT = 1,
	ANSWER_EARLY = 2, /* answer when the request's head is complete */
	ANSWER_CHUNKED = 4,
	PAUSE_BODY = 8, /* stop reading at each piece of a body */
	ABORT_EXCHANGE = 16, /* abort instead of answering */
	ANSWER_LATE = 32, /* answer after the peer closed its sending side */
	CALL_HEAD = 64, /* the call's method is HEAD */
	CANCEL_CALL = 128, /* the call ends at the first piece of its body */
};

struct state {
	GMainContext *main;
	struct io_loop *loop;
	struct http_server *server;
	struct http_pool *pool;
	int behaviour;
	/* unanswered, oldest first */
	struct http_exchange *open[HTTP_PIPELINE_MAX];
	int nopen;
	int request_complete; /* of the latest request */
	int may_pipeline; /* requests behind the latest may begin unanswered */
	int ended; /* the call's done or failed ran, or it was cancelled */
	int paused;
	struct http_exchange *exchange; /* the latest; NULL if not in open */
	struct http_call *call;
};

static struct state s;

static void
require(int ok)
{
	if (!ok)
		abort();
}

/* ---- server ---- */

static int
open_index(const struct http_exchange *x)
{
	int i;

	for (i = 0; i < s.nopen; i++)
		if (s.open[i] == x)
			return i;
	return -1;
}

static void
remove_open(struct http_exchange *x)
{
	int at = open_index(x);

	require(at >= 0);
	for (s.nopen--; at < s.nopen; at++)
		s.open[at] = s.open[at + 1];
	if (x != s.exchange)
		return;
	s.exchange = NULL;
	s.paused = 0;
}

static void
answer(struct http_exchange *x)
{
	remove_open(x);
	if (s.behaviour & ABORT_EXCHANGE) {
		http_exchange_abort(x);
		return;
	}
	http_exchange_write_head(x, 200, NULL, 0,
	    s.behaviour & ANSWER_CHUNKED ? HTTP_LENGTH_CHUNKED : 3);
	http_exchange_write(x, "abc", 3);
	http_exchange_end(x);
}

/* While exchanges are open, another request may begin only if the latest one is
 * complete and a GET or HEAD. */
static void
on_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	(void)ctx;
	require(s.nopen < HTTP_PIPELINE_MAX);
	require(!s.nopen || (s.request_complete && s.may_pipeline));
	require(h->method && h->path && h->nfield <= HTTP_FIELDS_MAX);
	s.open[s.nopen++] = x;
	s.request_complete = 0;
	s.may_pipeline =
	    !strcmp(h->method, "GET") || !strcmp(h->method, "HEAD");
	s.exchange = x;
	if (s.behaviour & ANSWER_EARLY)
		answer(x);
}

static void
on_body(void *ctx, struct http_exchange *x, const void *data, size_t n)
{
	(void)ctx;
	(void)data;
	require(x == s.exchange && open_index(x) >= 0 && !s.request_complete &&
		n > 0 && !s.paused);
	if (s.behaviour & PAUSE_BODY) {
		s.paused = 1;
		http_exchange_pause(x, 1);
	}
}

static void
on_end(void *ctx, struct http_exchange *x)
{
	(void)ctx;
	require(x == s.exchange && open_index(x) >= 0 && !s.request_complete);
	s.request_complete = 1;
	if (!(s.behaviour & ANSWER_LATE))
		answer(x);
}

static void
on_gone(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	(void)ctx;
	require(err->code);
	remove_open(x);
}

static void
on_bad(void *ctx, const struct kq_error *err)
{
	(void)ctx;
	require(err->code && err->text[0]);
}

static const struct http_server_ops server_ops = {
	.request = on_request,
	.body = on_body,
	.end = on_end,
	.failed = on_gone,
	.rejected = on_bad,
};

/* ---- client ---- */

static void
on_head(void *ctx, const struct http_head *h)
{
	(void)ctx;
	require(!s.ended && h->status >= 200 && !h->method);
}

static void
on_response_body(void *ctx, const void *data, size_t n)
{
	(void)ctx;
	(void)data;
	require(!s.ended && n > 0 && !s.paused);
	require(!(s.behaviour & CALL_HEAD));
	if (s.behaviour & CANCEL_CALL) {
		require(http_call_cancel(s.call));
		s.ended = 1;
	} else if (s.behaviour & PAUSE_BODY) {
		s.paused = 1;
		http_call_pause(s.call, 1);
	}
}

static void
on_done(void *ctx)
{
	(void)ctx;
	require(!s.ended++);
}

static void
on_failed(void *ctx, const struct kq_error *err, int sent)
{
	(void)ctx;
	require(!s.ended++ && sent && err->code);
}

static const struct http_call_ops call_ops = {
	.head = on_head,
	.body = on_response_body,
	.done = on_done,
	.failed = on_failed,
};

/* ---- either side ---- */

static void
init(void)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct kq_error err;

	limits.head_bytes = 512;
	s.main = g_main_context_new();
	s.loop = io_loop_new(s.main);
	s.server = http_server_new(s.loop, "127.0.0.1", 0, &limits, &server_ops,
	    NULL, &err);
	s.pool = http_pool_new(s.loop, "127.0.0.1", 1, 1, 0, &limits);
	require(s.server && s.pool);
}

static void
resume(void)
{
	if (!s.paused)
		return;
	s.paused = 0;
	if (s.behaviour & AS_CLIENT)
		http_call_pause(s.call, 0);
	else
		http_exchange_pause(s.exchange, 0);
}

static void
iterate(int fd)
{
	char buf[4096];

	while (g_main_context_iteration(s.main, FALSE))
		;
	while (recv(fd, buf, sizeof buf, MSG_DONTWAIT) > 0)
		;
	resume();
}

static void
start_connection(int fd)
{
	const char *method = s.behaviour & CALL_HEAD ? "HEAD" : "GET";
	struct kq_error err;

	s.nopen = s.request_complete = s.ended = s.paused = 0;
	if (!(s.behaviour & AS_CLIENT)) {
		require(conn_new(s.server, fd, 0) != NULL);
		return;
	}
	require(link_adopt(s.pool, fd, 1, &err) != NULL);
	s.call = http_call_start(s.pool, method, "/", NULL, 0, HTTP_LENGTH_NONE,
	    0, &call_ops, NULL, &err);
	require(s.call != NULL);
}

static int
is_closed(void)
{
	if (s.behaviour & AS_CLIENT)
		return s.ended && !http_pool_connections(s.pool);
	return !http_server_connections(s.server);
}

/* Sends the peer's bytes; stops when a send fails. */
static void
send_pieces(int fd, const uint8_t *data, size_t n, size_t piece)
{
	size_t off = 0, k;

	while (off < n) {
		k = MIN(piece, n - off);
		if (send(fd, data + off, k, MSG_NOSIGNAL) < 0)
			return;
		off += k;
		iterate(fd);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
	int fd[2], i;

	if (n < 2)
		return 0;
	if (!s.main)
		init();
	s.behaviour = data[0];
	require(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd) == 0);
	start_connection(fd[0]);
	send_pieces(fd[1], data + 2, n - 2, (size_t)data[1] + 1);
	shutdown(fd[1], SHUT_WR);
	for (i = 0; i < ITERATIONS_MAX && !is_closed(); i++) {
		iterate(fd[1]);
		if (!(s.behaviour & ANSWER_LATE) || !s.nopen)
			continue;
		/* The latest request is answered first, as the server must put
		 * the responses in order; while it is incomplete, the oldest.
		 */
		if (s.request_complete || s.open[s.nopen - 1] != s.exchange)
			answer(s.open[s.nopen - 1]);
		else if (s.nopen > 1)
			answer(s.open[0]);
	}
	require(is_closed() && !s.nopen);
	close(fd[1]);
	iterate(fd[1]);
	return 0;
}
