#include "http_bed.h"

#define EXCHANGES_MAX 8
#define HALF_CLOSED_US 600000 /* from a half-close to the responses */
#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"
#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
#define PIECES 6 /* of a response, 100 ms apart */
#define GONE_US 500000 /* work for a caller that has left ends by then */

/* A server that defers its responses and ends its exchanges in the order of a
 * script: a letter responds to the request whose path is that letter, "!"
 * before the letter aborts the exchange. */
static struct {
	struct http_exchange *exchange[EXCHANGES_MAX]; /* NULL when it ended */
	char name[EXCHANGES_MAX]; /* letters of the paths */
	int n;
	/* "a" request a was read, "a<" read behind others, "a^" is the first
	 * now, "a-" failed */
	GString *events;
} deferred;

static int
exchange_index(const struct http_exchange *x)
{
	int i;

	for (i = 0; i < deferred.n; i++)
		if (deferred.exchange[i] == x)
			return i;
	return -1;
}

static void
deferred_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	deferred.name[deferred.n] = h->path[1];
	deferred.exchange[deferred.n++] = x;
	g_string_append_printf(deferred.events, "%c%s ", h->path[1],
	    http_exchange_has_predecessor(x) ? "<" : "");
}

static void
deferred_body(void *ctx, struct http_exchange *x, const void *data, size_t n)
{
}

static void
deferred_end(void *ctx, struct http_exchange *x)
{
}

static void
deferred_first(void *ctx, struct http_exchange *x)
{
	g_string_append_printf(deferred.events, "%c^ ",
	    deferred.name[exchange_index(x)]);
}

static void
deferred_failed(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	int i = exchange_index(x);

	g_string_append_printf(deferred.events, "%c- ", deferred.name[i]);
	deferred.exchange[i] = NULL;
}

static const struct http_server_ops deferred_ops = {
	.request = deferred_request,
	.body = deferred_body,
	.end = deferred_end,
	.became_first = deferred_first,
	.failed = deferred_failed,
};

static void
finish_exchange(char name, char action)
{
	int i;

	for (i = 0; i < deferred.n; i++) {
		struct http_exchange *x = deferred.exchange[i];

		if (!x || deferred.name[i] != name)
			continue;
		deferred.exchange[i] = NULL;
		if (action == '!') {
			http_exchange_abort(x);
			return;
		}
		http_exchange_write_head(x, 200, NULL, 0, 1);
		http_exchange_write(x, &name, 1);
		http_exchange_end(x);
		return;
	}
}

static void
run_script(const char *script)
{
	char action = 0;

	for (; *script; script++) {
		if (*script == '!') {
			action = *script;
			continue;
		}
		finish_exchange(*script, action);
		action = 0;
	}
}

static const struct pipeline_case {
	const char *name;
	/* one letter for each request: a capital is a POST, a letter before "."
	 * has "Connection: close" */
	const char *requests;
	const char *script;
	const char *events; /* after the last step */
	const char *bodies; /* letters received as response bodies, in order */
} pipeline_cases[] = {
	{ "responses go out in the order of the requests", "abc", "cba",
	    "a b< c< ", "abc" },
	{ "a response is sent after the one before it", "ab", "b", "a b< ",
	    "" },
	{ "a request behind a POST is read after its response", "Ab", "Ab",
	    "A b ", "Ab" },
	{ "a POST behind a GET is read at once and becomes first", "aB", "aB",
	    "a B< B^ ", "aB" },
	/* "t" is the first letter of the server's own answer */
	{ "an aborted response is answered and leaves the one behind it", "abc",
	    "a!bc", "a b< c< b^ c^ ", "atc" },
	{ "an abort behind others is answered in its turn", "abc", "!bca",
	    "a b< c< ", "atc" },
	{ "no request is read behind one with Connection: close", "ab.c", "ba",
	    "a b< ", "ab" },
};

/* Text of the requests that @letters stand for, see struct pipeline_case. */
static GString *
request_text(const char *letters)
{
	GString *t = g_string_new(NULL);

	for (; *letters; letters++) {
		int post = g_ascii_isupper(*letters);

		g_string_append_printf(t, "%s /%c HTTP/1.1\r\n%s%s\r\n",
		    post ? "POST" : "GET", *letters,
		    post ? "Content-Length: 0\r\n" : "",
		    letters[1] == '.' ? "Connection: close\r\n" : "");
		if (letters[1] == '.')
			letters++;
	}
	return t;
}

/* Runs the server for BED_QUIET_US. */
static void
run_quiet(void)
{
	int64_t until = io_clock() + BED_QUIET_US;

	while (io_clock() < until)
		bed_step(bed_timeout_at());
}

