#include "daemon/outbound/outbound.h"
#include "http_bed.h"

/* Bounds of an answer that is held until it is whole. */
#define CALL_MAX (512 << 10) /* bytes of one answer */
#define SUM_MAX (16 << 20) /* bytes of all answers */
#define UNKNOWN_US 1000000 /* an answer of unknown length */

#define LATE_US 3000000 /* more than that time on a busy machine */

#define PIECE_BYTES 65536 /* written at once */
#define PIECES 16 /* of a whole answer */
#define PIECES_HELD 7 /* less than CALL_MAX with the head */
#define SUM_HOLDS (SUM_MAX / (PIECES_HELD * PIECE_BYTES))
#define CALLERS 40 /* more than SUM_HOLDS */
#define BODY_BYTE '#' /* in no head */
#define ASKED 2 /* requests of a caller, sent at once */

struct caller {
	GString *in;
	struct out_call call[ASKED];
	int fd;
	int nasked; /* requests that the server has read */
};

static struct http_limits limits = HTTP_LIMITS_DEFAULT;
static struct data data;
static struct caller callers[CALLERS];
static int ncaller;
static char piece[PIECE_BYTES];

int64_t
data_now(const struct data *d)
{
	return io_now(d->task.loop);
}

void
outbound_drained(void *ctx, struct http_exchange *x)
{
	(void)ctx;
	(void)x;
}

/* The path is the caller's number. */
static void
on_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	struct caller *p = &callers[strtol(h->path + 1, NULL, 10)];
	struct out_call *c = &p->call[p->nasked++];

	(void)ctx;
	c->data = &data;
	c->exchange = x;
	http_exchange_set_ctx(x, c);
}

static void
on_body(void *ctx, struct http_exchange *x, const void *p, size_t n)
{
	(void)ctx;
	(void)x;
	(void)p;
	(void)n;
}

static void
on_end(void *ctx, struct http_exchange *x)
{
	(void)ctx;
	(void)x;
}

static void
on_turn(void *ctx, struct http_exchange *x)
{
	struct out_call *c = http_exchange_ctx(x);

	(void)ctx;
	if (c->state == OUT_ANSWERING)
		outbound_hold_turn(c);
}

static void
on_failed(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	(void)ctx;
	(void)err;
	outbound_hold_end(http_exchange_ctx(x));
	bed.nfailed++;
}

static const struct http_server_ops ops = {
	.request = on_request,
	.body = on_body,
	.end = on_end,
	.drained = outbound_drained,
	.became_first = on_turn,
	.failed = on_failed,
};

static void
setup(void)
{
	bed_setup();
	memset(&data, 0, sizeof data);
	data.task.loop = bed.loop;
	memset(callers, 0, sizeof callers);
	ncaller = 0;
	memset(piece, BODY_BYTE, sizeof piece);
	bed_server_start(&limits, &ops);
}

static void
teardown(void)
{
	int i;

	for (i = 0; i < ncaller; i++) {
		close(callers[i].fd);
		g_string_free(callers[i].in, TRUE);
	}
	bed_teardown();
}

static void
step(void)
{
	char b[PIECE_BYTES];
	ssize_t n;
	int i;

	bed_step(bed_timeout_at());
	for (i = 0; i < ncaller; i++) {
		n = recv(callers[i].fd, b, sizeof b, MSG_DONTWAIT);
		if (n > 0)
			g_string_append_len(callers[i].in, b, n);
	}
}

static void
run_until(int64_t end)
{
	while (io_clock() < end)
		step();
}

/* Connects a caller that sends ASKED requests at once. */
static struct caller *
caller_open(void)
{
	struct caller *p = &callers[ncaller];
	int64_t until = bed_timeout_at();
	GString *t = g_string_new(NULL);
	int i;

	for (i = 0; i < ASKED; i++)
		g_string_append_printf(t, "GET /%d HTTP/1.1\r\n\r\n", ncaller);
	p->fd = io_connect_tcp("127.0.0.1", bed.port);
	ck_assert_int_ge(p->fd, 0);
	p->in = g_string_new(NULL);
	ncaller++;
	while (send(p->fd, t->str, t->len, MSG_NOSIGNAL) < 0)
		bed_step(until);
	while (p->nasked < ASKED) {
		ck_assert_int_lt(io_clock(), until);
		step();
	}
	g_string_free(t, TRUE);
	return p;
}

static void
answer_begin(struct out_call *c, int64_t length)
{
	c->state = OUT_ANSWERING;
	outbound_hold_begin(c, length);
	http_exchange_write_head(c->exchange, 200, NULL, 0, length);
}

