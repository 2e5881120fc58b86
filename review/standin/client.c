#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/* Clients: each makes requests and records what it sent and got. */

#define ANSWERS_MAX (16 << 20)

static const char *to, *host, *method, *first_path, *first_host;
static int deadline_ms, extra_fields;

/* Sends one request and records it. Returns the status, see request(). */
static int
send_one(const char *path, const char *id, const char *body)
{
	struct message *m = calloc(1, sizeof *m);
	char fields[16384], signature[128], reason[64], first[512];
	int n, i, status;

	n = snprintf(fields, sizeof fields,
	    "Host: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", host, id,
	    deadline_ms);
	for (i = 0; i < extra_fields; i++)
		n += snprintf(fields + n, sizeof fields - (size_t)n,
		    "X-Note-%d: %d\r\n", i, i);
	record("sent id=%s method=%s path=%s fields=%d", id, method, path,
	    extra_fields);
	first[0] = '\0';
	if (first_path)
		snprintf(first, sizeof first,
		    "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: first-%s\r\n"
		    "X-Deadline-Ms: 1000\r\n\r\n",
		    first_path, first_host, id);
	status = request(to, method, path, fields, body, deadline_ms + 500,
	    first_path ? first : NULL, m);
	if (status > 0) {
		field(m, "X-Server-Signature", signature, sizeof signature);
		field(m, "Kumquatrock-Reason", reason, sizeof reason);
		record("answered id=%s status=%d signature=%s reason=%s", id,
		    status, signature[0] ? signature : "none",
		    reason[0] ? reason : "none");
	} else {
		record("unanswered id=%s %s", id,
		    status ? "no connection" : "connection ended");
	}
	message_clear(m);
	free(m);
	return status;
}

struct shot {
	char path[256];
	char id[64];
};

static void *
shoot(void *arg)
{
	struct shot *s = arg;

	send_one(s->path, s->id, "");
	free(s);
	return NULL;
}

/* client load --to A --host H --path P --name N --rate R --seconds S */
static int
load(int argc, char **argv)
{
	const char *name = option(argc, argv, "name", "c");
	int rate = option_int(argc, argv, "rate", 20);
	int total = rate * option_int(argc, argv, "seconds", 5), i;
	int64_t start = now_ms();
	pthread_t t;
	struct shot *s;

	for (i = 0; i < total; i++) {
		sleep_ms(start + (int64_t)i * 1000 / rate - now_ms());
		s = malloc(sizeof *s);
		snprintf(s->path, sizeof s->path, "%s",
		    option(argc, argv, "path", "/p/x"));
		snprintf(s->id, sizeof s->id, "%s-%d", name, i);
		if (pthread_create(&t, NULL, shoot, s))
			return 2;
		pthread_detach(t);
	}
	sleep_ms(deadline_ms + 700);
	return 0;
}

/* client one --to A --host H --path P --id ID: prints the status */
static int
one(int argc, char **argv)
{
	printf("%d\n", send_one(option(argc, argv, "path", "/p/x"),
			   option(argc, argv, "id", "one"),
			   option(argc, argv, "body", "")));
	return 0;
}

/* client http --to A --method M --path P [--body B]: prints the status, and the
 * body with --show 1 */
static int
http(int argc, char **argv)
{
	struct message *m = calloc(1, sizeof *m);
	int status = request(to, method, option(argc, argv, "path", "/"),
	    "Host: standin\r\nConnection: close\r\n",
	    option(argc, argv, "body", ""),
	    option_int(argc, argv, "wait-ms", 2000), NULL, m);

	printf("%d\n", status);
	if (m->body && option_int(argc, argv, "show", 0))
		printf("%s\n", m->body);
	message_clear(m);
	free(m);
	return status < 200 || status > 299;
}

/* client until --to A --path P --seconds S: repeats a GET until it gets 200 */
static int
until(int argc, char **argv)
{
	int64_t end = now_ms() + 1000 * option_int(argc, argv, "seconds", 10);
	struct message *m = calloc(1, sizeof *m);
	int status;

	do {
		status = request(to, "GET", option(argc, argv, "path", "/"),
		    "Host: standin\r\nConnection: close\r\n", "", 1000, NULL,
		    m);
		message_clear(m);
		if (status == 200)
			return 0;
		sleep_ms(100);
	} while (now_ms() < end);
	return 1;
}