/* Letters received as bodies of responses. */
static char *
read_bodies(int fd)
{
	GString *b = g_string_new(NULL);
	char buf[8192], *p;
	ssize_t n = recv(fd, buf, sizeof buf - 1, MSG_DONTWAIT);

	buf[n > 0 ? n : 0] = '\0';
	for (p = buf; (p = strstr(p, "\r\n\r\n")); p += 4)
		if (p[4])
			g_string_append_c(b, p[4]);
	return g_string_free(b, FALSE);
}

START_TEST(pipelined_responses_go_out_in_order)
{
	const struct pipeline_case *c = &pipeline_cases[_i];
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	GString *t = request_text(c->requests);
	int fd;
	char *got;

	memset(&deferred, 0, sizeof deferred);
	deferred.events = g_string_new(NULL);
	bed_setup();
	bed_server_start(&limits, &deferred_ops);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	run_quiet();
	ck_assert_int_eq(send(fd, t->str, t->len, MSG_NOSIGNAL), t->len);
	run_quiet();
	for (const char *s = c->script; *s;) {
		char step[3] = { *s++, 0, 0 };

		if (step[0] == '!')
			step[1] = *s++;
		run_script(step);
		run_quiet();
	}
	got = read_bodies(fd);
	ck_assert_msg(!strcmp(deferred.events->str, c->events), "%s: \"%s\"",
	    c->name, deferred.events->str);
	ck_assert_msg(!strcmp(got, c->bodies), "%s: bodies \"%s\"", c->name,
	    got);
	g_free(got);
	close(fd);
	bed_teardown();
	g_string_free(deferred.events, TRUE);
	g_string_free(t, TRUE);
}
END_TEST

/* Reads what came, so that the socket is not reset when it is closed. */
static void
drop_input(int fd)
{
	char b[256];

	while (recv(fd, b, sizeof b, MSG_DONTWAIT) > 0)
		;
}

/* Reads until the server closes. */
static void
read_all(int fd, GString *got)
{
	int64_t until = bed_timeout_at();
	char b[256];
	ssize_t n;

	for (;;) {
		n = recv(fd, b, sizeof b, MSG_DONTWAIT);
		if (n == 0)
			return;
		if (n > 0)
			g_string_append_len(got, b, n);
		else
			bed_step(until);
	}
}

/* How a caller ends its connection: its sending side first or both at once, in
 * the middle of a further request, behind one that is not read yet or behind
 * one that is malformed, or not. Every exchange fails then, within the time for
 * which work may go on for a caller that has left. */
#define WAITING \
	"POST /d HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET /e HTTP/1.1\r\n\r\n"
static const struct {
	int half_first;
	const char *more; /* sent behind the requests */
	const char *read; /* events before the end */
	const char *failed; /* events of the end */
} closings[] = {
	{ 0, "", "a b< c< ", "a- b- c- " },
	{ 1, "", "a b< c< ", "a- b- c- " },
	{ 0, "GET /d HT", "a b< c< ", "a- b- c- " },
	{ 1, "GET /d HT", "a b< c< ", "a- b- c- " },
	{ 0, WAITING, "a b< c< d< ", "a- b- c- d- " },
	{ 1, WAITING, "a b< c< d< ", "a- b- c- d- " },
	{ 0, "FETCH / HTTP/1.1\r\n\r\n", "a b< c< ", "a- b- c- " },
	{ 1, "FETCH / HTTP/1.1\r\n\r\n", "a b< c< ", "a- b- c- " },
};

START_TEST(closing_caller_fails_all_its_exchanges)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	GString *t = request_text("abc");
	int64_t until;
	int fd;

	g_string_append(t, closings[_i / 2].more);
	memset(&deferred, 0, sizeof deferred);
	limits.eof_cancels = _i % 2;
	deferred.events = g_string_new(NULL);
	bed_setup();
	bed_server_start(&limits, &deferred_ops);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	run_quiet();
	ck_assert_int_eq(send(fd, t->str, t->len, MSG_NOSIGNAL), t->len);
	run_quiet();
	ck_assert_str_eq(deferred.events->str, closings[_i / 2].read);
	if (closings[_i / 2].half_first) {
		shutdown(fd, SHUT_WR);
		run_quiet();
		ck_assert_str_eq(deferred.events->str, closings[_i / 2].read);
		drop_input(fd);
	}
	close(fd);
	until =
	    io_clock() + (closings[_i / 2].half_first ? GONE_US : BED_QUIET_US);
	while (http_server_connections(bed.server))
		bed_step(until);
	ck_assert_str_eq(deferred.events->str + strlen(closings[_i / 2].read),
	    closings[_i / 2].failed);
	bed_teardown();
	g_string_free(deferred.events, TRUE);
	g_string_free(t, TRUE);
}
END_TEST

