#include "http_bed.h"

#define TAG 7 /* of the first call on the connection */
#define EXTRA_WAIT_MAX_US 500000 /* for the end of one that broke off */
#define SEGMENTS_US 10000 /* between them: less than one may take */
#define EXTRA_MAX 4 /* responses that are read over for one call */

/* Responses to an earlier call on a connection, before a call's own. */

static struct peer peer;
static struct http_limits limits = HTTP_LIMITS_DEFAULT;
static struct http_call *call;
static struct reply reply;
static int asked; /* calls of is_extra */

static const char own[] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
static const char extra[] = "HTTP/1.1 200 OK\r\nX-Extra: 1\r\n"
			    "Content-Length: 5\r\n\r\nextra";

static int
names_earlier_call(void *ctx, const struct http_head *h)
{
	asked++;
	ck_assert_uint_eq(http_call_earlier_tag(call), TAG);
	return http_head_find(h, "X-Extra") != NULL;
}

static const struct http_call_ops extra_ops = {
	.head = reply_head,
	.body = reply_body,
	.done = reply_done,
	.failed = reply_failed,
	.is_extra = names_earlier_call,
};

static void
start(struct http_pool *p, const char *method)
{
	g_string_truncate(peer.received, 0);
	memset(&reply, 0, sizeof reply);
	reply.body = g_string_new(NULL);
	call = http_call_start(p, method, "/x", NULL, 0, HTTP_LENGTH_NONE, 0,
	    &extra_ops, &reply, NULL);
	ck_assert_ptr_nonnull(call);
	peer_expect(&peer, "\r\n\r\n");
}

/* A pool with one connection, on which a call was answered. */
static struct http_pool *
used_pool(const char *method)
{
	struct http_pool *p =
	    http_pool_new(bed.loop, "127.0.0.1", peer.port, 4, 0, &limits);

	start(p, method);
	http_call_set_tag(call, TAG);
	peer_send(&peer, strcmp(method, "HEAD")
			     ? own
			     : "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
			       "\r\n");
	reply_wait(&reply);
	ck_assert_int_eq(reply.done, 1);
	ck_assert_int_eq(asked, 0);
	reply_free(&reply);
	return p;
}

static void
expect_body(const char *text)
{
	reply_wait(&reply);
	ck_assert_int_eq(reply.done, 1);
	ck_assert_str_eq(reply.body->str, text);
	reply_free(&reply);
}

static void
setup(void)
{
	bed_setup();
	peer_open(&peer);
	asked = 0;
}

static void
teardown(void)
{
	peer_end(&peer);
	bed_teardown();
}

/* Cut at each byte into two segments. */
START_TEST(extra_response_is_read_over)
{
	struct http_pool *p = used_pool("GET");
	char *first = g_strndup(extra, (gsize)_i);
	int64_t pause;

	start(p, "GET");
	peer_send(&peer, first);
	pause = io_clock() + SEGMENTS_US;
	while (io_clock() < pause)
		bed_step(pause + BED_TIMEOUT_US);
	ck_assert_int_eq(reply.status, 0);
	peer_send(&peer, extra + _i);
	peer_run_quiet(&peer);
	ck_assert_int_eq(reply.status + reply.done + reply.failed, 0);
	peer_send(&peer, own);
	expect_body("own");
	ck_assert_int_eq(asked, 2);
	g_free(first);
	http_pool_free(p);
}
END_TEST

/* The call's own response follows one that stops within its body. */
START_TEST(extra_response_that_breaks_off_ends_the_call_soon)
{
	struct http_pool *p = used_pool("GET");
	int64_t begun;

	start(p, "GET");
	peer_send(&peer,
	    "HTTP/1.1 200 OK\r\nX-Extra: 1\r\nContent-Length: 500\r\n\r\nex");
	peer_run_quiet(&peer);
	peer_send(&peer, own);
	begun = io_clock();
	reply_wait(&reply);
	ck_assert_int_eq(reply.failed, 1);
	ck_assert_int_eq(reply.status, 0);
	ck_assert_int_lt(io_clock() - begun, EXTRA_WAIT_MAX_US);
	reply_free(&reply);
	http_pool_free(p);
}
END_TEST