/* Length of the whole answer at @p, 0 if it is not whole yet. */
static size_t
answer_length(const char *p)
{
	const char *body = strstr(p, "\r\n\r\n");
	const char *at = strstr(p, "Content-Length: ");
	size_t n;

	if (!body || !at || at > body)
		return 0;
	n = (size_t)(body + 4 - p) + (size_t)number_of(at + 16);
	return strnlen(p, n) == n ? n : 0;
}

static int
has_two_answers(const char *p)
{
	size_t n = answer_length(p);

	return n && answer_length(p + n);
}

/* Reads until two answers are whole or the connection ends, at most @kb_per_s;
 * returns the bytes. */
static size_t
read_slowly(int fd, char *p, size_t size, int kb_per_s)
{
	const int step_ms = 20;
	size_t step = (size_t)kb_per_s * (size_t)step_ms, n = 0, take;
	int64_t next = now_ms();
	ssize_t r = 1;

	while (r > 0 && n < size) {
		sleep_ms(next - now_ms());
		next += step_ms;
		for (take = step; take && n < size; take -= (size_t)r) {
			r = recv(fd, p + n, take < size - n ? take : size - n,
			    0);
			if (r <= 0)
				break;
			n += (size_t)r;
			if (has_two_answers(p))
				return n;
		}
	}
	return n;
}

/* client pipeline --to A --host H --path P1 --second-host H2 --second P2 --id
 *ID
 *	--kb-per-s N:
 * sends two safe requests at once on a connection and reads all answers as a
 * client on a slow link does; records how many bytes of the first answer came
 */
static int
pipeline(int argc, char **argv)
{
	static char answer[ANSWERS_MAX + 1];
	const char *id = option(argc, argv, "id", "pair");
	struct timeval limit = { 5, 0 };
	char ip[64], text[2048], *body, *at;
	struct stream *s = calloc(1, sizeof *s);
	int fd, port, n, got, size, bad;

	split_address(to, ip, sizeof ip, &port);
	fd = s->fd = connect_to(ip, port, 1000);
	snprintf(text, sizeof text,
	    "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: first-%s\r\n"
	    "X-Deadline-Ms: 1000\r\n\r\n",
	    first_path ? first_path : "/", first_host, id);
	bad = fd < 0 || (first_path && first_request(s, text));
	free(s);
	if (bad)
		return 2;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	n = snprintf(text, sizeof text,
	    "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s-1\r\n"
	    "X-Deadline-Ms: %d\r\n\r\n"
	    "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s-2\r\n"
	    "X-Deadline-Ms: %d\r\n\r\n",
	    option(argc, argv, "path", "/p/large/"), host, id, deadline_ms,
	    option(argc, argv, "second", "/q/x"),
	    option(argc, argv, "second-host", host), id, deadline_ms);
	record("sent id=%s-1 and id=%s-2 on one connection", id, id);
	write_all(fd, text, (size_t)n);
	n = (int)read_slowly(fd, answer, ANSWERS_MAX,
	    option_int(argc, argv, "kb-per-s", 500));
	answer[n] = '\0';
	body = strstr(answer, "\r\n\r\n");
	at = strstr(answer, "Content-Length: ");
	if (body && at && at < body) {
		body += 4;
		got = n - (int)(body - answer);
		size = (int)number_of(at + 16);
		record("answered id=%s-1 status=%.3s bytes=%d of %d whole=%d",
		    id, answer + 9, got < size ? got : size, size, got >= size);
		record("second answer id=%s-2 bytes=%d", id,
		    got > size ? got - size : 0);
	} else {
		record("unanswered id=%s-1", id);
	}
	close(fd);
	return 0;
}

int
client_main(int argc, char **argv)
{
	to = option(argc, argv, "to", "127.0.0.1:80");
	host = option(argc, argv, "host", "h.example");
	method = option(argc, argv, "method", "GET");
	deadline_ms = option_int(argc, argv, "deadline-ms", 1500);
	extra_fields = option_int(argc, argv, "extra-fields", 0);
	first_path = option(argc, argv, "first", NULL);
	first_host = option(argc, argv, "first-host", host);
	record_open(option(argc, argv, "record", NULL),
	    option(argc, argv, "as", "client"));
	if (!strcmp(argv[2], "load"))
		return load(argc, argv);
	if (!strcmp(argv[2], "one"))
		return one(argc, argv);
	if (!strcmp(argv[2], "http"))
		return http(argc, argv);
	if (!strcmp(argv[2], "until"))
		return until(argc, argv);
	if (!strcmp(argv[2], "now"))
		return printf("%lld\n", (long long)now_ms()) < 0;
	if (!strcmp(argv[2], "pipeline"))
		return pipeline(argc, argv);
	return 2;
}