/* An HTTP/1.0 caller can't be probed: it is answered, or taken for gone. */
START_TEST(http10_caller_that_half_closes)
{
	static const char request[] = "GET /a HTTP/1.0\r\n\r\n";
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	int fd;

	memset(&deferred, 0, sizeof deferred);
	deferred.events = g_string_new(NULL);
	limits.eof_cancels = _i;
	bed_setup();
	bed_server_start(&limits, &deferred_ops);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	run_quiet();
	ck_assert_int_eq(send(fd, request, sizeof request - 1, MSG_NOSIGNAL),
	    sizeof request - 1);
	shutdown(fd, SHUT_WR);
	run_quiet();
	ck_assert_str_eq(deferred.events->str, _i ? "a a- " : "a ");
	close(fd);
	bed_teardown();
	g_string_free(deferred.events, TRUE);
}
END_TEST

/* A response has begun as its caller half-closes: it goes on, unless it stands
 * still from then on for a caller that may have left. */
static const struct {
	int eof_cancels;
	int pieces; /* sent after the end of the caller's sending side */
	const char *events;
} begun[] = {
	{ 0, 0, "a " },
	{ 1, 0, "a a- " },
	{ 0, PIECES, "a " },
	{ 1, PIECES, "a " },
};

START_TEST(begun_response_of_a_caller_that_half_closes)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	GString *t = request_text("a");
	int64_t end;
	int fd, i;

	memset(&deferred, 0, sizeof deferred);
	deferred.events = g_string_new(NULL);
	limits.eof_cancels = begun[_i].eof_cancels;
	bed_setup();
	bed_server_start(&limits, &deferred_ops);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	run_quiet();
	ck_assert_int_eq(send(fd, t->str, t->len, MSG_NOSIGNAL), t->len);
	run_quiet();
	http_exchange_write_head(deferred.exchange[0], 200, NULL, 0,
	    HTTP_LENGTH_CHUNKED);
	http_exchange_write(deferred.exchange[0], "a", 1);
	shutdown(fd, SHUT_WR);
	for (i = 0; i < begun[_i].pieces; i++) {
		run_quiet();
		run_quiet();
		ck_assert_str_eq(deferred.events->str, "a ");
		http_exchange_write(deferred.exchange[0], "a", 1);
	}
	for (end = io_clock() + GONE_US; io_clock() < end;)
		bed_step(end + BED_TIMEOUT_US);
	ck_assert_str_eq(deferred.events->str, begun[_i].events);
	close(fd);
	bed_teardown();
	g_string_free(deferred.events, TRUE);
	g_string_free(t, TRUE);
}
END_TEST

/* Interim responses come before the first response only, whole, also if that is
 * held back; all responses follow. */
START_TEST(responses_to_a_caller_that_half_closes)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	GString *t = request_text("abc"), *got = g_string_new(NULL);
	int64_t end;
	int fd, i;

	memset(&deferred, 0, sizeof deferred);
	deferred.events = g_string_new(NULL);
	limits.eof_cancels = _i / 2;
	bed_setup();
	bed_server_start(&limits, &deferred_ops);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	run_quiet();
	ck_assert_int_eq(send(fd, t->str, t->len, MSG_NOSIGNAL), t->len);
	shutdown(fd, SHUT_WR);
	run_quiet();
	if (_i % 2)
		http_exchange_hold(deferred.exchange[0]);
	if (_i % 2)
		http_exchange_write_head(deferred.exchange[0], 200, NULL, 0, 1);
	for (end = io_clock() + HALF_CLOSED_US; io_clock() < end;)
		bed_step(end + BED_TIMEOUT_US);
	for (i = 0; i < 3; i++) {
		if (i || !(_i % 2))
			http_exchange_write_head(deferred.exchange[i], 200,
			    NULL, 0, 1);
		http_exchange_write(deferred.exchange[i], "abc" + i, 1);
		http_exchange_end(deferred.exchange[i]);
	}
	read_all(fd, got);
	ck_assert_str_eq(got->str,
	    INTERIM INTERIM INTERIM RESPONSE "a" RESPONSE "b" RESPONSE "c");
	close(fd);
	bed_teardown();
	g_string_free(deferred.events, TRUE);
	g_string_free(got, TRUE);
	g_string_free(t, TRUE);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("http_pipeline");
	TCase *c = tcase_create("http_pipeline");
	SRunner *r;
	int failed;

	tcase_set_timeout(c, 30);
	tcase_add_loop_test(c, pipelined_responses_go_out_in_order, 0,
	    sizeof pipeline_cases / sizeof *pipeline_cases);
	tcase_add_loop_test(c, closing_caller_fails_all_its_exchanges, 0,
	    2 * sizeof closings / sizeof *closings);
	tcase_add_loop_test(c, http10_caller_that_half_closes, 0, 2);
	tcase_add_loop_test(c, begun_response_of_a_caller_that_half_closes, 0,
	    sizeof begun / sizeof *begun);
	tcase_add_loop_test(c, responses_to_a_caller_that_half_closes, 0, 4);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
