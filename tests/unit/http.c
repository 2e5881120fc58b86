#include "http_bed.h"

static void
setup(void)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;

	bed_setup();
	bed_server_start(&limits, &bed_ops);
}

START_TEST(pipelined_requests_are_answered_in_order)
{
	const char *text = "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
			   "POST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
			   "\r\n3\r\ntwo\r\n0\r\nT: u\r\n\r\n"
			   "HEAD /3 HTTP/1.1\r\n\r\n"
			   "POST /early HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx"
			   "GET /5 HTTP/1.1\r\nConnection: close\r\n\r\n";
	char *got = bed_send_recv(text, strlen(text), SIZE_MAX, 0);
	char *one = strstr(got, "\r\n\r\none");
	char *two = strstr(got, "\r\n\r\ntwo");
	char *early = strstr(got, "\r\n\r\nearly");

	ck_assert_str_eq(bed.requests->str,
	    "POST /1;POST /2;HEAD /3;POST /early;GET /5;");
	ck_assert(one && two && early && one < two && two < early);
	ck_assert_ptr_nonnull(strstr(early, "Connection: close"));
	g_free(got);
}
END_TEST

START_TEST(http_1_0_request_and_half_close_are_answered)
{
	const char *old = "GET /o HTTP/1.0\r\n\r\n";
	const char *half = "GET /h HTTP/1.1\r\n\r\n";
	char *got = bed_send_recv(old, strlen(old), SIZE_MAX, 0);

	ck_assert_ptr_nonnull(strstr(got, "Content-Length: 0\r\n"));
	g_free(got);
	got = bed_send_recv(half, strlen(half), SIZE_MAX, 1);
	ck_assert_ptr_nonnull(strstr(got, "HTTP/1.1 200 OK"));
	ck_assert_int_eq(bed.nfailed, 0);
	g_free(got);
}
END_TEST

struct framing_case {
	const char *method;
	const char *version;
	int status;
	int chunked;
	const char *answer; /* response text expected after the X-Kind field */
};

static const struct framing_case framing_cases[] = {
	{ "POST", "1.1", 200, 0, "Content-Length: 2\r\n\r\nab" },
	{ "POST", "1.1", 200, 1,
	    "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" },
	{ "POST", "1.0", 200, 0,
	    "Content-Length: 2\r\nConnection: close\r\n\r\nab" },
	{ "POST", "1.0", 200, 1, "Connection: close\r\n\r\nab" },
	{ "HEAD", "1.1", 200, 0, "Content-Length: 2\r\n\r\n" },
	{ "HEAD", "1.1", 200, 1, "Transfer-Encoding: chunked\r\n\r\n" },
	{ "POST", "1.1", 204, 0, "\r\n" },
	{ "POST", "1.1", 304, 1, "\r\n" },
};

START_TEST(responses_are_framed_as_the_request_allows)
{
	const struct framing_case *f = &framing_cases[_i];
	char *text, *got, *rest;

	bed.status = f->status;
	bed.chunked = f->chunked;
	text = g_strdup_printf("%s / HTTP/%s\r\nContent-Length: 2\r\n\r\nab",
	    f->method, f->version);
	got = bed_send_recv(text, strlen(text), SIZE_MAX, 1);
	rest = strstr(got, "X-Kind: echo\r\n");
	ck_assert_ptr_nonnull(rest);
	ck_assert_str_eq(rest + strlen("X-Kind: echo\r\n"), f->answer);
	g_free(got);
	g_free(text);
}
END_TEST

