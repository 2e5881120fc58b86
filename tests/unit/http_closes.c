#include <stdint.h>

#include "http_bed.h"

/* How a caller's connection ends with requests on it or bytes to be sent, and
 * what the server reports of it. */

#define EXCHANGES_MAX 8
#define LARGE_BYTES (12 << 20) /* more than the sockets hold */
#define PIECE_BYTES 500 /* of a response that is begun and not ended */
#define DROPPED_BYTES 2000000 /* of a body, more than the server drops */
#define LATE_MS 100 /* head_ms and idle_ms of cases with a step "^" */
#define LATE_US 300000
#define FINISH_US 100000

/* Steps, separated by spaces:
 *   +...  the caller sends, for each character: a letter is the GET with that
 *         path; "0" a GET of /z in HTTP/1.0, "!" a malformed head, "(" a POST
 *         to /p in chunks with the first of them, "%" more of that body, "{" a
 *         malformed chunk of it, "&" the GET of /n, which gets no name, "#" the
 *         GET of /l, whose name is too long
 *   a     the server responds to /a with a byte; "a*" with LARGE_BYTES; "a+"
 *         with more bytes than announced; "a/" with a part of those announced
 *   >a    the request is passed on
 *   !a    the server aborts the exchange
 *   s     the server closes each connection after its next response
 *   m     the server ends the connection that holds most for the longest time
 *   f     the server is freed
 *   F     the server is finished, within FINISH_US
 *   =     the caller closes its sending side, "x" both, "R" with a reset
 *   ^     LATE_US go by
 * Between steps joined by a comma the server does not run. */
struct closes_case {
	const char *name;
	const char *script;
	int eof_cancels;
	/* who and how, requests and those of them in work, their states, "+" if
	 * bytes were not sent */
	const char *report;
};

static const struct closes_case closes_cases[] = {
	{ "a caller of HTTP/1.0 that half-closes", "+0 >z =", 1,
	    "daemon caller-eof 1/1 z/passed" },
	{ "a caller that half-closes as its response stands still",
	    "+ab >a a/ = ^", 1, "daemon caller-eof 2/2 a/begun,b/waiting" },
	{ "a caller that closes", "+ab >a >b x", 0,
	    "caller caller-closed 2/2 a/passed,b/passed" },
	{ "the same, where a half-close cancels", "+ab >a >b x", 1,
	    "caller caller-closed 2/2 a/passed,b/passed" },
	{ "a caller that half-closes, then closes", "+ab >a = x", 1,
	    "caller caller-closed 2/2 a/passed,b/waiting" },
	{ "a caller that half-closes, then resets", "+ab >a = R", 0,
	    "caller caller-closed 2/2 a/passed,b/waiting" },
	{ "a caller that resets", "+abc >a >b c R", 0,
	    "caller caller-reset 3/2 a/passed,b/passed,c/whole" },
	{ "a caller that resets within a response", "+a a/ R", 0,
	    "caller caller-reset 1/1 a/begun" },
	{ "a caller that resets, its response being sent", "+a a* R", 0,
	    "caller caller-reset 0/0 a/unsent+" },
	{ "the same with a request behind it", "+ab >b a* R", 0,
	    "caller caller-reset 1/1 a/unsent,b/passed+" },
	{ "the same, no other response following", "+a s a* R", 0,
	    "caller caller-reset 0/0 a/unsent+" },
	{ "the same as the server is finished", "+a a* R,F", 0,
	    "caller caller-reset 0/0 a/unsent+" },
	{ "a response that breaks off", "+abc >a >b c a/ !a", 0,
	    "daemon broken-response 3/1 a/broken,b/passed,c/whole" },
	{ "the same, then the caller resets", "+ab >a >b a/ !a,R", 0,
	    "daemon broken-response 2/1 a/broken,b/passed" },
	{ "the same, then the server is freed", "+ab >a >b a/ !a f", 0,
	    "daemon broken-response 2/1 a/broken,b/passed" },
	{ "a response after which no other may come", "+abc >b c a+", 0,
	    "daemon closing-response 2/1 b/passed,c/whole" },
	{ "a malformed body whose response has begun", "+( >p p/ +{", 0,
	    "daemon bad-request 1/1 p/begun" },
	{ "a late body whose response has begun", "+( >p p/ ^", 0,
	    "daemon slow-request 1/1 p/begun" },
	{ "a caller that does not read", "+ab >b a* ^ ^", 0,
	    "daemon slow-reader 1/1 a/unsent,b/passed+" },
	{ "a caller that does not read as memory is short", "+ab >b a* m", 0,
	    "daemon memory 1/1 a/unsent,b/passed+" },
	{ "the same, its last response being sent", "+a a* m", 0,
	    "daemon memory 0/0 a/unsent+" },
	{ "the end of the server", "+ab >a f", 0,
	    "daemon server-end 2/2 a/passed,b/waiting" },
	{ "the same behind a malformed head", "+a! >a f", 0,
	    "daemon server-end 2/1 a/passed,none/whole" },
	{ "the same, a body having gone on after its large response",
	    "+( p* +% f", 0, "daemon server-end 0/0 p/unsent+" },
	{ "names: none, and one that is too long", "+&# >l f", 0,
	    "daemon server-end 2/2 none/waiting,"
	    "lllllllllllllllllllllllllllllll"
	    "llllllllllllllllllllllllllllllll/passed" },
};

