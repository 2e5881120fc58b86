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
	peer_close(&peer);
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

static struct http_pool *
new_pool(void)
{
	return http_pool_new(bed.loop, "127.0.0.1", peer.port, 4, 0, &limits);
}

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
	peer_send(&peer, "HTTP/1.1 200 OK\r\n\r\npart");
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

int
main(void)
{
	TCase *c = tcase_create("http_lost_send");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_test(c, unframed_answer_cut_by_a_reset_is_not_whole);
	return bed_run_suite("http_lost_send", c);
}