START_TEST(closing_caller_fails_its_exchange)
{
	const char *text = "GET /h HTTP/1.1\r\n\r\n";
	int fd = io_connect_tcp("127.0.0.1", bed.port);
	int64_t until = bed_timeout_at();

	bed.hold = 1;
	while (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		bed_step(until);
	while (!bed.held)
		bed_step(until);
	close(fd);
	while (!bed.nfailed)
		bed_step(until);
	ck_assert_int_eq(http_server_connections(bed.server), 0);
}
END_TEST

static void
call_and_wait(struct http_pool *p, const char *method, const char *body,
    int64_t length, struct reply *r)
{
	struct http_call *c = reply_start(p, method, length, 0, r);

	ck_assert_ptr_nonnull(c);
	if (body)
		http_call_write(c, body, strlen(body));
	http_call_end_request(c);
	reply_wait(r);
}

START_TEST(client_and_server_exchange_messages_on_one_connection)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_pool *p =
	    http_pool_new(bed.loop, "127.0.0.1", bed.port, 4, 0, &limits);
	struct reply r;

	call_and_wait(p, "GET", NULL, HTTP_LENGTH_NONE, &r);
	ck_assert_int_eq(r.status, 200);
	ck_assert_int_eq(r.length, 0);
	reply_free(&r);
	call_and_wait(p, "POST", "body", 4, &r);
	ck_assert_str_eq(r.body->str, "body");
	reply_free(&r);
	call_and_wait(p, "POST", "parts", HTTP_LENGTH_CHUNKED, &r);
	ck_assert_str_eq(r.body->str, "parts");
	reply_free(&r);
	call_and_wait(p, "HEAD", "four", 4, &r);
	ck_assert_int_eq(r.length, 4);
	ck_assert_int_eq((int)r.body->len, 0);
	reply_free(&r);
	ck_assert_int_eq(http_pool_connections(p), 1);
	ck_assert_int_eq(http_pool_busy_connections(p), 0);
	http_pool_free(p);
}
END_TEST

START_TEST(refused_connect_reports_nothing_sent)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct sockaddr_in a = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0); /* bound, not listening */
	struct http_pool *p;
	struct reply r;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&a, sizeof a), 0);
	p = http_pool_new(bed.loop, "127.0.0.1", bound_port(fd), 4, 0, &limits);

	call_and_wait(p, "POST", "body", 4, &r);
	ck_assert_int_eq(r.failed, 1);
	ck_assert_int_eq(r.code, HTTP_E_CONNECT);
	ck_assert_int_eq(r.sent, 0);
	reply_free(&r);
	http_pool_free(p);
	close(fd);
}
END_TEST

START_TEST(short_request_body_fails)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_pool *p =
	    http_pool_new(bed.loop, "127.0.0.1", bed.port, 4, 0, &limits);
	struct reply r;

	call_and_wait(p, "POST", "body", 5, &r);
	ck_assert_int_eq(r.failed, 1);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

