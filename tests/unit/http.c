#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define ITERATIONS_MS 10000 /* bound on anything that is waited for */
#define TEXT_MAX 65536

/* ---- a server that echoes bodies and remembers what it saw ---- */

struct bed {
	GMainContext *main;
	struct io_loop *loop;
	struct http_server *server;
	int port;
	int nrequest;
	int ngone;
	int nbad;
	int bad_code;
	int hold; /* do not answer; keep the exchange in held */
	struct http_exchange *held;
	GString *path;
};

/* ---- one call of the client ---- */

struct reply {
	int status;
	int64_t length;
	int done;
	int failed;
	int code;
	int sent;
	GString *body;
};

static struct bed bed;

static void
answer(struct http_exchange *x)
{
	static const struct http_field f = {"X-Kind", "echo"};
	GString *body = http_exchange_ctx(x);

	http_exchange_head(x, 200, &f, 1, (int64_t)body->len);
	http_exchange_write(x, body->str, body->len);
	http_exchange_end(x);
	g_string_free(body, TRUE);
}

static void
on_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	(void)ctx;
	bed.nrequest++;
	g_string_append_printf(bed.path, "%s %s;", h->method, h->path);
	http_exchange_set_ctx(x, g_string_new(NULL));
	if (!strcmp(h->path, "/early")) {
		g_string_append(http_exchange_ctx(x), "early");
		answer(x);
	}
}

static void
on_body(void *ctx, struct http_exchange *x, const void *data, size_t n)
{
	(void)ctx;
	g_string_append_len(http_exchange_ctx(x), data, (gssize)n);
}

static void
on_end(void *ctx, struct http_exchange *x)
{
	(void)ctx;
	if (bed.hold)
		bed.held = x;
	else
		answer(x);
}

static void
on_gone(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	(void)ctx;
	(void)err;
	bed.ngone++;
	bed.held = NULL;
	g_string_free(http_exchange_ctx(x), TRUE);
}

static void
on_bad(void *ctx, const struct kq_error *err)
{
	(void)ctx;
	bed.nbad++;
	bed.bad_code = err->code;
}

static const struct http_server_ops server_ops = {
    .request = on_request,
    .body = on_body,
    .end = on_end,
    .gone = on_gone,
    .bad = on_bad,
};

static int
free_port(void)
{
	struct sockaddr_in a = {0};
	socklen_t n = sizeof a;
	int fd = io_listen_tcp("127.0.0.1", 0);

	ck_assert_int_ge(fd, 0);
	getsockname(fd, (struct sockaddr *)&a, &n);
	close(fd);
	return ntohs(a.sin_port);
}

static void
start_server(const struct http_limits *limits)
{
	struct kq_error err;

	bed.port = free_port();
	bed.server = http_server_new(bed.loop, "127.0.0.1", bed.port, limits,
	    &server_ops, NULL, &err);
	ck_assert_ptr_nonnull(bed.server);
}

static void
setup(void)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;

	memset(&bed, 0, sizeof bed);
	bed.main = g_main_context_new();
	bed.loop = io_loop_new(bed.main);
	bed.path = g_string_new(NULL);
	start_server(&limits);
}

static void
teardown(void)
{
	http_server_free(bed.server);
	io_loop_free(bed.loop);
	g_main_context_unref(bed.main);
	g_string_free(bed.path, TRUE);
}

static int64_t
bound(void)
{
	return g_get_monotonic_time() + (int64_t)ITERATIONS_MS * 1000;
}

static void
step(int64_t until)
{
	ck_assert_int_lt(g_get_monotonic_time(), until);
	if (!g_main_context_iteration(bed.main, FALSE))
		g_usleep(200);
}

