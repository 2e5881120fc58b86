#include "http_bed.h"

static struct peer peer;
static struct http_limits limits = HTTP_LIMITS_DEFAULT;

static const char ok_response[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

static void
setup(void)
{
	bed_setup();
	peer_open(&peer);
}

static void
teardown(void)
{
	peer_end(&peer);
	bed_teardown();
}

static struct http_pool *
new_pool(int max, int spare)
{
	return http_pool_new(bed.loop, "127.0.0.1", peer.port, max, spare,
	    &limits);
}

/* Runs one call that succeeds; forgets what the peer had received before. */
static void
successful_call(struct http_pool *p)
{
	struct reply r;

	g_string_truncate(peer.received, 0);
	ck_assert_ptr_nonnull(reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r));
	peer_expect(&peer, "\r\n\r\n");
	peer_send(&peer, ok_response);
	reply_wait(&r);
	ck_assert_int_eq(r.done, 1);
	ck_assert_str_eq(r.body->str, "ok");
	reply_free(&r);
}

/* ---- (a) the peer reads the request and sends no whole response ---- */

/* How the peer ends the connection instead. */
enum ending { HANG_UP, RESET, HALF_CLOSE, CUT_HEAD, CUT_BODY, ENDINGS };

static void
break_connection(enum ending e)
{
	if (e == CUT_HEAD)
		peer_send(&peer, "HTTP/1.1 200 OK\r\nContent-");
	if (e == CUT_BODY)
		peer_send(&peer,
		    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
	if (e == HALF_CLOSE)
		shutdown(peer_fd(&peer), SHUT_WR);
	else
		peer_hang_up(&peer, e == RESET);
}

static const char *const methods[] = { "GET", "POST", "PUT", "DELETE" };

/* Each ending, for each method, on a new and on a reused connection. */
START_TEST(lost_request_is_reported_once_and_never_sent_again)
{
	enum ending e = _i % ENDINGS;
	const char *method = methods[_i / ENDINGS % 4];
	struct http_pool *p = new_pool(4, 0);
	struct reply r;

	if (_i / ENDINGS / 4)
		successful_call(p);
	g_string_truncate(peer.received, 0);
	ck_assert_ptr_nonnull(reply_start(p, method, HTTP_LENGTH_NONE, 0, &r));
	peer_expect(&peer, "\r\n\r\n");
	break_connection(e);
	reply_wait(&r);
	ck_assert_int_eq(r.failed, 1);
	ck_assert_int_eq(r.code, HTTP_E_CLOSED);
	ck_assert_int_eq(r.sent, 1);
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 1);
	ck_assert_int_eq(peer_count(&peer, " /x HTTP/1.1"), 1);
	ck_assert_int_eq(r.done, 0);
	ck_assert_int_eq(r.failed, 1);
	ck_assert_int_eq(http_pool_connections(p), 0);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* The peer closes without reading the request, which its kernel has already
 * taken: the call is still reported as sent. */
START_TEST(unread_request_counts_as_sent)
{
	struct http_pool *p = new_pool(4, 0);
	struct reply r;

	ck_assert_ptr_nonnull(reply_start(p, "POST", 0, 0, &r));
	peer_wait_accepted(&peer, 1);
	while (
	    recv(peer_fd(&peer), &(char){ 0 }, 1, MSG_PEEK | MSG_DONTWAIT) < 0)
		bed_step(bed_timeout_at());
	peer_hang_up(&peer, 0);
	reply_wait(&r);
	ck_assert_int_eq(r.failed, 1);
	ck_assert_int_eq(r.sent, 1);
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 1);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* ---- (b) an idle connection is closed just as it is reused ---- */

START_TEST(closed_idle_connection_is_replaced_before_anything_is_sent)
{
	struct http_pool *p = new_pool(4, 0);
	struct reply r;

	successful_call(p);
	g_string_truncate(peer.received, 0);
	/* The loop does not run between the close and the call, so that the
	 * client has not noticed the close. 0: closed, 1: reset,
	 * 2: half-closed */
	if (_i == 2)
		shutdown(peer_fd(&peer), SHUT_WR);
	else
		peer_hang_up(&peer, _i);
	ck_assert_ptr_nonnull(reply_start(p, "POST", 0, 0, &r));
	peer_wait_accepted(&peer, 2);
	peer_expect(&peer, "\r\n\r\n");
	peer_send(&peer, ok_response);
	reply_wait(&r);
	ck_assert_int_eq(r.done, 1);
	ck_assert_int_eq(peer_count(&peer, " /x HTTP/1.1"), 1);
	ck_assert_int_eq(http_pool_connections(p), 1);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* The client notices the close after the call has started, when it writes the
 * first byte. */
START_TEST(connection_closed_before_the_first_byte_is_replaced)
{
	struct http_pool *p = new_pool(4, 0);
	struct http_call *c;
	struct reply r;

	successful_call(p);
	g_string_truncate(peer.received, 0);
	c = reply_start(p, "POST", 4, 0, &r);
	peer_hang_up(&peer, 1);
	http_call_write(c, "body", 4);
	http_call_end_request(c);
	peer_wait_accepted(&peer, 2);
	peer_expect(&peer, "body");
	peer_send(&peer, ok_response);
	reply_wait(&r);
	ck_assert_int_eq(r.done, 1);
	ck_assert_int_eq(peer_count(&peer, "body"), 1);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

START_TEST(idle_connection_that_closes_or_sends_is_closed)
{
	struct http_pool *p = new_pool(4, 0);
	int64_t until = bed_timeout_at();

	successful_call(p);
	ck_assert_int_eq(http_pool_connections(p), 1);
	if (_i)
		peer_send(&peer, ok_response); /* not requested */
	else
		peer_hang_up(&peer, 0);
	while (http_pool_connections(p))
		bed_step(until);
	http_pool_free(p);
}
END_TEST

/* ---- (c) the peer half-closes after its response, or responds early ---- */

START_TEST(response_before_half_close_is_complete)
{
	struct http_pool *p = new_pool(4, 0);
	struct reply r;

	ck_assert_ptr_nonnull(reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r));
	peer_expect(&peer, "\r\n\r\n");
	peer_send(&peer, ok_response);
	shutdown(peer_fd(&peer), SHUT_WR);
	reply_wait(&r);
	ck_assert_int_eq(r.done, 1);
	reply_free(&r);
	successful_call(p);
	ck_assert_int_eq(peer.naccept, 2);
	http_pool_free(p);
}
END_TEST

START_TEST(early_response_ends_the_call_and_its_connection)
{
	struct http_pool *p = new_pool(4, 0);
	struct http_call *c;
	struct reply r;

	c = reply_start(p, "POST", 100, 0, &r);
	http_call_write(c, "part", 4);
	peer_expect(&peer, "part");
	peer_send(&peer, ok_response);
	reply_wait(&r);
	ck_assert_int_eq(r.done, 1);
	ck_assert_int_eq(http_pool_connections(p), 0);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* ---- complete, truncated and malformed responses ---- */

struct response_case {
	const char *text;
	int done; /* whether the call succeeds once the peer closes after the
		     text */
	const char *body;
};

static const struct response_case response_cases[] = {
	{ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", 1, "abcde" },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd", 0, NULL },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1, "" },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nab\r\n0\r\nT: u\r\n\r\n",
	    1, "ab" },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nab\r\n0\r\n",
	    0, NULL },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", 0,
	    NULL },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 0,
	    NULL },
	{ "HTTP/1.1 200 OK\r\n\r\nuntil close", 1, "until close" },
	{ "HTTP/1.0 200 OK\r\n\r\n", 1, "" },
	{ "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", 1, "ab" },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n"
	  "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
	    1, "a" },
	{ "HTTP/1.1 100 Continue\r\n\r\n", 0, NULL },
	{ "HTTP/1.1 204 No\r\nContent-Length: 9\r\n\r\n", 1, "" },
	{ "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", 1, "" },
	{ "HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", 0,
	    NULL },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	    0, NULL },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	    0, NULL },
	{ "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n", 0,
	    NULL },
	{ "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", 0, NULL },
	{ "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n", 0, NULL },
	{ "nonsense\r\n\r\n", 0, NULL },
	{ "HTTP/1.1 200", 0, NULL },
	{ "", 0, NULL },
};