START_TEST(stopping_server_answers_and_closes)
{
	const char *text = "GET /h HTTP/1.1\r\n\r\n";
	int fd = io_connect_tcp("127.0.0.1", bed.port);
	int64_t until = bed_timeout_at();
	char buf[1024];
	ssize_t n;

	bed.hold = 1;
	while (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		bed_step(until);
	while (!bed.held)
		bed_step(until);
	http_server_stop(bed.server);
	ck_assert_int_eq(http_server_connections(bed.server), 1);
	bed_respond(bed.held);
	while ((n = recv(fd, buf, sizeof buf - 1, MSG_DONTWAIT)) < 0)
		bed_step(until);
	buf[n] = '\0';
	ck_assert_ptr_nonnull(strstr(buf, "200 OK"));
	ck_assert_ptr_nonnull(strstr(buf, "Connection: close"));
	close(fd);
	while (http_server_connections(bed.server))
		bed_step(until);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	while (recv(fd, buf, 1, MSG_DONTWAIT) < 0 && errno != ECONNREFUSED)
		bed_step(until);
	close(fd);
}
END_TEST

START_TEST(stopping_server_answers_arrived_requests)
{
	static const char text[] = "GET /h HTTP/1.1\r\n\r\n";
	int64_t until = bed_timeout_at();
	int fd[3], i;
	char buf[512] = "";

	for (i = 0; i < 2; i++)
		fd[i] = io_connect_tcp("127.0.0.1", bed.port);
	while (http_server_connections(bed.server) < 2)
		bed_step(until);
	/* request is sent, but not yet read by the server */
	ck_assert_int_eq(send(fd[1], text, sizeof text - 1, MSG_NOSIGNAL),
	    (ssize_t)sizeof text - 1);
	/* connection is open, but not yet accepted by the server */
	fd[2] = io_connect_tcp("127.0.0.1", bed.port);
	ck_assert_int_eq(send(fd[2], text, sizeof text - 1, MSG_NOSIGNAL),
	    (ssize_t)sizeof text - 1);
	http_server_stop(bed.server);
	while (recv(fd[0], buf, 1, MSG_DONTWAIT) < 0)
		bed_step(until);
	ck_assert_str_eq(buf, "");
	for (i = 1; i < 3; i++) {
		memset(buf, 0, sizeof buf);
		while (recv(fd[i], buf, sizeof buf - 1, MSG_DONTWAIT) < 0)
			bed_step(until);
		ck_assert_ptr_nonnull(strstr(buf, "200 OK"));
		ck_assert_ptr_nonnull(strstr(buf, "Connection: close"));
	}
	for (i = 0; i < 3; i++)
		close(fd[i]);
	bed_wait_closed();
}
END_TEST

static void
respond_and_stop(void *ctx, struct http_exchange *x)
{
	(void)ctx;
	bed_respond(x);
	http_server_stop(bed.server);
}

START_TEST(request_on_an_idle_connection_after_a_stop_is_answered)
{
	static const char text[] = "GET /h HTTP/1.1\r\n\r\n";
	int fd = io_connect_tcp("127.0.0.1", bed.port);
	int64_t until = bed_timeout_at();
	char buf[512] = "";

	while (http_server_connections(bed.server) < 1)
		bed_step(until);
	http_server_stop(bed.server);
	bed_step(until);
	ck_assert_int_eq(send(fd, text, sizeof text - 1, MSG_NOSIGNAL),
	    (ssize_t)sizeof text - 1);
	while (recv(fd, buf, sizeof buf - 1, MSG_DONTWAIT) < 0)
		bed_step(until);
	ck_assert_ptr_nonnull(strstr(buf, "200 OK"));
	ck_assert_ptr_nonnull(strstr(buf, "Connection: close"));
	close(fd);
	bed_wait_closed();
}
END_TEST

START_TEST(server_stopped_in_a_callback_closes)
{
	static const char text[] = "GET /h HTTP/1.1\r\n\r\n";
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_server_ops ops = bed_ops;
	char *got;

	ops.end = respond_and_stop;
	http_server_free(bed.server);
	bed.server = NULL;
	bed_server_start(&limits, &ops);
	got = bed_send_recv(text, sizeof text - 1, SIZE_MAX, 0);
	ck_assert_ptr_nonnull(strstr(got, "200 OK"));
	g_free(got);
	bed_wait_closed();
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http");

	tcase_add_checked_fixture(c, setup, bed_teardown);
	tcase_add_test(c, pipelined_requests_are_answered_in_order);
	tcase_add_test(c, http_1_0_request_and_half_close_are_answered);
	tcase_add_test(c, closing_caller_fails_its_exchange);
	tcase_add_test(c,
	    client_and_server_exchange_messages_on_one_connection);
	tcase_add_test(c, refused_connect_reports_nothing_sent);
	tcase_add_test(c, short_request_body_fails);
	tcase_add_test(c, stopping_server_answers_and_closes);
	tcase_add_test(c,
	    request_on_an_idle_connection_after_a_stop_is_answered);
	tcase_add_test(c, server_stopped_in_a_callback_closes);
	tcase_add_test(c, stopping_server_answers_arrived_requests);
	tcase_add_loop_test(c, responses_are_framed_as_the_request_allows, 0,
	    sizeof framing_cases / sizeof *framing_cases);
	return bed_run_suite("http", c);
}