static void
answer_pieces(struct out_call *c, int n)
{
	while (n-- > 0) {
		outbound_hold_body(c,
		    http_exchange_write(c->exchange, piece, sizeof piece));
		ck_assert_int_le(data.held_bytes, SUM_MAX);
		step();
	}
}

static void
answer_end(struct out_call *c)
{
	http_exchange_end(c->exchange);
	outbound_hold_end(c);
}

static void
answer_whole(struct out_call *c)
{
	answer_begin(c, PIECES * PIECE_BYTES);
	answer_pieces(c, PIECES);
	answer_end(c);
}

/* Reads until all bodies have come whole. */
static void
expect_whole(const struct caller *p)
{
	int64_t until = bed_timeout_at();
	size_t i, n;

	do {
		ck_assert_int_lt(io_clock(), until);
		step();
		for (i = n = 0; i < p->in->len; i++)
			n += p->in->str[i] == BODY_BYTE;
	} while (n < (size_t)ASKED * PIECES * PIECE_BYTES);
	ck_assert_uint_eq(n, (size_t)ASKED * PIECES * PIECE_BYTES);
	for (i = n = 0; i < p->in->len; i++)
		n += !strncmp(p->in->str + i, "HTTP/1.1 200", 12);
	ck_assert_uint_eq(n, ASKED);
	ck_assert_int_eq(bed.nfailed, 0);
}

/* 0: the answer that is sent now, 1: one that waits for its turn. */
START_TEST(one_answer_is_held_up_to_its_bound)
{
	struct caller *p = caller_open();
	struct out_call *c = &p->call[_i];

	answer_begin(c, PIECES * PIECE_BYTES);
	answer_pieces(c, PIECES_HELD);
	run_until(io_clock() + 2 * UNKNOWN_US);
	ck_assert_uint_eq(p->in->len, 0);
	ck_assert_int_eq(c->hold.on, 1);
	ck_assert_int_gt(data.held_bytes, PIECES_HELD * PIECE_BYTES);
	answer_pieces(c, CALL_MAX / PIECE_BYTES - PIECES_HELD);
	ck_assert_int_eq(c->hold.on, 0);
	ck_assert_int_eq(data.held_bytes, 0);
	run_until(io_clock() + BED_QUIET_US);
	ck_assert_int_eq(p->in->len > 0, _i == 0);
	answer_pieces(c, PIECES - CALL_MAX / PIECE_BYTES);
	answer_end(c);
	answer_whole(&p->call[!_i]);
	expect_whole(p);
	ck_assert_int_eq(data.held_bytes, 0);
}
END_TEST

START_TEST(all_answers_are_held_up_to_their_bound)
{
	int i;

	for (i = 0; i < CALLERS; i++) {
		caller_open();
		answer_begin(&callers[i].call[0], PIECES * PIECE_BYTES);
		answer_pieces(&callers[i].call[0], PIECES_HELD);
	}
	run_until(io_clock() + BED_QUIET_US);
	for (i = 0; i < CALLERS; i++) {
		ck_assert_int_eq(callers[i].call[0].hold.on, i < SUM_HOLDS);
		ck_assert_int_eq(callers[i].in->len == 0, i < SUM_HOLDS);
	}
	for (i = 0; i < CALLERS; i++) {
		answer_pieces(&callers[i].call[0], PIECES - PIECES_HELD);
		answer_end(&callers[i].call[0]);
		answer_whole(&callers[i].call[1]);
	}
	for (i = 0; i < CALLERS; i++)
		expect_whole(&callers[i]);
	ck_assert_int_eq(data.held_bytes, 0);
}
END_TEST

START_TEST(an_answer_of_unknown_length_is_held_for_its_time)
{
	struct caller *p = caller_open();
	struct out_call *c = &p->call[0];
	int64_t began = io_clock();

	answer_begin(c, HTTP_LENGTH_CHUNKED);
	answer_pieces(c, 1);
	while (!p->in->len) {
		ck_assert_int_lt(io_clock() - began, LATE_US);
		ck_assert_int_eq(c->hold.on, 1);
		run_until(io_clock() + 1);
	}
	ck_assert_int_ge(io_clock() - began, UNKNOWN_US);
	ck_assert_int_eq(c->hold.on, 0);
	ck_assert_int_eq(data.held_bytes, 0);
	answer_pieces(c, PIECES - 1);
	answer_end(c);
	answer_whole(&p->call[1]);
	expect_whole(p);
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("hold");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c, one_answer_is_held_up_to_its_bound, 0, 2);
	tcase_add_test(c, all_answers_are_held_up_to_their_bound);
	tcase_add_test(c, an_answer_of_unknown_length_is_held_for_its_time);
	return bed_run_suite("hold", c);
}