static struct {
	struct http_exchange *exchange[EXCHANGES_MAX]; /* NULL when it ended */
	char name[EXCHANGES_MAX]; /* letters of the paths */
	int n;
	int nfailed;
	enum http_end_cause failed; /* cause that the last of them got */
	int fd; /* of the caller, -1 once it is closed */
	GString *report;
	char *large;
} run;

/* ---- server ---- */

static void
on_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	char name[HTTP_NAME_BYTES + 2] = { h->path[1] };

	ck_assert_int_lt(run.n, EXCHANGES_MAX);
	run.name[run.n] = h->path[1];
	run.exchange[run.n++] = x;
	if (name[0] == 'l')
		memset(name, 'l', sizeof name - 1);
	if (name[0] != 'n')
		http_exchange_set_name(x, name);
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
	int i;

	run.nfailed++;
	run.failed = http_exchange_end_cause(x);
	for (i = 0; i < run.n; i++)
		if (run.exchange[i] == x)
			run.exchange[i] = NULL;
}

static void
on_ended(void *ctx, const struct http_conn_end *e)
{
	ck_assert_int_eq(run.nfailed, e->open);
	if (run.nfailed)
		ck_assert_int_eq(run.failed, e->cause);
	ck_assert_str_ne(e->reason, "");
	ck_assert_uint_eq(e->number, 1);
	g_string_append_printf(run.report, "%s%s %s %d/%d %s%s",
	    run.report->len ? "; " : "",
	    http_end_by_caller(e->cause) ? "caller" : "daemon",
	    http_end_cause_name(e->cause), e->exchanges, e->open, e->requests,
	    e->unsent ? "+" : "");
}

static const struct http_server_ops closes_ops = {
	.request = on_request,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
	.ended = on_ended,
};

static struct http_exchange *
take_exchange(char name, int ends)
{
	struct http_exchange *x;
	int i;

	for (i = 0; i < run.n; i++) {
		x = run.exchange[i];
		if (!x || run.name[i] != name)
			continue;
		if (ends)
			run.exchange[i] = NULL;
		return x;
	}
	ck_abort_msg("no exchange %c", name);
}

static void
respond(char name, char how)
{
	struct http_exchange *x = take_exchange(name, how != '/');
	size_t n = 1;

	if (how)
		n = how == '*' ? LARGE_BYTES : PIECE_BYTES;
	http_exchange_write_head(x, 200, NULL, 0,
	    how == '/' ? PIECE_BYTES * 2 : (int64_t)(how == '+' ? 1 : n));
	http_exchange_write(x, run.large, n);
	if (how != '/')
		http_exchange_end(x);
}

/* ---- caller ---- */

