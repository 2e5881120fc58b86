#include "adapter/http/conn.h"
#include "http_bed.h"

#include <sys/resource.h>

/* Connections that a server does not serve, and what it reports of them. */

#define LIMIT 2 /* of connections */
#define BEYOND 3 /* connections that are closed without an answer */
#define RETRIES 4 /* of accepting */

static struct {
	int n[HTTP_REFUSALS];
	int error; /* of the last one */
} refused;

static void
on_refused(void *ctx, enum http_refusal why, int error)
{
	refused.n[why]++;
	refused.error = error;
}

static const struct http_server_ops refused_ops = {
	.request = bed_request,
	.body = bed_body,
	.end = bed_end,
	.failed = bed_failed,
	.refused = on_refused,
};

static void
open_server(void)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;

	memset(&refused, 0, sizeof refused);
	limits.connections = LIMIT;
	bed_setup();
	bed_server_start(&limits, &refused_ops);
}

static void
run_for(int64_t us)
{
	int64_t end = io_clock() + us;

	while (io_clock() < end)
		bed_step(end + BED_TIMEOUT_US);
}

/* Connects and waits until @n connections were handled in the way @why. Return:
 * the socket. */
static int
connect_until(enum http_refusal why, int n)
{
	int64_t until = bed_timeout_at();
	int fd = io_connect_tcp("127.0.0.1", bed.port);

	ck_assert_int_ge(fd, 0);
	while (refused.n[why] < n)
		bed_step(until);
	return fd;
}

START_TEST(connections_beyond_the_limit_are_reported)
{
	int fd[LIMIT + HTTP_REFUSED_MAX + BEYOND], i, n = 0;
	char buf[512] = "";

	open_server();
	for (i = 0; i < LIMIT; i++)
		fd[n++] = io_connect_tcp("127.0.0.1", bed.port);
	run_for(BED_QUIET_US);
	ck_assert_int_eq(http_server_connections(bed.server), LIMIT);
	for (i = 1; i <= HTTP_REFUSED_MAX; i++)
		fd[n++] = connect_until(HTTP_REFUSAL_LIMIT, i);
	for (i = 1; i <= BEYOND; i++)
		fd[n++] = connect_until(HTTP_REFUSAL_UNANSWERED, i);
	ck_assert_int_eq(refused.n[HTTP_REFUSAL_LIMIT], HTTP_REFUSED_MAX);
	ck_assert_int_eq(refused.error, 0);
	ck_assert_int_gt(recv(fd[LIMIT], buf, sizeof buf - 1, 0), 0);
	ck_assert_ptr_nonnull(strstr(buf, "HTTP/1.1 503 "));
	ck_assert_int_eq(recv(fd[n - 1], buf, sizeof buf, 0), 0);
	while (n > 0)
		close(fd[--n]);
	bed_teardown();
}
END_TEST

/* Lets this process open no further descriptor. Return: the limit before. */
static struct rlimit
use_up_descriptors(void)
{
	struct rlimit before, none;
	int fd = dup(0);

	ck_assert_int_ge(fd, 0);
	close(fd);
	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &before), 0);
	none = before;
	none.rlim_cur = (rlim_t)fd;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
	return before;
}

START_TEST(connections_that_cannot_be_accepted_are_reported)
{
	struct rlimit before;
	int fd;

	open_server();
	fd = io_connect_tcp("127.0.0.1", bed.port);
	before = use_up_descriptors();
	run_for(RETRIES * HTTP_ACCEPT_RETRY_US - BED_QUIET_US);
	ck_assert_int_ge(refused.n[HTTP_REFUSAL_ACCEPT], 1);
	ck_assert_int_le(refused.n[HTTP_REFUSAL_ACCEPT], RETRIES);
	ck_assert_int_eq(refused.error, EMFILE);
	ck_assert_int_eq(http_server_connections(bed.server), 0);
	setrlimit(RLIMIT_NOFILE, &before);
	run_for(2 * HTTP_ACCEPT_RETRY_US);
	ck_assert_int_eq(http_server_connections(bed.server), 1);
	close(fd);
	bed_teardown();
}
END_TEST

int
main(void)
{
	TCase *c = tcase_create("http_refused");

	tcase_add_test(c, connections_beyond_the_limit_are_reported);
	tcase_add_test(c, connections_that_cannot_be_accepted_are_reported);
	return bed_run_suite("http_refused", c);
}
