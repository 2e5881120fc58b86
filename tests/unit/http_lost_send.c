#include "http_bed.h"

#define PART_BYTES 65536 /* of the request's body, written at once */
#define PARTS_MAX 1000
#define LENGTH (PARTS_MAX * (int64_t)PART_BYTES) /* of the request's body */

static struct peer peer;
static struct http_limits limits = HTTP_LIMITS_DEFAULT;
static char part[PART_BYTES];

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

/* Starts a request whose body is not read by the peer any further. */
static struct http_call *
start_unread(struct http_pool *p, struct reply *r)
{
	struct http_call *c = reply_start(p, "POST", LENGTH, 0, r);

	ck_assert_ptr_nonnull(c);
	http_call_write(c, "part", 4);
	peer_expect(&peer, "part");
	http_call_write(c, part, sizeof part);
	return c;
}

/* Sends a head that announces @announced bytes (none if negative), and @n bytes
 * of body. */
static void
answer_early(int announced, size_t n)
{
	char *body = g_strnfill(n, 'a');
	char *text;

	if (announced < 0)
		text = g_strdup_printf("HTTP/1.1 200 OK\r\n\r\n%s", body);
	else
		text = g_strdup_printf("HTTP/1.1 413 Too large\r\n"
				       "Content-Length: %d\r\n\r\n%s",
		    announced, body);
	peer_send(&peer, text);
	g_free(text);
	g_free(body);
}

static struct http_pool *
new_pool(void)
{
	return http_pool_new(bed.loop, "127.0.0.1", peer.port, 4, 0, &limits);
}

/* A send that fails in the iteration in which the peer closes, after the
 * sockets were looked at. */
struct late_send {
	struct io_timer timer;
	struct http_call *call;
};

static void
close_and_send(void *ctx, int64_t now)
{
	struct late_send *l = ctx;

	(void)now;
	answer_early(2, 2);
	peer_hang_up(&peer, 0);
	http_call_write(l->call, "more", 4);
}

/* The peer answers whole and closes while the request is sent, and the client
 * learns of the close by its next send, between two iterations or within one.
 */
