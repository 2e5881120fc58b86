#include "http_bed.h"

#define BODY_BYTES (64 << 20)
#define PIECE_BYTES 50000 /* one write of the client */
#define UNSENT_MAX (256 << 10) /* a source is stopped above this */
#define READ_MAX 65536 /* one read of the adapter; may come after a stop */
#define PAUSE_EVERY 20 /* body callbacks of the client between pauses */
#define PAUSE_US 1000

/* The client sends a body of known bytes to a server that echoes it, and reads
 * the echo slowly. Client and server each stop their source while more than
 * UNSENT_MAX bytes are unsent. */
struct flow {
	struct http_call *call;
	struct io_timer timer;
	int64_t length;
	size_t written;
	size_t read;
	size_t client_unsent_max; /* most bytes unsent after a write */
	size_t server_unsent_max;
	int pieces; /* body callbacks, the server's if abort_after is set, else
		     * the client's */
	int ended;
	int done;
	int abort_after; /* pieces after which the server aborts, 0 for never */
	int failed;
	int sent;
};

static struct flow flow;

/* The body's byte at an offset. */
static unsigned char
pattern_byte(size_t at)
{
	return (unsigned char)((at * 2654435761u) >> 13);
}

/* ---- server ---- */

static void
echo_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	(void)ctx;
	http_exchange_write_head(x, 200, NULL, 0, h->length);
}

static void
echo_body(void *ctx, struct http_exchange *x, const void *data, size_t n)
{
	size_t unsent = http_exchange_write(x, data, n);

	(void)ctx;
	flow.server_unsent_max = MAX(flow.server_unsent_max, unsent);
	if (unsent > UNSENT_MAX)
		http_exchange_pause(x, 1);
	if (flow.abort_after && ++flow.pieces > flow.abort_after)
		http_exchange_abort(x);
}

static void
echo_end(void *ctx, struct http_exchange *x)
{
	(void)ctx;
	http_exchange_end(x);
}

static void
echo_drained(void *ctx, struct http_exchange *x)
{
	(void)ctx;
	http_exchange_pause(x, 0);
}

static void
echo_failed(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	(void)ctx;
	(void)x;
	(void)err;
	bed.nfailed++;
}

static const struct http_server_ops echo_ops = {
	.request = echo_request,
	.body = echo_body,
	.end = echo_end,
	.drained = echo_drained,
	.failed = echo_failed,
};

/* ---- client ---- */

/* Writes body bytes until too many are unsent, and ends the request after the
 * last. */
static void
write_body(void)
{
	unsigned char buf[PIECE_BYTES];
	size_t i, n, unsent = 0;

	while (flow.written < BODY_BYTES && unsent <= UNSENT_MAX) {
		n = MIN(PIECE_BYTES, BODY_BYTES - flow.written);
		for (i = 0; i < n; i++)
			buf[i] = pattern_byte(flow.written + i);
		unsent = http_call_write(flow.call, buf, n);
		flow.written += n;
		flow.client_unsent_max = MAX(flow.client_unsent_max, unsent);
	}
	if (flow.written == BODY_BYTES && !flow.ended) {
		flow.ended = 1;
		http_call_end_request(flow.call);
	}
}

static void
flow_head(void *ctx, const struct http_head *h)
{
	(void)ctx;
	ck_assert_int_eq(h->status, 200);
	ck_assert_int_eq(h->length, flow.length);
}

static void
flow_resume(void *ctx, int64_t now)
{
	(void)ctx;
	(void)now;
	http_call_pause(flow.call, 0);
}

static void
flow_body(void *ctx, const void *data, size_t n)
{
	const unsigned char *p = data;
	size_t i;

	(void)ctx;
	for (i = 0; i < n; i++)
		if (p[i] != pattern_byte(flow.read + i))
			ck_abort_msg("byte %zu is wrong", flow.read + i);
	flow.read += n;
	if (flow.abort_after || ++flow.pieces % PAUSE_EVERY)
		return;
	http_call_pause(flow.call, 1);
	flow.timer.fire = flow_resume;
	io_timer_set(bed.loop, &flow.timer, io_now(bed.loop) + PAUSE_US);
}

