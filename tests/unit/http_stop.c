#include <errno.h>
#include <pthread.h>

#include "http_bed.h"

/* A server stops while callers open connections as fast as they can: none that
 * was opened is closed without an answer to its request. */

#define CALLERS 6
#define ROUNDS 150
#define SERVE_US 3000 /* from the start of a round to the stop */
#define CONNECT_US 20000 /* a connection that takes longer is given up */

static const char request[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

struct callers {
	int port;
	int stop;
	int answered;
	int cut; /* connections that were opened and closed without an answer */
};

static struct callers callers;

/* Opens a connection and sends a request; returns 1 with an answer, 0 if the
 * connection could not be opened, -1 if it ended without an answer. */
static int
call_once(void)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	struct timeval timeout = { .tv_usec = CONNECT_US };
	int fd = socket(AF_INET, SOCK_STREAM, 0), r = -1;
	char b[512];

	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);

	a.sin_port = htons((uint16_t)g_atomic_int_get(&callers.port));
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&a, sizeof a) < 0)
		r = 0;
	else if (send(fd, request, sizeof request - 1, MSG_NOSIGNAL) > 0 &&
		 recv(fd, b, sizeof b, 0) > 0)
		r = 1;
	close(fd);
	return r;
}

static void *
run_caller(void *unused)
{
	int r;

	(void)unused;
	while (!g_atomic_int_get(&callers.stop)) {
		r = call_once();
		if (r == 1)
			g_atomic_int_inc(&callers.answered);
		else if (r == -1)
			g_atomic_int_inc(&callers.cut);
	}
	return NULL;
}

START_TEST(stop_cuts_no_connection_that_was_opened)
{
	const struct http_limits limits = HTTP_LIMITS_DEFAULT;
	pthread_t thread[CALLERS];
	int64_t until;
	int i;

	bed_setup();
	memset(&callers, 0, sizeof callers);
	for (i = 0; i < ROUNDS; i++) {
		bed.server = NULL;
		bed_server_start(&limits, &bed_ops);
		g_atomic_int_set(&callers.port, bed.port);
		if (!i) {
			int k;

			for (k = 0; k < CALLERS; k++)
				pthread_create(&thread[k], NULL, run_caller,
				    NULL);
		}
		for (until = io_clock() + SERVE_US; io_clock() < until;)
			bed_step(bed_timeout_at());
		http_server_disable_keepalive(bed.server);
		http_server_stop(bed.server);
		while (http_server_connections(bed.server) ||
		       http_server_is_listening(bed.server))
			bed_step(bed_timeout_at());
		http_server_free(bed.server);
	}
	g_atomic_int_set(&callers.stop, 1);
	for (i = 0; i < CALLERS; i++)
		pthread_join(thread[i], NULL);
	ck_assert_int_gt(callers.answered, ROUNDS);
	ck_assert_msg(callers.cut == 0, "%d of %d were cut", callers.cut,
	    callers.answered + callers.cut);
	bed.server = NULL;
	bed_teardown();
}
END_TEST

#define PIPELINED 3

static struct http_exchange *held[PIPELINED];
static int nheld;

static void
hold_request(void *ctx, struct http_exchange *x)
{
	(void)ctx;
	held[nheld++] = x;
}

/* Requests that were read behind others on their connection are answered, too,
 * and the last answer closes the connection. */
START_TEST(stop_answers_all_requests_that_were_read)
{
	const struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_server_ops ops = bed_ops;
	int64_t until = bed_timeout_at();
	char buf[2048] = "";
	size_t n = 0;
	int fd, i;

	bed_setup();
	ops.end = hold_request;
	nheld = 0;
	bed_server_start(&limits, &ops);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	for (i = 0; i < PIPELINED; i++)
		while (send(fd, request, sizeof request - 1, MSG_NOSIGNAL) < 0)
			bed_step(until);
	while (nheld < PIPELINED)
		bed_step(until);
	if (_i)
		http_server_disable_keepalive(bed.server);
	http_server_stop(bed.server);
	/* the last one first */
	for (i = PIPELINED; i-- > 0;)
		bed_respond(held[i]);
	while (!strstr(buf, "Connection: close")) {
		ssize_t got =
		    recv(fd, buf + n, sizeof buf - 1 - n, MSG_DONTWAIT);

		ck_assert_int_ne(got, 0);
		n += got > 0 ? (size_t)got : 0;
		bed_step(until);
	}
	ck_assert_int_eq(bed.nfailed, 0);
	for (i = 0, n = 0; strstr(buf + n, "200 OK"); i++)
		n = (size_t)(strstr(buf + n, "200 OK") - buf) + 1;
	ck_assert_int_eq(i, PIPELINED);
	close(fd);
	while (http_server_connections(bed.server))
		bed_step(until);
	http_server_free(bed.server);
	bed.server = NULL;
	bed_teardown();
}
END_TEST