static void
send_all(const char *p, size_t n)
{
	int64_t until = bed_timeout_at();
	ssize_t r;

	while (n > 0) {
		r = send(run.fd, p, n, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (r < 0 && errno != EAGAIN)
			return; /* the server reads no more */
		if (io_clock() > until - BED_TIMEOUT_US + LATE_US)
			return;
		p += r > 0 ? r : 0;
		n -= r > 0 ? (size_t)r : 0;
		bed_step(until);
	}
}

static void
send_item(char item)
{
	GString *t = g_string_new(NULL);

	if (item == '0')
		g_string_append(t, "GET /z HTTP/1.0\r\n\r\n");
	else if (item == '!')
		g_string_append(t, "FETCH / HTTP/1.1\r\n\r\n");
	else if (item == '(')
		g_string_append(t,
		    "POST /p HTTP/1.1\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
	else if (item == '{')
		g_string_append(t, "zz\r\n");
	else if (item == '%') {
		g_string_printf(t, "%x\r\n", DROPPED_BYTES);
		g_string_set_size(t, t->len + DROPPED_BYTES);
	} else {
		if (item == '&' || item == '#')
			item = item == '&' ? 'n' : 'l';
		g_string_printf(t, "GET /%c HTTP/1.1\r\n\r\n", item);
	}
	send_all(t->str, t->len);
	g_string_free(t, TRUE);
}

static void
close_caller(int reset)
{
	struct linger l = { 1, 0 };

	if (reset)
		setsockopt(run.fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
	close(run.fd);
	run.fd = -1;
}

/* ---- cases ---- */

static void
run_for(int64_t us)
{
	int64_t end = io_clock() + us;

	while (io_clock() < end)
		bed_step(end + BED_TIMEOUT_US);
}

static void
act(const char *s)
{
	switch (s[0]) {
	case '>':
		http_exchange_set_passed(take_exchange(s[1], 0));
		break;
	case '!':
		http_exchange_abort(take_exchange(s[1], 1));
		break;
	case 's':
		http_server_disable_keepalive(bed.server);
		break;
	case 'm':
		ck_assert(http_server_end_stalled(bed.server, INT64_MAX));
		break;
	case 'f':
		http_server_free(g_steal_pointer(&bed.server));
		break;
	case 'F':
		http_server_finish(bed.server, io_clock() + FINISH_US);
		break;
	case '=':
		shutdown(run.fd, SHUT_WR);
		break;
	case 'x':
	case 'R':
		close_caller(s[0] == 'R');
		break;
	case '^':
		run_for(LATE_US);
		break;
	default:
		respond(s[0], s[1]);
	}
}

static void
run_step(const char *step)
{
	char **part;
	int i;

	if (step[0] == '+') {
		for (i = 1; step[i]; i++)
			send_item(step[i]);
	} else {
		part = g_strsplit(step, ",", -1);
		for (i = 0; part[i]; i++)
			act(part[i]);
		g_strfreev(part);
	}
	run_for(BED_QUIET_US / 5);
}

static void
run_open(const struct closes_case *c)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;

	limits.eof_cancels = c->eof_cancels;
	if (strchr(c->script, '^'))
		limits.head_ms = limits.idle_ms = LATE_MS;
	memset(&run, 0, sizeof run);
	run.report = g_string_new(NULL);
	run.large = g_malloc0(LARGE_BYTES);
	bed_setup();
	bed_server_start(&limits, &closes_ops);
	run.fd = io_connect_tcp("127.0.0.1", bed.port);
	run_for(BED_QUIET_US / 5);
}

static void
run_close(void)
{
	bed_teardown();
	g_string_free(run.report, TRUE);
	g_free(run.large);
}

START_TEST(report_names_what_ended_a_connection)
{
	const struct closes_case *c = &closes_cases[_i];
	char **step = g_strsplit(c->script, " ", -1);
	int i;

	run_open(c);
	for (i = 0; step[i]; i++)
		run_step(step[i]);
	g_strfreev(step);
	if (run.fd >= 0)
		close_caller(0);
	if (bed.server)
		bed_wait_closed();
	ck_assert_msg(!strcmp(run.report->str, c->report), "%s: \"%s\"",
	    c->name, run.report->str);
	run_close();
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http_closes");

	tcase_add_loop_test(c, report_names_what_ended_a_connection, 0,
	    sizeof closes_cases / sizeof *closes_cases);
	return bed_run_suite("http_closes", c);
}
