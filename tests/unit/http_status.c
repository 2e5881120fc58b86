#include "http_bed.h"

#define TAG 7 /* of the first call on the connection */

/* Status lines of a target that the protocol doesn't have (RFC 9112, 4). */

static struct peer peer;
static struct http_limits limits = HTTP_LIMITS_DEFAULT;

static const char *const odd_lines[] = {
	"HTTP/1.1 000 None",
	"HTTP/1.1 000 ",
	"HTTP/1.1 000",
	"HTTP/1.1 001 One",
	"HTTP/1.1 099 Low",
	"HTTP/1.1 0200 OK",
	"HTTP/1.1 00200 OK",
	"HTTP/1.1 0000200 OK",
	"HTTP/1.1 2 OK",
	"HTTP/1.1 20 OK",
	"HTTP/1.1 600 High",
	"HTTP/1.1 999 High",
	"HTTP/1.1 1000 High",
	"HTTP/1.1 2000 OK",
	"HTTP/1.1 4294967496 OK",
	"HTTP/1.1 -200 OK",
	"HTTP/1.1 +200 OK",
	"HTTP/1.1 200",
	"HTTP/1.1 200\tOK",
	"HTTP/1.1 200OK",
	"HTTP/1.1 200.0 OK",
	"HTTP/1.1 2 00 OK",
	"HTTP/1.1 0xc8 OK",
	"HTTP/1.1  200 OK",
	"HTTP/1.1\t200 OK",
	"HTTP/1.1200 OK",
	"HTTP/1.1 OK",
	"HTTP/1.1 ",
	"HTTP/1.1",
	"HTTP/1 200 OK",
	"HTTP/1. 200 OK",
	"HTTP/1.2 200 OK",
	"HTTP/1.01 200 OK",
	"HTTP/01.1 200 OK",
	"HTTP/1.1.1 200 OK",
	"HTTP/0.9 200 OK",
	"HTTP/2.0 200 OK",
	"HTTP/-1.1 200 OK",
	"http/1.1 200 OK",
	"HTTP 200 OK",
	"HTTPS/1.1 200 OK",
	"ICY 200 OK",
	" HTTP/1.1 200 OK",
	"200 OK",
	"HTTP/1.1 101 Switch",
	"HTTP/1.1 0100 Continue",
};
#define ODD_LINES ((int)(sizeof odd_lines / sizeof *odd_lines))

static struct http_pool *
new_pool(void)
{
	return http_pool_new(bed.loop, "127.0.0.1", peer.port, 4, 0, &limits);
}

/* Sends @text to a call, at once or a byte at a time. */
static void
answer(const char *text, int by_byte)
{
	if (!by_byte) {
		peer_send(&peer, text);
		return;
	}
	for (; *text; text++) {
		/* the client may have closed */
		if (send(peer_fd(&peer), text, 1, MSG_NOSIGNAL) < 0)
			return;
		bed_step(bed_timeout_at());
	}
}

static void
expect_failed(struct reply *r, const char *line)
{
	reply_wait(r);
	ck_assert_msg(r->failed == 1 && !r->done && !r->status && r->sent,
	    "%s: failed %d done %d status %d", line, r->failed, r->done,
	    r->status);
	reply_free(r);
}

START_TEST(odd_status_line_is_no_answer)
{
	const char *line = odd_lines[_i / 2];
	char *text = g_strconcat(line, "\r\nContent-Length: 2\r\n\r\nok", NULL);
	struct http_pool *p = new_pool();
	struct reply r;

	ck_assert_ptr_nonnull(reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r));
	peer_expect(&peer, "\r\n\r\n");
	answer(text, _i % 2);
	expect_failed(&r, line);
	g_free(text);
	http_pool_free(p);
}
END_TEST

START_TEST(odd_status_line_after_an_interim_response_is_no_answer)
{
	const char *line = odd_lines[_i];
	char *text = g_strconcat("HTTP/1.1 100 Continue\r\n\r\n", line,
	    "\r\nContent-Length: 2\r\n\r\nok", NULL);
	struct http_pool *p = new_pool();
	struct reply r;

	ck_assert_ptr_nonnull(reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r));
	peer_expect(&peer, "\r\n\r\n");
	peer_send(&peer, text);
	expect_failed(&r, line);
	g_free(text);
	http_pool_free(p);
}
END_TEST

START_TEST(odd_interim_status_line_ends_the_call)
{
	static const char *const lines[] = { "HTTP/1.1 0100 Continue",
		"HTTP/1.1 100", "HTTP/1.1 099 Low", "HTTP/1.1 000 None",
		"HTTP/1.1 00 None", "HTTP/1.1  100 Continue" };
	char *text = g_strconcat(lines[_i],
	    "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", NULL);
	struct http_pool *p = new_pool();
	struct reply r;

	ck_assert_ptr_nonnull(reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r));
	peer_expect(&peer, "\r\n\r\n");
	peer_send(&peer, text);
	expect_failed(&r, lines[_i]);
	g_free(text);
	http_pool_free(p);
}
END_TEST

static int
is_extra(void *ctx, const struct http_head *h)
{
	return http_head_find(h, "X-Extra") != NULL;
}

static const struct http_call_ops extra_ops = {
	.head = reply_head,
	.body = reply_body,
	.done = reply_done,
	.failed = reply_failed,
	.is_extra = is_extra,
};

static void
start_extra(struct http_pool *p, struct reply *r)
{
	struct http_call *c;

	g_string_truncate(peer.received, 0);
	memset(r, 0, sizeof *r);
	r->body = g_string_new(NULL);
	c = http_call_start(p, "GET", "/x", NULL, 0, HTTP_LENGTH_NONE, 0,
	    &extra_ops, r, NULL);
	ck_assert_ptr_nonnull(c);
	http_call_set_tag(c, TAG);
	peer_expect(&peer, "\r\n\r\n");
}

START_TEST(odd_extra_response_is_not_read_over)
{
	const char *line = odd_lines[_i];
	char *text = g_strconcat(line,
	    "\r\nX-Extra: 1\r\nContent-Length: 2\r\n\r\nno"
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	    NULL);
	struct http_pool *p = new_pool();
	struct reply r;

	start_extra(p, &r);
	peer_send(&peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	reply_wait(&r);
	ck_assert_int_eq(r.done, 1);
	reply_free(&r);
	start_extra(p, &r);
	peer_send(&peer, text);
	expect_failed(&r, line);
	g_free(text);
	http_pool_free(p);
}
END_TEST

START_TEST(each_final_status_is_an_answer)
{
	char text[64];
	struct http_pool *p = new_pool();
	struct reply r;

	g_snprintf(text, sizeof text,
	    "HTTP/1.%d %d \r\nContent-Length: 0\r\n\r\n", _i % 2, _i);
	ck_assert_ptr_nonnull(reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r));
	peer_expect(&peer, "\r\n\r\n");
	peer_send(&peer, text);
	reply_wait(&r);
	ck_assert_int_eq(r.done, 1);
	ck_assert_int_eq(r.status, _i);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

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

int
main(void)
{
	TCase *c = tcase_create("http_status");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c, odd_status_line_is_no_answer, 0, 2 * ODD_LINES);
	tcase_add_loop_test(c,
	    odd_status_line_after_an_interim_response_is_no_answer, 0,
	    ODD_LINES);
	tcase_add_loop_test(c, odd_interim_status_line_ends_the_call, 0, 6);
	tcase_add_loop_test(c, odd_extra_response_is_not_read_over, 0,
	    ODD_LINES);
	tcase_add_loop_test(c, each_final_status_is_an_answer, 200, 600);
	return bed_run_suite("http_status", c);
}
