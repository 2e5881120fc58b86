#ifndef KQ_TEST_HTTP_BED_H
#define KQ_TEST_HTTP_BED_H

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define BED_TIMEOUT_US 20000000 /* limit on each wait; then the test fails */
#define BED_QUIET_US 50000 /* time allowed for unwanted events to show */
#define BED_BIND_TRIES 50
#define PEER_CONNS 16 /* most that a peer accepts in one test */

/* Test bed: a server that echoes request bodies and records its events. */
struct bed {
	GMainContext *context;
	struct io_loop *loop;
	struct http_server *server;
	int port;
	int nrequest; /* requests whose head was read */
	int nfailed; /* exchanges lost before their response was whole */
	int nrejected; /* malformed or late requests */
	int reject_code; /* error code of the last of them */
	int status; /* of responses, 200 if 0 */
	int chunked; /* respond with chunked bodies */
	int hold; /* keep the exchange in held instead of responding */
	struct http_exchange *held;
	GString *requests; /* "METHOD PATH;" for each request */
};

/* Outcome of one call of the client, as its callbacks reported it. */
struct reply {
	int status;
	int64_t length; /* of the body, from the response head */
	int done; /* calls of the done callback */
	int failed; /* calls of the failed callback */
	int code; /* error code of the failure */
	int sent; /* whether the failed callback reported bytes sent */
	GString *body;
};

/* Server end of the client's connections; the test drives it in steps. */
struct peer {
	int listener;
	int port;
	int conn[PEER_CONNS]; /* in order of accepting, -1 when closed */
	int naccept;
	int last; /* connection last accepted or read from, -1 if none */
	GString *received; /* bytes of all connections */
};

static struct bed bed;

/* Time at which a wait that starts now times out. */
static inline int64_t
bed_timeout_at(void)
{
	return io_clock() + BED_TIMEOUT_US;
}

/* Runs the main context once; fails the test if @until is over. */
static inline void
bed_step(int64_t until)
{
	ck_assert_int_lt(io_clock(), until);
	if (!g_main_context_iteration(bed.context, FALSE))
		g_usleep(100);
}

static inline void
bed_respond(struct http_exchange *x)
{
	static const struct http_field f = { "X-Kind", "echo" };
	GString *body = http_exchange_ctx(x);

	http_exchange_write_head(x, bed.status ? bed.status : 200, &f, 1,
	    bed.chunked ? HTTP_LENGTH_CHUNKED : (int64_t)body->len);
	http_exchange_write(x, body->str, body->len);
	http_exchange_end(x);
	g_string_free(body, TRUE);
}

static inline void
bed_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	(void)ctx;
	bed.nrequest++;
	g_string_append_printf(bed.requests, "%s %s;", h->method, h->path);
	http_exchange_set_ctx(x, g_string_new(NULL));
	if (!strcmp(h->path, "/early")) {
		g_string_append(http_exchange_ctx(x), "early");
		bed_respond(x);
	}
}

static inline void
bed_body(void *ctx, struct http_exchange *x, const void *data, size_t n)
{
	(void)ctx;
	g_string_append_len(http_exchange_ctx(x), data, (gssize)n);
}

static inline void
bed_end(void *ctx, struct http_exchange *x)
{
	(void)ctx;
	if (bed.hold)
		bed.held = x;
	else
		bed_respond(x);
}

static inline void
bed_failed(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	(void)ctx;
	(void)err;
	bed.nfailed++;
	bed.held = NULL;
	g_string_free(http_exchange_ctx(x), TRUE);
}

static inline void
bed_rejected(void *ctx, const struct kq_error *err)
{
	(void)ctx;
	bed.nrejected++;
	bed.reject_code = err->code;
}

static const struct http_server_ops bed_ops = {
	.request = bed_request,
	.body = bed_body,
	.end = bed_end,
	.failed = bed_failed,
	.rejected = bed_rejected,
};

/* Port that a socket is bound to. */
static inline int
bound_port(int fd)
{
	struct sockaddr_in a = { 0 };
	socklen_t n = sizeof a;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&a, &n), 0);
	return ntohs(a.sin_port);
}

/* Starts the server on a free port. Tries again with another port if a program
 * bound the chosen one after the socket that found it was closed. */
static inline void
bed_server_start(const struct http_limits *limits,
    const struct http_server_ops *ops)
{
	struct kq_error err;
	int i, fd;

	for (i = 0; i < BED_BIND_TRIES && !bed.server; i++) {
		fd = io_listen_tcp("127.0.0.1", 0);
		bed.port = bound_port(fd);
		close(fd);
		bed.server = http_server_new(bed.loop, "127.0.0.1", bed.port,
		    limits, ops, NULL, &err);
	}
	ck_assert_ptr_nonnull(bed.server);
}

static inline void
bed_setup(void)
{
	memset(&bed, 0, sizeof bed);
	bed.context = g_main_context_new();
	bed.loop = io_loop_new(bed.context);
	bed.requests = g_string_new(NULL);
}

static inline void
bed_teardown(void)
{
	http_server_free(bed.server);
	io_loop_free(bed.loop);
	g_main_context_unref(bed.context);
	g_string_free(bed.requests, TRUE);
}

/* Waits until the server has closed all connections. */
static inline void
bed_wait_closed(void)
{
	int64_t until = bed_timeout_at();

	while (http_server_connections(bed.server))
		bed_step(until);
}

/* Sends @text, @step bytes at a time, and reads until the server closes.
 * Return: the bytes read, to be freed. */
