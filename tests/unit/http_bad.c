#include "http_bed.h"

static void
setup(void)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;

	bed_setup();
	bed_server_start(&limits, &bed_ops);
}

struct bad_case {
	const char *text;
	const char *status;
	int delivered; /* request callback ran before the error was found */
};

static const struct bad_case bad_cases[] = {
	{ "GET / HTTP/2.0\r\n\r\n", "400", 0 },
	{ "GET / HTTP/0.9\r\n\r\n", "400", 0 },
	{ "GET /\r\n\r\n", "400", 0 },
	{ "FETCH / HTTP/1.1\r\n\r\n", "400", 0 },
	{ "CONNECT a:1 HTTP/1.1\r\n\r\n", "400", 0 },
	{ "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    "400", 0 },
	{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
	  "Content-Length: 1\r\n\r\n0\r\n\r\n",
	    "400", 0 },
	{ "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	    "400", 0 },
	{ "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400", 0 },
	{ "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400", 0 },
	{ "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", "400", 0 },
	{ "POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\na", "400", 0 },
	{ "POST / HTTP/1.1\r\nContent-Length: 9000000000000000\r\n\r\n", "413",
	    0 },
	{ "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "400", 0 },
	{ "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "400",
	    0 },
	{ "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    "400", 0 },
	{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400",
	    1 },
	{ "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "400", 0 },
	{ "GET / HTTP/1.1\r\nA:\r\n\tc\r\n\r\n", "400", 0 },
	{ "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400", 0 },
	{ "GET / HTTP/1.1\r\nA\x01: b\r\n\r\n", "400", 0 },
	{ "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", "400", 0 },
	{ "GET / HTTP/1.1\r\nA: b", "400", 0 },
	{ "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc", "400", 1 },
};

static void
check_outcome(const char *got, int delivered)
{
	ck_assert_ptr_nonnull(
	    strstr(got, delivered ? "Kumquatrock-Outcome: unknown\r\n"
				  : "Kumquatrock-Outcome: not-run\r\n"));
}

START_TEST(malformed_requests_are_answered_with_their_outcome)
{
	const struct bad_case *b = &bad_cases[_i];
	char *got = bed_send_recv(b->text, strlen(b->text), SIZE_MAX, 1);

	ck_assert_msg(!strncmp(got, "HTTP/1.1 ", 9) &&
			  !strncmp(got + 9, b->status, 3),
	    "%s: %s", b->text, got);
	check_outcome(got, b->delivered);
	ck_assert_int_eq(bed.nrequest, b->delivered);
	ck_assert_int_eq(bed.nfailed, b->delivered);
	ck_assert_int_eq(bed.nrejected, 1);
	ck_assert_ptr_null(strstr(got, "X-Kind"));
	g_free(got);
}
END_TEST

START_TEST(nul_byte_is_refused)
{
	static const char text[] = "GET / HTTP/1.1\r\nA: b\0c\r\n\r\n";
	char *got = bed_send_recv(text, sizeof text - 1, SIZE_MAX, 1);

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
	got = bed_send_recv(s->str, s->len, SIZE_MAX, 0);
	ck_assert_int_eq(strncmp(got, "HTTP/1.1 431", 12), 0);
	ck_assert_int_eq(bed.reject_code, HTTP_E_HEAD_SIZE);
	g_free(got);
	g_string_assign(s, "GET / HTTP/1.1\r\n");
	for (i = 0; i <= HTTP_FIELDS_MAX; i++)
		g_string_append(s, "A: b\r\n");
	g_string_append(s, "\r\n");
	got = bed_send_recv(s->str, s->len, SIZE_MAX, 0);
	ck_assert_int_eq(strncmp(got, "HTTP/1.1 431", 12), 0);
	ck_assert_int_eq(bed.reject_code, HTTP_E_FIELDS);
	ck_assert_int_eq(bed.nrequest, 0);
	g_free(got);
	g_string_free(s, TRUE);
}
END_TEST

/* ---- slow senders ---- */

struct slow_case {
	const char *text;
	const char *status; /* NULL: closed without a response */
	int nfailed;
};

static const struct slow_case slow_cases[] = {
	{ "GET / HT", "408", 0 },
	{ "GET / HTTP/1.1\r\nA: b\r\n", "408", 0 },
	{ "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc", "408", 1 },
	{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "408",
	    1 },
	{ "", NULL, 0 },
	{ "\r\n", NULL, 0 },
};

START_TEST(slow_senders_are_timed_out)
{
	const struct slow_case *b = &slow_cases[_i];
	struct http_limits limits = { 16384, 10, 50, 100, 0 };
	char *got;

	http_server_free(bed.server);
	bed.server = NULL;
	bed_server_start(&limits, &bed_ops);
	got = bed_send_recv(b->text, strlen(b->text), SIZE_MAX, 0);
	if (b->status) {
		ck_assert_msg(!strncmp(got, "HTTP/1.1 ", 9) &&
				  !strncmp(got + 9, b->status, 3),
		    "%s: %s", b->text, got);
		check_outcome(got, b->nfailed);
		ck_assert_int_eq(bed.reject_code, HTTP_E_TIMEOUT);
	} else {
		ck_assert_str_eq(got, "");
	}
	ck_assert_int_eq(bed.nfailed, b->nfailed);
	bed_wait_closed();
	g_free(got);
}
END_TEST

/* ---- requests sent in pieces, and cut short ---- */

static const char four_requests[] =
    "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1\r\na\r\n0003;x=y\r\nbcd\r\n0\r\nTrailer: t\r\n\r\n"
    "GET /2 HTTP/1.1\r\nA:  b  \r\n\r\n"
    "\r\nPOST /3 HTTP/1.1\r\ncontent-length: 3\r\n\r\nxyz"
    "GET /4 HTTP/1.1\r\nConnection: close\r\n\r\n";

START_TEST(requests_in_pieces_of_any_size_get_the_same_responses)
{
	char *whole, *got;

	whole =
	    bed_send_recv(four_requests, sizeof four_requests - 1, SIZE_MAX, 0);
	ck_assert_ptr_nonnull(strstr(whole, "\r\n\r\nabcd"));
	ck_assert_ptr_nonnull(strstr(whole, "\r\n\r\nxyz"));
	g_string_truncate(bed.requests, 0);
	got = bed_send_recv(four_requests, sizeof four_requests - 1, (size_t)_i,
	    0);
	ck_assert_str_eq(got, whole);
	ck_assert_str_eq(bed.requests->str, "POST /1;GET /2;POST /3;GET /4;");
	g_free(got);
	g_free(whole);
}
END_TEST

START_TEST(requests_cut_at_any_byte_end_the_connection)
{
	size_t n = sizeof four_requests - 1, cut;
	char *got;

	for (cut = 0; cut < n; cut++) {
		bed.nrequest = bed.nfailed = 0;
		got = bed_send_recv(four_requests, cut, SIZE_MAX, 1);
		/* only the request that was cut may fail */
		ck_assert_int_le(bed.nrequest, 4);
		ck_assert_int_le(bed.nfailed, 1);
		bed_wait_closed();
		g_free(got);
	}
}
END_TEST

START_TEST(expect_100_continue_is_answered)
{
	static const char text[] = "POST / HTTP/1.1\r\nContent-Length: 2\r\n"
				   "Expect: 100-continue\r\n\r\n";
	int fd = io_connect_tcp("127.0.0.1", bed.port);
	int64_t until = bed_timeout_at();
	char buf[512] = "";

	while (send(fd, text, sizeof text - 1, MSG_NOSIGNAL) < 0)
		bed_step(until);
	while (recv(fd, buf, sizeof buf, MSG_DONTWAIT) < 0)
		bed_step(until);
	ck_assert_str_eq(buf, "HTTP/1.1 100 Continue\r\n\r\n");
	ck_assert_int_eq(send(fd, "ab", 2, MSG_NOSIGNAL), 2);
	while (recv(fd, buf, sizeof buf, MSG_DONTWAIT) < 0)
		bed_step(until);
	ck_assert_int_eq(strncmp(buf, "HTTP/1.1 200", 12), 0);
	close(fd);
}
END_TEST

START_TEST(connections_over_the_limit_are_refused)
{
	struct http_limits limits = { 16384, 2, 5000, 60000, 0 };
	int64_t until = bed_timeout_at();
	int fd[2], i;
	char *got;

	http_server_free(bed.server);
	bed.server = NULL;
	bed_server_start(&limits, &bed_ops);
	for (i = 0; i < 2; i++)
		fd[i] = io_connect_tcp("127.0.0.1", bed.port);
	while (http_server_connections(bed.server) < 2)
		bed_step(until);
	got = bed_send_recv("GET / HTTP/1.1\r\n\r\n", 18, SIZE_MAX, 0);
	ck_assert_int_eq(strncmp(got, "HTTP/1.1 503", 12), 0);
	ck_assert_ptr_nonnull(strstr(got, "Kumquatrock-Outcome: not-run"));
	ck_assert_int_eq(bed.nrequest, 0);
	g_free(got);
	close(fd[0]);
	while (http_server_connections(bed.server) > 1)
		bed_step(until);
	got = bed_send_recv("GET / HTTP/1.0\r\n\r\n", 18, SIZE_MAX, 0);
	ck_assert_int_eq(strncmp(got, "HTTP/1.1 200", 12), 0);
	g_free(got);
	close(fd[1]);
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http_bad");

	tcase_add_checked_fixture(c, setup, bed_teardown);
	tcase_add_loop_test(c,
	    malformed_requests_are_answered_with_their_outcome, 0,
	    sizeof bad_cases / sizeof *bad_cases);
	tcase_add_test(c, nul_byte_is_refused);
	tcase_add_test(c, large_heads_and_many_fields_are_refused);
	tcase_add_loop_test(c, slow_senders_are_timed_out, 0,
	    sizeof slow_cases / sizeof *slow_cases);
	tcase_add_loop_test(c,
	    requests_in_pieces_of_any_size_get_the_same_responses, 1, 40);
	tcase_add_test(c, requests_cut_at_any_byte_end_the_connection);
	tcase_add_test(c, expect_100_continue_is_answered);
	tcase_add_test(c, connections_over_the_limit_are_refused);
	return bed_run_suite("http_bad", c);
}