/* Sends @text and reads until the server closes the connection. */
static char *
talk(const char *text, size_t n, int half_close)
{
	int fd = io_connect_tcp("127.0.0.1", bed.port);
	int64_t until = bound();
	GString *got = g_string_new(NULL);
	char buf[4096];
	size_t off = 0;
	ssize_t r;

	ck_assert_int_ge(fd, 0);
	for (;;) {
		step(until);
		if (off < n) {
			r = send(fd, text + off, n - off, MSG_NOSIGNAL);
			off += r > 0 ? (size_t)r : 0;
			if (off == n && half_close)
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

struct bad_case {
	const char *text;
	const char *status;
};

static const struct bad_case bad_cases[] = {
    {"GET / HTTP/2.0\r\n\r\n", "400"},
    {"GET / HTTP/0.9\r\n\r\n", "400"},
    {"GET /\r\n\r\n", "400"},
    {"FETCH / HTTP/1.1\r\n\r\n", "400"},
    {"CONNECT a:1 HTTP/1.1\r\n\r\n", "400"},
    {"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"400"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
     "Content-Length: 1\r\n\r\n0\r\n\r\n",
	"400"},
    {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	"400"},
    {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"},
    {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"},
    {"POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", "400"},
    {"POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\na", "400"},
    {"POST / HTTP/1.1\r\nContent-Length: 9000000000000000\r\n\r\n", "413"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "400"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "400"},
    {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
    {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "400"},
    {"GET / HTTP/1.1\r\nA:\r\n\tc\r\n\r\n", "400"},
    {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
    {"GET / HTTP/1.1\r\nA\x01: b\r\n\r\n", "400"},
    {"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", "400"},
    {"GET / HTTP/1.1\r\nA: b", "400"},
    {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc", "400"},
};

START_TEST(broken_requests_are_answered_and_not_run)
{
	const struct bad_case *b = &bad_cases[_i];
	char *got = talk(b->text, strlen(b->text), 1);

	ck_assert_msg(!strncmp(got, "HTTP/1.1 ", 9) &&
			  !strncmp(got + 9, b->status, 3),
	    "%s: %s", b->text, got);
	ck_assert_ptr_nonnull(strstr(got, "Kumquatrock-Outcome: not-run"));
	ck_assert_int_eq(bed.nbad, 1);
	ck_assert_ptr_null(strstr(got, "X-Kind"));
	g_free(got);
}
END_TEST

START_TEST(nul_byte_is_refused)
{
	static const char text[] = "GET / HTTP/1.1\r\nA: b\0c\r\n\r\n";
	char *got = talk(text, sizeof text - 1, 1);

	ck_assert_int_eq(strncmp(got, "HTTP/1.1 400", 12), 0);
	ck_assert_int_eq(bed.nrequest, 0);
	g_free(got);
}
END_TEST

START_TEST(large_heads_and_many_fields_are_refused)
{
	GString *s = g_string_new("GET /");
	char *got;
	int i;

	for (i = 0; i < 20000; i++)
		g_string_append_c(s, 'a');
	got = talk(s->str, s->len, 0);
	ck_assert_int_eq(strncmp(got, "HTTP/1.1 431", 12), 0);
	ck_assert_int_eq(bed.bad_code, HTTP_E_HEAD_SIZE);
	g_free(got);
	g_string_assign(s, "GET / HTTP/1.1\r\n");
	for (i = 0; i <= HTTP_FIELDS_MAX; i++)
		g_string_append(s, "A: b\r\n");
	g_string_append(s, "\r\n");
	got = talk(s->str, s->len, 0);
	ck_assert_int_eq(strncmp(got, "HTTP/1.1 431", 12), 0);
	ck_assert_int_eq(bed.bad_code, HTTP_E_FIELDS);
	ck_assert_int_eq(bed.nrequest, 0);
	g_free(got);
	g_string_free(s, TRUE);
}
END_TEST

START_TEST(pipelined_requests_are_answered_in_order)
{
	const char *text = "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
			   "POST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
			   "\r\n3\r\ntwo\r\n0\r\nT: u\r\n\r\n"
			   "HEAD /3 HTTP/1.1\r\n\r\n"
			   "POST /early HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx"
			   "GET /5 HTTP/1.1\r\nConnection: close\r\n\r\n";
	char *got = talk(text, strlen(text), 0);
	char *one = strstr(got, "\r\n\r\none");
	char *two = strstr(got, "\r\n\r\ntwo");
	char *early = strstr(got, "\r\n\r\nearly");

	ck_assert_str_eq(bed.path->str,
	    "POST /1;POST /2;HEAD /3;POST /early;GET /5;");
	ck_assert(one && two && early && one < two && two < early);
	ck_assert_ptr_nonnull(strstr(early, "Connection: close"));
	g_free(got);
}
END_TEST

START_TEST(old_version_and_half_close_get_their_answer)
{
	const char *old = "GET /o HTTP/1.0\r\n\r\n";
	const char *half = "GET /h HTTP/1.1\r\n\r\n";
	char *got = talk(old, strlen(old), 0);

	ck_assert_ptr_nonnull(strstr(got, "Content-Length: 0\r\n"));
	g_free(got);
	got = talk(half, strlen(half), 1);
	ck_assert_ptr_nonnull(strstr(got, "HTTP/1.1 200 OK"));
	ck_assert_int_eq(bed.ngone, 0);
	g_free(got);
}
END_TEST

START_TEST(caller_that_closes_is_gone)
{
	const char *text = "GET /h HTTP/1.1\r\n\r\n";
	int fd = io_connect_tcp("127.0.0.1", bed.port);
	int64_t until = bound();

	bed.hold = 1;
	while (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		step(until);
	while (!bed.held)
		step(until);
	close(fd);
	while (!bed.ngone)
		step(until);
	ck_assert_int_eq(http_server_open(bed.server), 0);
}
END_TEST

/* ---- client ---- */

static void
reply_head(void *ctx, const struct http_head *h)
{
	struct reply *r = ctx;

	r->status = h->status;
	r->length = h->length;
}

static void
reply_body(void *ctx, const void *data, size_t n)
{
	g_string_append_len(((struct reply *)ctx)->body, data, (gssize)n);
}

static void
reply_done(void *ctx)
{
	((struct reply *)ctx)->done = 1;
}

static void
reply_failed(void *ctx, const struct kq_error *err, int sent)
{
	struct reply *r = ctx;

	r->failed = 1;
	r->code = err->code;
	r->sent = sent;
}

static const struct http_call_ops call_ops = {
    .head = reply_head,
    .body = reply_body,
    .done = reply_done,
    .failed = reply_failed,
};

static void
call(struct http_pool *p, const char *method, const char *path,
    const char *body, int64_t length, struct reply *r)
{
	int64_t until = bound();
	struct kq_error err;
	struct http_call *c;

	memset(r, 0, sizeof *r);
	r->body = g_string_new(NULL);
	c = http_call_start(p, method, path, NULL, 0, length, 0, &call_ops, r,
	    &err);
	ck_assert_ptr_nonnull(c);
	if (body)
		http_call_write(c, body, strlen(body));
	http_call_end(c);
	while (!r->done && !r->failed)
		step(until);
}

START_TEST(client_and_server_exchange_messages_on_one_connection)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_pool *p =
	    http_pool_new(bed.loop, "127.0.0.1", bed.port, 4, 0, &limits);
	struct reply r;

	call(p, "GET", "/a", NULL, HTTP_LENGTH_NONE, &r);
	ck_assert_int_eq(r.status, 200);
	ck_assert_int_eq(r.length, 0);
	g_string_free(r.body, TRUE);
	call(p, "POST", "/b", "body", 4, &r);
	ck_assert_str_eq(r.body->str, "body");
	g_string_free(r.body, TRUE);
	call(p, "POST", "/c", "parts", HTTP_LENGTH_CHUNKED, &r);
	ck_assert_str_eq(r.body->str, "parts");
	g_string_free(r.body, TRUE);
	call(p, "HEAD", "/d", "four", 4, &r);
	ck_assert_int_eq(r.length, 4);
	ck_assert_int_eq((int)r.body->len, 0);
	g_string_free(r.body, TRUE);
	ck_assert_int_eq(http_pool_open(p), 1);
	ck_assert_int_eq(http_pool_busy(p), 0);
	http_pool_free(p);
}
END_TEST

START_TEST(refused_connect_was_not_sent)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_pool *p =
	    http_pool_new(bed.loop, "127.0.0.1", free_port(), 4, 0, &limits);
	struct reply r;

	call(p, "POST", "/b", "body", 4, &r);
	ck_assert_int_eq(r.failed, 1);
	ck_assert_int_eq(r.code, HTTP_E_CONNECT);
	ck_assert_int_eq(r.sent, 0);
	g_string_free(r.body, TRUE);
	http_pool_free(p);
}
END_TEST

START_TEST(short_request_body_fails)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_pool *p =
	    http_pool_new(bed.loop, "127.0.0.1", bed.port, 4, 0, &limits);
	struct reply r;

	call(p, "POST", "/b", "body", 5, &r);
	ck_assert_int_eq(r.failed, 1);
	g_string_free(r.body, TRUE);
	http_pool_free(p);
}
END_TEST

START_TEST(stopping_server_answers_and_closes)
{
	const char *text = "GET /h HTTP/1.1\r\n\r\n";
	int fd = io_connect_tcp("127.0.0.1", bed.port);
	int64_t until = bound();
	char buf[1024];
	ssize_t n;

	bed.hold = 1;
	while (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		step(until);
	while (!bed.held)
		step(until);
	http_server_stop(bed.server);
	ck_assert_int_eq(http_server_open(bed.server), 1);
	answer(bed.held);
	while ((n = recv(fd, buf, sizeof buf - 1, MSG_DONTWAIT)) < 0)
		step(until);
	buf[n] = '\0';
	ck_assert_ptr_nonnull(strstr(buf, "200 OK"));
	ck_assert_ptr_nonnull(strstr(buf, "Connection: close"));
	close(fd);
	while (http_server_open(bed.server))
		step(until);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	while (recv(fd, buf, 1, MSG_DONTWAIT) < 0 && errno != ECONNREFUSED)
		step(until);
	close(fd);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("http");
	TCase *c = tcase_create("http");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_set_timeout(c, 60);
	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c, broken_requests_are_answered_and_not_run, 0,
	    sizeof bad_cases / sizeof *bad_cases);
	tcase_add_test(c, nul_byte_is_refused);
	tcase_add_test(c, large_heads_and_many_fields_are_refused);
	tcase_add_test(c, pipelined_requests_are_answered_in_order);
	tcase_add_test(c, old_version_and_half_close_get_their_answer);
	tcase_add_test(c, caller_that_closes_is_gone);
	tcase_add_test(c,
	    client_and_server_exchange_messages_on_one_connection);
	tcase_add_test(c, refused_connect_was_not_sent);
	tcase_add_test(c, short_request_body_fails);
	tcase_add_test(c, stopping_server_answers_and_closes);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