static inline char *
bed_send_recv(const char *text, size_t n, size_t step, int half_close)
{
	int fd = io_connect_tcp("127.0.0.1", bed.port);
	int64_t until = bed_timeout_at();
	GString *got = g_string_new(NULL);
	char buf[4096];
	size_t off = 0;
	ssize_t r;

	ck_assert_int_ge(fd, 0);
	for (;;) {
		bed_step(until);
		if (off < n || (n == 0 && off == 0)) {
			r = send(fd, text + off, MIN(step, n - off),
			    MSG_NOSIGNAL);
			off += r > 0 ? (size_t)r : 0;
			if (off == n && r >= 0 && half_close)
				shutdown(fd, SHUT_WR);
		}
		r = recv(fd, buf, sizeof buf, MSG_DONTWAIT);
		if (r > 0)
			g_string_append_len(got, buf, r);
		if (r == 0 || (r < 0 && errno == ECONNRESET))
			break;
	}
	close(fd);
	return g_string_free(got, FALSE);
}

/* ---- client ---- */

static inline void
reply_head(void *ctx, const struct http_head *h)
{
	struct reply *r = ctx;

	r->status = h->status;
	r->length = h->length;
}

static inline void
reply_body(void *ctx, const void *data, size_t n)
{
	g_string_append_len(((struct reply *)ctx)->body, data, (gssize)n);
}

static inline void
reply_done(void *ctx)
{
	((struct reply *)ctx)->done++;
}

static inline void
reply_failed(void *ctx, const struct kq_error *err, int sent)
{
	struct reply *r = ctx;

	r->failed++;
	r->code = err->code;
	r->sent = sent;
}

static const struct http_call_ops reply_ops = {
	.head = reply_head,
	.body = reply_body,
	.done = reply_done,
	.failed = reply_failed,
};

/* Starts a call to /x whose outcome is recorded in @r. */
static inline struct http_call *
reply_start(struct http_pool *p, const char *method, int64_t length, int fresh,
    struct reply *r)
{
	struct kq_error err;

	memset(r, 0, sizeof *r);
	r->body = g_string_new(NULL);
	return http_call_start(p, method, "/x", NULL, 0, length, fresh,
	    &reply_ops, r, &err);
}

static inline void
reply_wait(struct reply *r)
{
	int64_t until = bed_timeout_at();

	while (!r->done && !r->failed)
		bed_step(until);
}

static inline void
reply_free(struct reply *r)
{
	g_string_free(r->body, TRUE);
}

/* ---- peer ---- */

static inline void
peer_open(struct peer *p)
{
	p->listener = io_listen_tcp("127.0.0.1", 0);
	p->port = bound_port(p->listener);
	p->naccept = 0;
	p->last = -1;
	p->received = g_string_new(NULL);
}

/* Socket of the connection last accepted or read from. */
static inline int
peer_fd(const struct peer *p)
{
	ck_assert_int_ge(p->last, 0);
	return p->conn[p->last];
}

/* Closes that connection, with a reset if @reset. */
static inline void
peer_hang_up(struct peer *p, int reset)
{
	struct linger l = { 1, 0 };

	if (reset)
		setsockopt(peer_fd(p), SOL_SOCKET, SO_LINGER, &l, sizeof l);
	close(peer_fd(p));
	p->conn[p->last] = -1;
}

static inline void
peer_end(struct peer *p)
{
	int i;

	for (i = 0; i < p->naccept; i++)
		if (p->conn[i] >= 0)
			close(p->conn[i]);
	close(p->listener);
	g_string_free(p->received, TRUE);
}

/* Accepts a connection and, if @reading, reads from all; does not block. */
static inline void
peer_poll(struct peer *p, int reading)
{
	int i, fd = accept(p->listener, NULL, NULL);
	char buf[4096];
	ssize_t n;

	if (fd >= 0) {
		ck_assert_int_lt(p->naccept, PEER_CONNS);
		p->last = p->naccept;
		p->conn[p->naccept++] = fd;
	}
	for (i = 0; reading && i < p->naccept; i++) {
		n = recv(p->conn[i], buf, sizeof buf, MSG_DONTWAIT);
		if (n <= 0)
			continue;
		g_string_append_len(p->received, buf, n);
		p->last = i;
	}
}

/* Runs both sides until the peer has read @text. */
static inline void
peer_expect(struct peer *p, const char *text)
{
	int64_t until = bed_timeout_at();

	while (!strstr(p->received->str, text)) {
		bed_step(until);
		peer_poll(p, 1);
	}
}

/* Runs both sides until the peer has accepted @naccept connections in all. */
static inline void
peer_wait_accepted(struct peer *p, int naccept)
{
	int64_t until = bed_timeout_at();

	while (p->naccept < naccept) {
		bed_step(until);
		peer_poll(p, 0);
	}
}

/* Runs both sides for BED_QUIET_US, so that unwanted events show. */
static inline void
peer_run_quiet(struct peer *p)
{
	int64_t end = io_clock() + BED_QUIET_US;

	while (io_clock() < end) {
		bed_step(end + BED_TIMEOUT_US);
		peer_poll(p, 1);
	}
}

static inline void
peer_send(struct peer *p, const char *text)
{
	size_t n = strlen(text);

	ck_assert_int_eq(send(peer_fd(p), text, n, MSG_NOSIGNAL), (ssize_t)n);
}

/* How often the peer has read @text. */
static inline int
peer_count(const struct peer *p, const char *text)
{
	const char *s = p->received->str;
	int n = 0;

	while ((s = strstr(s, text))) {
		n++;
		s += strlen(text);
	}
	return n;
}

static inline int
bed_run_suite(const char *name, TCase *c)
{
	Suite *s = suite_create(name);
	SRunner *r;
	int failed;

	tcase_set_timeout(c, 60);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
