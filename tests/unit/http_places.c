#include "http_bed.h"

#define END_WAIT_US 500000 /* for a peer that has not closed its side */

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

static void
start(struct http_pool *p, int fresh, struct reply *r)
{
	g_string_truncate(peer.received, 0);
	ck_assert_ptr_nonnull(
	    reply_start(p, "GET", HTTP_LENGTH_NONE, fresh, r));
}

static void
answer(struct reply *r)
{
	peer_expect(&peer, "\r\n\r\n");
	peer_send(&peer, ok_response);
	reply_wait(r);
	ck_assert_int_eq(r->done, 1);
	reply_free(r);
}

static void
close_conn(int i, int reset)
{
	peer.last = i;
	peer_hang_up(&peer, reset);
}

/* A peer that counts a connection until it has closed it never has more than
 * the most that it takes. */
START_TEST(call_waits_until_the_peer_has_closed_a_connection)
{
	struct http_pool *p = new_pool(1, 0);
	struct reply r;

	start(p, 0, &r);
	answer(&r);
	start(p, 1, &r);
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 1);
	ck_assert_int_eq(r.failed, 0);
	close_conn(0, _i);
	peer_wait_accepted(&peer, 2);
	answer(&r);
	http_pool_free(p);
}
END_TEST

START_TEST(connection_of_a_cancelled_call_keeps_its_place)
{
	struct http_pool *p = new_pool(1, 0);
	struct http_call *c;
	struct reply r, other;

	c = reply_start(p, "POST", 4, 0, &r);
	http_call_write(c, "bo", 2);
	peer_expect(&peer, "bo");
	ck_assert_int_eq(http_call_cancel(c), 1);
	reply_free(&r);
	start(p, 0, &other);
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 1);
	close_conn(0, 0);
	answer(&other);
	ck_assert_int_eq(peer.naccept, 2);
	http_pool_free(p);
}
END_TEST

START_TEST(spare_connection_waits_for_a_place)
{
	struct http_pool *p = new_pool(2, 1);
	struct reply r;

	peer_wait_accepted(&peer, 1);
	start(p, 1, &r);
	answer(&r);
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 2);
	start(p, 1, &r);
	answer(&r);
	start(p, 1, &r); /* closes the idle connection used first */
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 2);
	close_conn(0, 0);
	answer(&r);
	ck_assert_int_eq(peer.naccept, 3);
	http_pool_free(p);
}
END_TEST

START_TEST(peer_that_never_closes_is_not_waited_for)
{
	struct http_pool *p = new_pool(1, 0);
	int64_t begin;
	struct reply r;

	start(p, 0, &r);
	answer(&r);
	begin = io_clock();
	start(p, 1, &r);
	answer(&r);
	ck_assert_int_ge(io_clock() - begin, END_WAIT_US);
	http_pool_free(p);
}
END_TEST

/* As after close(): a peer at work for nobody learns of it as it answers. */
START_TEST(answer_on_a_closed_connection_is_reset)
{
	struct http_pool *p = new_pool(1, 0);
	struct http_call *c;
	struct reply r;
	int64_t until = bed_timeout_at();

	c = reply_start(p, "GET", HTTP_LENGTH_NONE, 0, &r);
	peer_expect(&peer, "\r\n\r\n");
	http_call_cancel(c);
	do
		bed_step(until);
	while (send(peer_fd(&peer), "x", 1, MSG_NOSIGNAL) > 0);
	ck_assert(errno == EPIPE || errno == ECONNRESET);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

START_TEST(waiting_call_can_be_cancelled_or_left)
{
	struct http_pool *p = new_pool(1, 0);
	struct http_call *c;
	struct reply r;

	start(p, 0, &r);
	answer(&r);
	c = reply_start(p, "GET", HTTP_LENGTH_NONE, 1, &r);
	ck_assert_ptr_nonnull(c);
	if (_i)
		ck_assert_int_eq(http_call_cancel(c), 0);
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 1);
	http_pool_free(p);
	peer_run_quiet(&peer);
	ck_assert_int_eq(peer.naccept, 1);
	ck_assert_int_eq(r.done + r.failed, 0);
	reply_free(&r);
}
END_TEST

/* Nobody listens any more once a place is free. */
START_TEST(waiting_call_fails_unsent_if_it_can_not_connect)
{
	struct http_pool *p = new_pool(1, 0);
	struct reply r;

	start(p, 0, &r);
	answer(&r);
	start(p, 1, &r);
	close(peer.listener);
	peer.listener = -1;
	close_conn(0, 0);
	reply_wait(&r);
	ck_assert_int_eq(r.failed, 1);
	ck_assert_int_eq(r.sent, 0);
	reply_free(&r);
	http_pool_free(p);
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http_places");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c,
	    call_waits_until_the_peer_has_closed_a_connection, 0, 2);
	tcase_add_test(c, connection_of_a_cancelled_call_keeps_its_place);
	tcase_add_test(c, spare_connection_waits_for_a_place);
	tcase_add_test(c, peer_that_never_closes_is_not_waited_for);
	tcase_add_test(c, answer_on_a_closed_connection_is_reset);
	tcase_add_loop_test(c, waiting_call_can_be_cancelled_or_left, 0, 2);
	tcase_add_test(c, waiting_call_fails_unsent_if_it_can_not_connect);
	return bed_run_suite("http_places", c);
}