#define LATE_BYTES 400000 /* of an answer that nobody reads yet */

/* Sends requests and responds to the first: the other one lies unread. */
static int
respond_unread(const struct http_server_ops *ops)
{
	const struct http_limits limits = HTTP_LIMITS_DEFAULT;
	int64_t until = bed_timeout_at();
	char *body = g_malloc0(LATE_BYTES);
	int fd;

	nheld = 0;
	bed_server_start(&limits, ops);
	http_server_disable_keepalive(bed.server);
	fd = io_connect_tcp("127.0.0.1", bed.port);
	while (send(fd, request, sizeof request - 1, MSG_NOSIGNAL) < 0)
		bed_step(until);
	while (!nheld)
		bed_step(until);
	http_exchange_write_head(held[0], 200, NULL, 0, LATE_BYTES);
	http_exchange_write(held[0], body, LATE_BYTES);
	http_exchange_end(held[0]);
	ck_assert_int_gt(send(fd, request, sizeof request - 1, 0), 0);
	g_free(body);
	return fd;
}

/* A caller that reads only once the server has ended gets its answer whole. */
START_TEST(finish_leaves_whole_answers_to_late_readers)
{
	struct http_server_ops ops = bed_ops;
	char buf[65536];
	ssize_t n;
	size_t sum = 0;
	int fd;

	bed_setup();
	ops.end = hold_request;
	fd = respond_unread(&ops);
	http_server_unbind(bed.server, 268435456);
	http_server_finish(bed.server, io_clock());
	http_server_free(bed.server);
	bed.server = NULL;
	while ((n = recv(fd, buf, sizeof buf, 0)) > 0 ||
	       (n < 0 && errno == EAGAIN))
		sum += n > 0 ? (size_t)n : 0;
	ck_assert_int_eq(n, 0);
	ck_assert_uint_gt(sum, LATE_BYTES);
	close(fd);
	bed_teardown();
}
END_TEST

#define WAITING 60 /* connections that are not accepted yet */
#define BUSY_US 3000 /* in which the server does not run */

START_TEST(stop_beyond_the_limit_of_connections_answers_those_that_wait)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	int i, fd[WAITING], answered = 0;
	char buf[512];

	limits.connections = 2;
	bed_setup();
	bed_server_start(&limits, &bed_ops);
	for (i = 0; i < WAITING; i++) {
		fd[i] = io_connect_tcp("127.0.0.1", bed.port);
		while (
		    send(fd[i], request, sizeof request - 1, MSG_NOSIGNAL) < 0)
			;
	}
	http_server_disable_keepalive(bed.server);
	http_server_stop(bed.server);
	g_usleep(BUSY_US);
	while (http_server_connections(bed.server) ||
	       http_server_is_listening(bed.server))
		bed_step(bed_timeout_at());
	for (i = 0; i < WAITING; i++) {
		answered += recv(fd[i], buf, sizeof buf, MSG_DONTWAIT) > 0;
		close(fd[i]);
	}
	ck_assert_int_eq(answered, WAITING);
	http_server_free(bed.server);
	bed.server = NULL;
	bed_teardown();
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("http_stop");
	TCase *c = tcase_create("http_stop");
	SRunner *r;
	int failed;

	tcase_set_timeout(c, 120);
	tcase_add_test(c, stop_cuts_no_connection_that_was_opened);
	tcase_add_loop_test(c, stop_answers_all_requests_that_were_read, 0, 2);
	tcase_add_test(c, finish_leaves_whole_answers_to_late_readers);
	tcase_add_test(c,
	    stop_beyond_the_limit_of_connections_answers_those_that_wait);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
