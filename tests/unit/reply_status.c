#include "daemon/outbound/outbound.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define XID 7

/* Statuses in the replies of other daemons; what the call does with a reply is
 * counted. */

static const uint32_t odd_statuses[] = { 0, 1, 2, 99, 100, 101, 103, 199, 600,
	601, 999, 1000, 65536 + 200, 0x7fffffff, 0x80000000, 0xffffffff };
#define ODD_STATUSES ((int)(sizeof odd_statuses / sizeof *odd_statuses))

static struct data data;
static struct view view;
static struct dialect dialect;
static struct out_service service;
static struct out_peer peer;
static struct out_call call;
static int heads; /* written to the caller */
static int written; /* bytes of a body */
static int status; /* of the last head */
static int lost; /* attempts that may have run */
static int refused; /* attempts that did not run */

int64_t
data_now(const struct data *d)
{
	(void)d;
	return 1;
}

int
data_may_run_ahead(const struct data *d, size_t unsent)
{
	(void)d;
	(void)unsent;
	return 0;
}

int
data_may_take_answers(const struct data *d)
{
	(void)d;
	return 0;
}

void *
peer_ctx(const struct peer_conn *c)
{
	(void)c;
	return &peer;
}

int
peer_send_credit(struct peer_conn *c, struct wire_credit *m)
{
	(void)c;
	(void)m;
	return 0;
}

void
http_exchange_write_head(struct http_exchange *x, int s,
    const struct http_field *f, int nfield, int64_t length)
{
	(void)x;
	(void)f;
	(void)nfield;
	(void)length;
	heads++;
	status = s;
}

size_t
http_exchange_write(struct http_exchange *x, const void *p, size_t n)
{
	(void)x;
	(void)p;
	written += (int)n;
	return 0;
}

void
http_exchange_end(struct http_exchange *x)
{
	(void)x;
}

int
http_exchange_has_predecessor(const struct http_exchange *x)
{
	(void)x;
	return 0;
}

struct http_exchange *
http_exchange_next(const struct http_exchange *x)
{
	(void)x;
	return NULL;
}

size_t
http_exchange_unsent(struct http_exchange *x, struct byte_limit *b)
{
	(void)x;
	(void)b;
	return 0;
}

void *
http_exchange_ctx(const struct http_exchange *x)
{
	(void)x;
	return &call;
}

void
outbound_attempt_failed(struct out_attempt *a, enum retry_cause cause)
{
	(void)cause;
	lost++;
	outbound_attempt_clear(a);
}

void
outbound_attempt_refused(struct out_attempt *a, uint32_t reason,
    const struct load_report *load)
{
	(void)reason;
	(void)load;
	refused++;
	outbound_attempt_clear(a);
}

void
outbound_attempt_clear(struct out_attempt *a)
{
	g_hash_table_remove(peer.attempts, GUINT_TO_POINTER(a->xid));
	a->state = ATTEMPT_UNUSED;
}

void
outbound_attempt_cancel(struct out_attempt *a, const char *why)
{
	(void)a;
	(void)why;
}

void
outbound_attempt_reached(struct out_attempt *a)
{
	(void)a;
}

int
outbound_start_paid(struct out_call *c)
{
	(void)c;
	return -1;
}

void
outbound_call_free(struct out_call *c)
{
	(void)c;
}

void
outbound_hold_begin(struct out_call *c, int64_t length)
{
	(void)c;
	(void)length;
}

size_t
outbound_hold_body(struct out_call *c, size_t unsent)
{
	(void)c;
	return unsent;
}

void
outbound_log_attempt(const struct out_attempt *a, const char *outcome, int s,
    const struct load_report *load)
{
	(void)a;
	(void)outcome;
	(void)s;
	(void)load;
}

void
outbound_trace_attempt(struct out_attempt *a, const char *outcome, int s)
{
	(void)a;
	(void)outcome;
	(void)s;
}

void
pick_done(struct pick *p, uint32_t handle, int64_t now, int64_t latency_us,
    enum pick_outcome o, const struct load_report *load)
{
	(void)p;
	(void)handle;
	(void)now;
	(void)latency_us;
	(void)o;
	(void)load;
}

static void
setup(void)
{
	static struct answer_time t;

	data.view = &view;
	data.dialect = &dialect;
	memset(&call, 0, sizeof call);
	memset(&peer, 0, sizeof peer);
	peer.data = &data;
	peer.attempts = g_hash_table_new(NULL, NULL);
	call.data = &data;
	call.service = &service;
	call.time = &t;
	call.attempt[0] = (struct out_attempt){ .call = &call,
		.peer = &peer,
		.state = ATTEMPT_SENT,
		.xid = XID };
	g_hash_table_insert(peer.attempts, GUINT_TO_POINTER(XID),
	    &call.attempt[0]);
	heads = written = status = lost = refused = 0;
}

static void
teardown(void)
{
	g_hash_table_unref(peer.attempts);
}

static void
reply(uint32_t outcome, uint32_t flags, uint32_t s)
{
	static struct wire_reply m;

	memset(&m, 0, sizeof m);
	m.outcome = outcome;
	m.flags = flags;
	m.status = s;
	m.length = 2;
	m.body = "ok";
	m.body_len = 2;
	outbound_reply(NULL, NULL, XID, &m);
}

START_TEST(reply_without_a_final_status_is_no_answer)
{
	uint32_t outcome = _i % 2 ? WIRE_KEPT : WIRE_ANSWER;
	uint32_t flags = _i / 2 % 2 ? WIRE_REPLY_MORE : 0;
	struct wire_body rest = { XID, WIRE_BODY_LAST | WIRE_BODY_ANSWER, "ok",
		2 };

	reply(outcome, flags, odd_statuses[_i / 4]);
	outbound_body(&peer, &rest);
	ck_assert_int_eq(heads, 0);
	ck_assert_int_eq(written, 0);
	ck_assert_int_eq(lost, 1);
	ck_assert_int_eq(refused, 0);
}
END_TEST

START_TEST(reply_with_a_final_status_is_an_answer)
{
	reply(_i % 2 ? WIRE_KEPT : WIRE_ANSWER, 0, (uint32_t)_i);
	ck_assert_int_eq(heads, 1);
	ck_assert_int_eq(status, _i);
	ck_assert_int_eq(written, 2);
	ck_assert_int_eq(lost + refused, 0);
}
END_TEST

START_TEST(reply_of_not_run_needs_no_status)
{
	reply(WIRE_NOT_RUN, 0, 0);
	ck_assert_int_eq(heads + lost, 0);
	ck_assert_int_eq(refused, 1);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("reply_status");
	TCase *c = tcase_create("reply_status");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c, reply_without_a_final_status_is_no_answer, 0,
	    4 * ODD_STATUSES);
	tcase_add_loop_test(c, reply_with_a_final_status_is_an_answer, 200,
	    600);
	tcase_add_test(c, reply_of_not_run_needs_no_status);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