START_TEST(early_answer_is_read_after_a_failed_send)
{
	struct late_send l = { .timer.fire = close_and_send, .timer.ctx = &l };
	struct http_pool *p = new_pool();
	struct reply r;

	l.call = start_unread(p, &r);
	if (_i)
		io_timer_set(bed.loop, &l.timer, io_now(bed.loop));
	else
		close_and_send(&l, 0);
	reply_wait(&r);
	ck_assert_int_eq(r.failed, 0);
	ck_assert_int_eq(r.status, 413);
	ck_assert_str_eq(r.body->str, "aa");
	peer_run_quiet(&peer);
	ck_assert_int_eq(r.done, 1);
	ck_assert_int_eq(peer.naccept, 1);
	ck_assert_int_eq(http_pool_connections(p), 0);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* A receive ends before an urgent byte and the next one leaves it out, so that
 * the answer takes two. */
START_TEST(rest_of_an_answer_is_read_after_a_failed_send)
{
	struct http_pool *p = new_pool();
	struct http_call *c;
	struct reply r;

	c = start_unread(p, &r);
	answer_early(4, 2);
	ck_assert_int_eq(send(peer_fd(&peer), "!", 1, MSG_OOB), 1);
	peer_send(&peer, "aa");
	peer_hang_up(&peer, 0);
	http_call_write(c, "more", 4);
	reply_wait(&r);
	ck_assert_int_eq(r.failed, 0);
	ck_assert_str_eq(r.body->str, "aaaa");
	peer_run_quiet(&peer);
	ck_assert_int_eq(r.done, 1);
	ck_assert_int_eq(http_pool_connections(p), 0);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* The peer closes while the user has paused the answer, of which the client's
 * kernel holds the rest; the client learns of it by its watch, or by a send
 * (_i & 1). The rest is whole, or not (_i & 2). */
START_TEST(rest_of_a_paused_answer_is_read_after_a_reset)
{
	struct http_pool *p = new_pool();
	int64_t until = bed_timeout_at();
	struct http_call *c;
	struct reply r;

	c = start_unread(p, &r);
	answer_early(4, 2);
	while (!r.body->len)
		bed_step(until);
	http_call_pause(c, 1);
	peer_send(&peer, _i & 2 ? "a" : "aa");
	peer_hang_up(&peer, 0);
	if (_i & 1)
		http_call_write(c, "more", 4);
	peer_run_quiet(&peer);
	ck_assert_int_eq(r.failed + r.done, 0);
	ck_assert_str_eq(r.body->str, "aa");
	http_call_pause(c, 0);
	reply_wait(&r);
	ck_assert_int_eq(r.done, !(_i & 2));
	ck_assert_str_eq(r.body->str, _i & 2 ? "aaa" : "aaaa");
	ck_assert_int_eq(http_pool_connections(p), 0);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* What came before the close is no whole answer: part of a head, part of a
 * body, a body that lasts until the connection ends. */
START_TEST(cut_answer_fails_after_a_failed_send)
{
	struct http_pool *p = new_pool();
	struct http_call *c;
	struct reply r;

	c = start_unread(p, &r);
	if (_i == 0)
		peer_send(&peer, "HTTP/1.1 413 Too");
	else
		answer_early(_i == 1 ? 10 : -1, 4);
	peer_hang_up(&peer, 0);
	http_call_write(c, "more", 4);
	reply_wait(&r);
	ck_assert_int_eq(r.failed, 1);
	ck_assert_int_eq(r.code, HTTP_E_CLOSED);
	ck_assert_int_eq(r.sent, 1);
	peer_run_quiet(&peer);
	ck_assert_int_eq(r.done, 0);
	ck_assert_int_eq(r.failed, 1);
	ck_assert_int_eq(peer.naccept, 1);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* The reset is taken from the socket by a send, so that the next receive tells
 * of an orderly end. */
START_TEST(unframed_answer_cut_by_a_reset_is_not_whole)
{
	struct http_pool *p = new_pool();
	int64_t until = bed_timeout_at();
	struct http_call *c;
	struct reply r;
	int i;

	c = start_unread(p, &r);
	for (i = 0; i < PARTS_MAX; i++)
		if (http_call_write(c, part, sizeof part) > sizeof part)
			break;
	answer_early(-1, 4);
	while (!r.body->len)
		bed_step(until);
	peer_hang_up(&peer, 1);
	reply_wait(&r);
	ck_assert_int_eq(r.done, 0);
	ck_assert_int_eq(r.failed, 1);
	ck_assert_int_eq(r.code, HTTP_E_CLOSED);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

/* Bytes of an earlier answer come on a kept connection after a call began and
 * before its first byte is sent. */
START_TEST(answer_before_the_first_byte_is_sent_belongs_to_no_call)
{
	struct http_pool *p = new_pool();
	struct http_call *c;
	struct reply r;

	reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r);
	peer_expect(&peer, "\r\n\r\n");
	peer_send(&peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
	reply_wait(&r);
	reply_free(&r);
	c = reply_start(p, "POST", 4, 0, &r);
	peer_send(&peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
	bed_step(bed_timeout_at());
	ck_assert_int_eq(r.done, 0);
	ck_assert_uint_eq(r.body->len, 0);
	http_call_write(c, "body", 4);
	http_call_end_request(c);
	peer_wait_accepted(&peer, 2);
	peer_expect(&peer, "body");
	peer_send(&peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd");
	reply_wait(&r);
	ck_assert_int_eq(r.done, 1);
	ck_assert_str_eq(r.body->str, "cd");
	ck_assert_int_eq(peer_count(&peer, "POST"), 1);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http_lost_send");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c, early_answer_is_read_after_a_failed_send, 0, 2);
	tcase_add_loop_test(c, rest_of_a_paused_answer_is_read_after_a_reset, 0,
	    4);
	tcase_add_test(c, rest_of_an_answer_is_read_after_a_failed_send);
	tcase_add_loop_test(c, cut_answer_fails_after_a_failed_send, 0, 3);
	tcase_add_test(c, unframed_answer_cut_by_a_reset_is_not_whole);
	tcase_add_test(c,
	    answer_before_the_first_byte_is_sent_belongs_to_no_call);
	return bed_run_suite("http_lost_send", c);
}