/* Sends @text at once, or a byte at a time if @by_byte. */
static void
send_response(const char *text, int by_byte)
{
	char one[2] = { 0 };

	if (!by_byte) {
		peer_send(&peer, text);
		return;
	}
	for (; *text; text++) {
		one[0] = *text;
		/* the client may have closed on malformed input */
		if (send(peer_fd(&peer), one, 1, MSG_NOSIGNAL) < 0)
			return;
		bed_step(bed_timeout_at());
	}
}

START_TEST(broken_responses_fail_and_complete_ones_succeed)
{
	const struct response_case *a = &response_cases[_i / 2];
	struct http_pool *p = new_pool(4, 0);
	struct reply r;

	ck_assert_ptr_nonnull(reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r));
	peer_expect(&peer, "\r\n\r\n");
	send_response(a->text, _i % 2);
	peer_hang_up(&peer, 0);
	reply_wait(&r);
	ck_assert_msg(r.done == a->done && r.failed == !a->done, "%s: %d %d",
	    a->text, r.done, r.failed);
	if (a->done)
		ck_assert_str_eq(r.body->str, a->body);
	else
		ck_assert_int_eq(r.sent, 1);
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 1);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

START_TEST(response_that_ends_at_close_fails_on_reset)
{
	struct http_pool *p = new_pool(4, 0);
	int64_t until = bed_timeout_at();
	struct reply r;

	ck_assert_ptr_nonnull(reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r));
	peer_expect(&peer, "\r\n\r\n");
	peer_send(&peer, "HTTP/1.1 200 OK\r\n\r\npart");
	while (!r.body->len)
		bed_step(until);
	peer_hang_up(&peer, 1);
	reply_wait(&r);
	ck_assert_int_eq(r.failed, 1);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* ---- the pool ---- */