START_TEST(both_in_one_segment)
{
	struct http_pool *p = used_pool("GET");
	char *both = g_strconcat(extra, own, NULL);

	start(p, "GET");
	peer_send(&peer, both);
	expect_body("own");
	g_free(both);
	http_pool_free(p);
}
END_TEST

START_TEST(connection_is_not_used_again)
{
	struct http_pool *p = used_pool("GET");

	start(p, "GET");
	peer_send(&peer, extra);
	peer_send(&peer, own);
	expect_body("own");
	ck_assert_int_eq(peer.naccept, 1);
	start(p, "GET");
	ck_assert_int_eq(peer.naccept, 2);
	peer_send(&peer, own);
	expect_body("own");
	http_pool_free(p);
}
END_TEST

START_TEST(only_some_are_read_over)
{
	struct http_pool *p = used_pool("GET");
	int i;

	start(p, "GET");
	for (i = 0; i <= EXTRA_MAX; i++)
		peer_send(&peer, extra);
	expect_body("extra");
	ck_assert_int_eq(asked, EXTRA_MAX);
	http_pool_free(p);
}
END_TEST

/* Its end, or that more follows, is not sure. */
static const char *const unsure[] = {
	"HTTP/1.1 200 OK\r\nX-Extra: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	"1\r\na\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Extra: 1\r\nConnection: close\r\n"
	"Content-Length: 1\r\n\r\na",
	"HTTP/1.0 200 OK\r\nX-Extra: 1\r\nContent-Length: 1\r\n\r\na",
};

START_TEST(unsure_ones_are_passed_on)
{
	struct http_pool *p = used_pool("GET");

	start(p, "GET");
	peer_send(&peer, unsure[_i]);
	expect_body("a");
	ck_assert_int_eq(asked, 0);
	http_pool_free(p);
}
END_TEST

START_TEST(long_one_is_passed_on)
{
	struct http_pool *p = used_pool("GET");

	start(p, "GET");
	peer_send(&peer,
	    "HTTP/1.1 200 OK\r\nX-Extra: 1\r\nContent-Length: 65537\r\n\r\n");
	peer_run_quiet(&peer);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_int_eq(asked, 0);
	http_call_cancel(call);
	reply_free(&reply);
	http_pool_free(p);
}
END_TEST

/* The length of its body is not known. */
START_TEST(response_after_head_is_passed_on)
{
	struct http_pool *p = used_pool("HEAD");

	start(p, "GET");
	peer_send(&peer, extra);
	expect_body("extra");
	ck_assert_int_eq(asked, 0);
	http_pool_free(p);
}
END_TEST

START_TEST(connection_that_ends_within_one_fails_the_call)
{
	struct http_pool *p = used_pool("GET");

	start(p, "GET");
	peer_send(&peer, _i ? extra
			    : "HTTP/1.1 200 OK\r\nX-Extra: 1\r\n"
			      "Content-Length: 5\r\n\r\nex");
	peer_run_quiet(&peer);
	peer_hang_up(&peer, 0);
	reply_wait(&reply);
	ck_assert_int_eq(reply.failed, 1);
	ck_assert_int_eq(reply.sent, 1);
	ck_assert_int_eq(reply.status, 0);
	reply_free(&reply);
	http_pool_free(p);
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http_extra");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c, extra_response_is_read_over, 1,
	    (int)strlen(extra));
	tcase_add_test(c, extra_response_that_breaks_off_ends_the_call_soon);
	tcase_add_test(c, both_in_one_segment);
	tcase_add_test(c, connection_is_not_used_again);
	tcase_add_test(c, only_some_are_read_over);
	tcase_add_loop_test(c, unsure_ones_are_passed_on, 0,
	    (int)G_N_ELEMENTS(unsure));
	tcase_add_test(c, long_one_is_passed_on);
	tcase_add_test(c, response_after_head_is_passed_on);
	tcase_add_loop_test(c, connection_that_ends_within_one_fails_the_call,
	    0, 2);
	return bed_run_suite("http_extra", c);
}