static void
flow_done(void *ctx)
{
	(void)ctx;
	flow.done = 1;
}

static void
flow_failed(void *ctx, const struct kq_error *err, int sent)
{
	(void)ctx;
	(void)err;
	flow.failed = 1;
	flow.sent = sent;
}

static void
flow_drained(void *ctx)
{
	(void)ctx;
	write_body();
}

static const struct http_call_ops flow_ops = {
	.head = flow_head,
	.body = flow_body,
	.done = flow_done,
	.failed = flow_failed,
	.drained = flow_drained,
};

static void
setup(void)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;

	bed_setup();
	bed_server_start(&limits, &echo_ops);
	memset(&flow, 0, sizeof flow);
}

static void
run_call(int64_t length, int abort_after)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_pool *p =
	    http_pool_new(bed.loop, "127.0.0.1", bed.port, 1, 0, &limits);
	int64_t until = bed_timeout_at() + BED_TIMEOUT_US;
	struct kq_error err;

	flow.length = length;
	flow.abort_after = abort_after;
	flow.call = http_call_start(p, "POST", "/", NULL, 0, length, 0,
	    &flow_ops, NULL, &err);
	ck_assert_ptr_nonnull(flow.call);
	write_body();
	while (!flow.done && !flow.failed)
		bed_step(until);
	io_timer_clear(bed.loop, &flow.timer);
	ck_assert_int_eq(http_pool_busy_connections(p), 0);
	ck_assert_int_eq(http_pool_connections(p), flow.done);
	http_pool_free(p);
}

START_TEST(large_body_to_a_slow_reader_needs_bounded_memory)
{
	run_call(_i ? HTTP_LENGTH_CHUNKED : BODY_BYTES, 0);
	ck_assert_int_eq(flow.done, 1);
	ck_assert_uint_eq(flow.read, BODY_BYTES);
	ck_assert_uint_gt(flow.client_unsent_max, UNSENT_MAX);
	ck_assert_uint_gt(flow.server_unsent_max, UNSENT_MAX);
	ck_assert_uint_le(flow.client_unsent_max, UNSENT_MAX + READ_MAX);
	ck_assert_uint_le(flow.server_unsent_max, UNSENT_MAX + 2 * READ_MAX);
	ck_assert_int_eq(bed.nfailed, 0);
}
END_TEST

START_TEST(aborted_response_fails)
{
	run_call(_i ? HTTP_LENGTH_CHUNKED : BODY_BYTES, 5);
	ck_assert_int_eq(flow.failed, 1);
	ck_assert_int_eq(flow.sent, 1);
	ck_assert_uint_lt(flow.read, BODY_BYTES);
	bed_wait_closed();
}
END_TEST

START_TEST(closing_caller_fails_its_unfinished_exchange)
{
	static const char text[] = "POST / HTTP/1.1\r\nContent-Length: 9\r\n"
				   "\r\nabc";
	int fd = io_connect_tcp("127.0.0.1", bed.port);
	int64_t until = bed_timeout_at();
	char buf[512];

	while (send(fd, text, sizeof text - 1, MSG_NOSIGNAL) < 0)
		bed_step(until);
	while (recv(fd, buf, sizeof buf, MSG_DONTWAIT) < 0)
		bed_step(until);
	close(fd);
	while (!bed.nfailed)
		bed_step(until);
	bed_wait_closed();
	ck_assert_int_eq(bed.nfailed, 1);
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http_flow");

	tcase_add_checked_fixture(c, setup, bed_teardown);
	tcase_add_loop_test(c, large_body_to_a_slow_reader_needs_bounded_memory,
	    0, 2);
	tcase_add_loop_test(c, aborted_response_fails, 0, 2);
	tcase_add_test(c, closing_caller_fails_its_unfinished_exchange);
	return bed_run_suite("http_flow", c);
}