START_TEST(cancel_returns_whether_anything_was_sent)
{
	struct http_pool *p = new_pool(1, 0);
	struct kq_error err = { 0 };
	struct reply r, excess;
	struct http_call *c;

	c = reply_start(p, "POST", 4, 0, &r);
	ck_assert_ptr_nonnull(c);
	ck_assert_ptr_null(http_call_start(p, "GET", "/", NULL, 0,
	    HTTP_LENGTH_NONE, 0, &reply_ops, &excess, &err));
	ck_assert_int_eq(err.code, HTTP_E_CONNECT);
	ck_assert_int_eq(http_call_cancel(c), 0);
	ck_assert_int_eq(http_pool_connections(p), 0);
	reply_free(&r);
	c = reply_start(p, "POST", 4, 0, &r);
	http_call_write(c, "bo", 2);
	peer_expect(&peer, "bo");
	ck_assert_int_eq(http_call_cancel(c), 1);
	peer_run_quiet(&peer);
	ck_assert_int_eq(r.done + r.failed, 0);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

START_TEST(fresh_call_never_gets_a_used_connection)
{
	struct http_pool *p = new_pool(3, 1);
	struct reply r;
	int used;

	peer_wait_accepted(&peer, 1);
	successful_call(p);
	used = peer.last;
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 2); /* a new spare was opened */
	ck_assert_int_eq(http_pool_connections(p), 2);
	ck_assert_ptr_nonnull(reply_start(p, "POST", 0, 1, &r));
	g_string_truncate(peer.received, 0);
	peer_expect(&peer, "\r\n\r\n");
	ck_assert_int_eq(peer.last, 1);
	peer_send(&peer, ok_response);
	reply_wait(&r);
	ck_assert_int_eq(r.done, 1);
	reply_free(&r);
	/* a call that is not fresh takes the connection used last */
	successful_call(p);
	ck_assert_int_eq(peer.last, 1);
	ck_assert_int_ne(peer.last, used);
	http_pool_free(p);
}
END_TEST

START_TEST(lost_spare_connection_is_opened_again)
{
	struct http_pool *p = new_pool(3, 1);

	peer_wait_accepted(&peer, 1);
	peer_hang_up(&peer, 0);
	peer_wait_accepted(&peer, 2);
	ck_assert_int_eq(http_pool_connections(p), 1);
	http_pool_free(p);
}
END_TEST

START_TEST(silent_peer_times_out)
{
	struct http_limits quick = { 16384, 10, 100, 100, 0 };
	struct http_pool *p =
	    http_pool_new(bed.loop, "127.0.0.1", peer.port, 4, 0, &quick);
	struct reply r;

	ck_assert_ptr_nonnull(reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r));
	reply_wait(&r);
	ck_assert_int_eq(r.code, HTTP_E_TIMEOUT);
	ck_assert_int_eq(r.sent, 1);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http_client");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c,
	    lost_request_is_reported_once_and_never_sent_again, 0, ENDINGS * 8);
	tcase_add_test(c, unread_request_counts_as_sent);
	tcase_add_loop_test(c,
	    closed_idle_connection_is_replaced_before_anything_is_sent, 0, 3);
	tcase_add_test(c, connection_closed_before_the_first_byte_is_replaced);
	tcase_add_loop_test(c, idle_connection_that_closes_or_sends_is_closed,
	    0, 2);
	tcase_add_test(c, response_before_half_close_is_complete);
	tcase_add_test(c, early_response_ends_the_call_and_its_connection);
	tcase_add_loop_test(c, broken_responses_fail_and_complete_ones_succeed,
	    0, 2 * sizeof response_cases / sizeof *response_cases);
	tcase_add_test(c, response_that_ends_at_close_fails_on_reset);
	tcase_add_test(c, cancel_returns_whether_anything_was_sent);
	tcase_add_test(c, fresh_call_never_gets_a_used_connection);
	tcase_add_test(c, lost_spare_connection_is_opened_again);
	tcase_add_test(c, silent_peer_times_out);
	return bed_run_suite("http_client", c);
}
