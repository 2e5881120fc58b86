#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "log.h"

#define LINES_OVER_BUFFER 20000 /* several times the capacity of the buffer */
#define LINES_OVER_PIPE 1200 /* a little more than the capacity of a pipe */
#define LOG_BUFFER_BYTES 262144 /* as in src/adapter/log/log_sink.c */
#define NOW_US 1000000

/* Replaces standard output by a pipe. Returns its read end, which nothing reads
 * but the test itself. */
static int
redirect_output(void)
{
	int fds[2];

	ck_assert_int_eq(pipe(fds), 0);
	ck_assert_int_eq(dup2(fds[1], STDOUT_FILENO), STDOUT_FILENO);
	close(fds[1]);
	return fds[0];
}

/* Logs @n lines, a second of log time apart so that none exceeds the rate. */
static void
write_lines(int n)
{
	int i;

	for (i = 0; i < n; i++)
		log_event(EVENT_CALL, G_LOG_LEVEL_INFO,
		    NOW_US + i * INT64_C(1000000), "line=%d path=/a/b/c", i);
}

START_TEST(unread_output_does_not_block_callers)
{
	int64_t start = g_get_monotonic_time();

	redirect_output();
	log_setup(G_LOG_LEVEL_INFO);
	write_lines(LINES_OVER_BUFFER);
	ck_assert_int_lt(g_get_monotonic_time() - start, 1000000);
	ck_assert_uint_gt(log_lines_lost(), 0);
}
END_TEST

START_TEST(stop_does_not_wait_for_a_reader)
{
	int64_t start;

	redirect_output();
	log_setup(G_LOG_LEVEL_INFO);
	write_lines(LINES_OVER_PIPE);
	start = g_get_monotonic_time();
	log_stop(LOG_STOP_US);
	ck_assert_int_lt(g_get_monotonic_time() - start, 1000000);
}
END_TEST

START_TEST(closed_output_does_not_end_the_process)
{
	close(redirect_output());
	log_setup(G_LOG_LEVEL_INFO);
	write_lines(1);
	log_stop(LOG_STOP_US);
	write_lines(1);
	log_stop(LOG_STOP_US);
}
END_TEST

START_TEST(lost_lines_are_reported)
{
	static char text[1 << 20];
	int fd = redirect_output();
	size_t n = 0;
	ssize_t r;

	log_setup(G_LOG_LEVEL_INFO);
	write_lines(LINES_OVER_BUFFER);
	while (!strstr(text, "lines_lost=") && n < sizeof text - 1) {
		r = read(fd, text + n, sizeof text - 1 - n);
		ck_assert_int_gt(r, 0);
		n += (size_t)r;
		write_lines(1);
	}
	ck_assert_ptr_nonnull(strstr(text, "lines_lost="));
}
END_TEST

START_TEST(lost_lines_are_reported_though_no_line_follows)
{
	static char text[1 << 20];
	int fd = redirect_output();
	size_t n = 0;
	ssize_t r;

	log_setup(G_LOG_LEVEL_INFO);
	write_lines(LINES_OVER_BUFFER);
	ck_assert_uint_gt(log_lines_lost(), 0);
	while (!strstr(text, "lines_lost=") && n < sizeof text - 1) {
		r = read(fd, text + n, sizeof text - 1 - n);
		ck_assert_int_gt(r, 0);
		n += (size_t)r;
	}
	ck_assert_ptr_nonnull(strstr(text, "lines_lost="));
}
END_TEST

/* Also where the log's ring buffer wraps and a line lies in two pieces. */
START_TEST(lines_are_not_split)
{
	static char text[1 << 16];
	int fd = redirect_output();
	size_t total = 0;
	ssize_t r;

	log_setup(G_LOG_LEVEL_INFO);
	while (total < 3 * LOG_BUFFER_BYTES) {
		write_lines(100);
		r = read(fd, text, sizeof text);
		ck_assert_int_gt(r, 0);
		ck_assert_int_eq(text[r - 1], '\n');
		total += (size_t)r;
	}
}
END_TEST

START_TEST(control_characters_are_replaced)
{
	char text[256] = "";
	int fd = redirect_output();
	ssize_t r;

	log_setup(G_LOG_LEVEL_INFO);
	log_event(EVENT_CALL, G_LOG_LEVEL_INFO, NOW_US, "path=/a\nevent=1");
	log_stop(LOG_STOP_US);
	r = read(fd, text, sizeof text - 1);
	ck_assert_int_gt(r, 0);
	ck_assert_ptr_nonnull(strstr(text, "path=/a?event=1\n"));
}
END_TEST

/* Reads what was logged up to here, with the log stopped. */
static char *
read_log(int fd)
{
	static char text[1 << 18];
	size_t n = 0;
	ssize_t r;

	log_stop(LOG_STOP_US);
	close(STDOUT_FILENO);
	while ((r = read(fd, text + n, sizeof text - 1 - n)) > 0)
		n += (size_t)r;
	text[n] = '\0';
	return text;
}

