#include "http_bed.h"

#define RESPONSE_BYTES 3

/* What the server told of a connection on which two requests were sent at once
 * and whose caller reset it. */
static struct {
	struct http_exchange *exchange[2];
	int n;
	int nfailed;
	int nended;
	enum http_end_cause cause;
	int exchanges;
} told;

static void
on_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	ck_assert_int_lt(told.n, 2);
	told.exchange[told.n++] = x;
}

static void
on_body(void *ctx, struct http_exchange *x, const void *data, size_t n)
{
}

static void
on_end(void *ctx, struct http_exchange *x)
{
}

static void
on_failed(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	told.nfailed++;
}

static void
on_ended(void *ctx, const struct http_conn_end *e)
{
	told.nended++;
	told.cause = e->cause;
	told.exchanges = e->exchanges;
}

static const struct http_server_ops ops = {
	.request = on_request,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
	.ended = on_ended,
};

static void
send_two_requests(int fd)
{
	static const char text[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
				   "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
	size_t n = sizeof text - 1;
	int64_t until = bed_timeout_at();

	ck_assert_int_eq(send(fd, text, n, MSG_NOSIGNAL), (ssize_t)n);
	while (told.n < 2)
		bed_step(until);
}

static void
run_quiet(void)
{
	int64_t end = io_clock() + BED_QUIET_US;

	while (io_clock() < end)
		bed_step(end + BED_TIMEOUT_US);
}

static void
reset(int fd)
{
	io_reset_on_close(fd);
	close(fd);
}

/* The reset comes before the first response is sent, or in the middle of it. */
START_TEST(reset_found_by_a_send_is_told_as_the_callers)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_exchange *x;
	int i, fd, step = _i ? 1 : RESPONSE_BYTES;

	memset(&told, 0, sizeof told);
	bed_setup();
	bed_server_start(&limits, &ops);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	run_quiet();
	send_two_requests(fd);
	x = told.exchange[0];
	if (!_i)
		reset(fd);
	http_exchange_write_head(x, 200, NULL, 0, RESPONSE_BYTES);
	for (i = 0; i < RESPONSE_BYTES; i += step) {
		http_exchange_write(x, "aaa", (size_t)step);
		if (_i && !i)
			reset(fd);
	}
	http_exchange_end(x);
	bed_wait_closed();
	ck_assert_int_eq(told.nended, 1);
	ck_assert_int_eq(told.nfailed, 1);
	ck_assert_str_eq(http_end_cause_name(told.cause), "caller-reset");
	ck_assert_int_eq(told.exchanges, _i ? 2 : 1);
	bed_teardown();
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http_reset");

	tcase_add_loop_test(c, reset_found_by_a_send_is_told_as_the_callers, 0,
	    2);
	return bed_run_suite("http_reset", c);
}