START_TEST(ids_over_the_rate_are_written)
{
	int i, fd = redirect_output(), over = REQUEST_EVENT_PER_S_MAX + 100;
	char id[32], *text;

	log_setup(G_LOG_LEVEL_INFO);
	for (i = 0; i < over; i++) {
		g_snprintf(id, sizeof id, "id-%d", i);
		log_request_event(EVENT_CALL, G_LOG_LEVEL_INFO, NOW_US, id,
		    "lost", "request=%s end", id);
	}
	text = read_log(fd);
	for (i = 0; i < over; i++) {
		g_snprintf(id, sizeof id,
		    i < REQUEST_EVENT_PER_S_MAX ? "request=id-%d end"
						: "id-%d/lost",
		    i);
		ck_assert_msg(strstr(text, id) != NULL, "no %s", id);
	}
}
END_TEST

START_TEST(ids_are_bounded_and_counted)
{
	int i, fd = redirect_output(), lines = 0, written = 0;
	char id[64], *text, *at;
	long lost = 0;

	log_setup(G_LOG_LEVEL_INFO);
	for (i = 0; i < 100 * ID_LINES_PER_S_MAX; i++) {
		g_snprintf(id, sizeof id, "%060d", i);
		log_request_id(EVENT_REQUESTS_SENT, NOW_US, id, NULL);
		if (i % 1000 == 0)
			g_usleep(30000);
	}
	text = read_log(fd);
	for (at = text; (at = strstr(at, "event=516 requests=")); at++)
		lines++;
	for (at = text; (at = strstr(at, " ids_left_out=")); at++)
		lost += strtol(at + strlen(" ids_left_out="), NULL, 10);
	for (at = text; (at = strstr(at, "00000000000000")); at += 60)
		written++;
	ck_assert_int_le(lines, ID_LINES_PER_S_MAX + 1);
	ck_assert_int_gt(lost, 0);
	ck_assert_int_eq(written + lost, 100 * ID_LINES_PER_S_MAX);
}
END_TEST

static gpointer
end_by_fault(gpointer unused)
{
	abort(); /* the sanitizers handle SIGSEGV themselves */
}

/* A process that logs @n lines and the id of a request, and ends by a fault of
 * one of its threads at once. Returns its process id. */
static pid_t
start_process_that_fails(int n)
{
	pid_t p = fork();

	ck_assert_int_ge(p, 0);
	if (p)
		return p;
	log_setup(G_LOG_LEVEL_INFO);
	log_catch_fatal();
	write_lines(n);
	log_request_id(EVENT_REQUESTS_RECEIVED, NOW_US, "last", NULL);
	g_thread_join(g_thread_new("fails", end_by_fault, NULL));
	_exit(0);
}

START_TEST(fatal_end_writes_ids_of_the_last_moment)
{
	int fd = redirect_output(), status;
	pid_t p = start_process_that_fails(10);
	char *text;

	ck_assert_int_eq(waitpid(p, &status, 0), p);
	ck_assert(WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT);
	text = read_log(fd);
	ck_assert_ptr_nonnull(strstr(text, "line=9 "));
	ck_assert_ptr_nonnull(strstr(text, "event=515 requests=last\n"));
	ck_assert_ptr_nonnull(strstr(text, "event=107 "));
}
END_TEST

/* An output that nobody reads does not hold the process, whose other threads
 * would go on without the one that failed. */
START_TEST(fatal_end_does_not_wait_for_a_reader)
{
	int status, tries;
	pid_t p, ended = 0;

	redirect_output();
	p = start_process_that_fails(LINES_OVER_PIPE);
	for (tries = 0; !ended && tries < 200; tries++) {
		g_usleep(10000);
		ended = waitpid(p, &status, WNOHANG);
	}
	if (!ended)
		kill(p, SIGKILL);
	ck_assert_int_eq(ended, p);
	ck_assert(WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("log");
	TCase *c = tcase_create("log");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(c, unread_output_does_not_block_callers);
	tcase_add_test(c, stop_does_not_wait_for_a_reader);
	tcase_add_test(c, closed_output_does_not_end_the_process);
	tcase_add_test(c, lost_lines_are_reported);
	tcase_add_test(c, lost_lines_are_reported_though_no_line_follows);
	tcase_add_test(c, lines_are_not_split);
	tcase_add_test(c, control_characters_are_replaced);
	tcase_add_test(c, ids_over_the_rate_are_written);
	tcase_add_test(c, ids_are_bounded_and_counted);
	tcase_add_test(c, fatal_end_writes_ids_of_the_last_moment);
	tcase_add_test(c, fatal_end_does_not_wait_for_a_reader);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
