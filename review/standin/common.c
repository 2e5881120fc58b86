#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static int record_fd = -1;
static char record_who[64];

long
number_of(const char *text)
{
	return strtol(text, NULL, 10);
}

int64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&t, &t) < 0 && errno == EINTR)
		;
}

void
record_open(const char *path, const char *who)
{
	if (!path)
		return;
	record_fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
	snprintf(record_who, sizeof record_who, "%s", who);
}

void
record(const char *fmt, ...)
{
	char line[TEXT_MAX];
	va_list ap;
	int n, k;

	if (record_fd < 0)
		return;
	n = snprintf(line, sizeof line, "%lld %s ", (long long)now_ms(),
	    record_who);
	va_start(ap, fmt);
	k = vsnprintf(line + n, sizeof line - (size_t)n - 1, fmt, ap);
	va_end(ap);
	n += k < (int)sizeof line - n - 1 ? k : (int)sizeof line - n - 2;
	line[n++] = '\n';
	if (write(record_fd, line, (size_t)n) < 0)
		perror("record");
}

void
split_address(const char *text, char *ip, size_t size, int *port)
{
	const char *colon = strrchr(text, ':');

	if (!colon) {
		fprintf(stderr, "no port in address %s\n", text);
		exit(2);
	}
	snprintf(ip, size, "%.*s", (int)(colon - text), text);
	*port = (int)number_of(colon + 1);
}

static struct sockaddr_in
address_of(const char *ip, int port)
{
	struct sockaddr_in a;

	memset(&a, 0, sizeof a);
	a.sin_family = AF_INET;
	a.sin_port = htons((uint16_t)port);
	a.sin_addr.s_addr = inet_addr(ip);
	return a;
}

int
listen_on(const char *ip, int port)
{
	struct sockaddr_in a = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	if (bind(fd, (struct sockaddr *)&a, sizeof a) || listen(fd, 512)) {
		fprintf(stderr, "listen on %s:%d: %s\n", ip, port,
		    strerror(errno));
		exit(2);
	}
	return fd;
}

int
connect_to(const char *ip, int port, int wait_ms)
{
	struct sockaddr_in a = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), e = 0;
	socklen_t n = sizeof e;
	struct pollfd p = { fd, POLLOUT, 0 };

	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (connect(fd, (struct sockaddr *)&a, sizeof a) &&
	    errno != EINPROGRESS)
		e = errno;
	else if (poll(&p, 1, wait_ms) != 1 ||
		 getsockopt(fd, SOL_SOCKET, SO_ERROR, &e, &n))
		e = ETIMEDOUT;
	if (e) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, 0);
	return fd;
}

int
write_all(int fd, const void *p, size_t n)
{
	const char *at = p;
	ssize_t r;

	while (n) {
		r = send(fd, at, n, MSG_NOSIGNAL);
		if (r < 0 && errno == EINTR)
			continue;
		if (r <= 0)
			return -1;
		at += r;
		n -= (size_t)r;
	}
	return 0;
}

struct job {
	int fd;
	void (*serve)(struct stream *);
};

static void *
run_job(void *arg)
{
	struct job j = *(struct job *)arg;
	struct stream *s = calloc(1, sizeof *s);

	free(arg);
	s->fd = j.fd;
	j.serve(s);
	close(s->fd);
	free(s);
	return NULL;
}

void
serve_forever(int fd, void (*serve)(struct stream *))
{
	pthread_attr_t attr;
	pthread_t t;
	struct job *j;
	int c;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 1 << 20);
	for (;;) {
		c = accept4(fd, NULL, NULL, SOCK_CLOEXEC);
		if (c < 0)
			continue;
		j = malloc(sizeof *j);
		j->fd = c;
		j->serve = serve;
		if (pthread_create(&t, &attr, run_job, j)) {
			close(c);
			free(j);
		}
	}
}

static int
read_more(struct stream *s)
{
	ssize_t n;

	if (s->len + 1 >= sizeof s->buf)
		return -1;
	do
		n = recv(s->fd, s->buf + s->len, sizeof s->buf - 1 - s->len, 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return -1;
	s->len += (size_t)n;
	s->buf[s->len] = '\0';
	return 0;
}

static int
read_body(struct stream *s, struct message *m, size_t n)
{
	size_t have = s->len < n ? s->len : n;
	ssize_t r;

	m->body = calloc(1, n + 1);
	memcpy(m->body, s->buf, have);
	memmove(s->buf, s->buf + have, s->len - have);
	s->len -= have;
	s->buf[s->len] = '\0';
	for (m->body_len = have; m->body_len < n; m->body_len += (size_t)r) {
		r = recv(s->fd, m->body + m->body_len, n - m->body_len, 0);
		if (r <= 0)
			return -1;
	}
	return 0;
}

int
read_message(struct stream *s, struct message *m)
{
	char length[32], *end;
	size_t n;

	m->body = NULL;
	m->body_len = 0;
	s->buf[s->len] = '\0';
	while (!(end = strstr(s->buf, "\r\n\r\n")))
		if (read_more(s))
			return -1;
	n = (size_t)(end - s->buf) + 4;
	memcpy(m->head, s->buf, n);
	m->head[n] = '\0';
	memmove(s->buf, s->buf + n, s->len - n);
	s->len -= n;
	s->buf[s->len] = '\0';
	if (!field(m, "Content-Length", length, sizeof length))
		return 0;
	return read_body(s, m, strtoul(length, NULL, 10));
}

void
message_clear(struct message *m)
{
	free(m->body);
	m->body = NULL;
}

int
field(const struct message *m, const char *name, char *value, size_t size)
{
	const char *at = strstr(m->head, "\r\n");
	size_t n = strlen(name);

	for (; at && at[2] && at[2] != '\r'; at = strstr(at + 2, "\r\n")) {
		if (strncasecmp(at + 2, name, n) || at[2 + n] != ':')
			continue;
		at += 3 + n;
		at += strspn(at, " ");
		snprintf(value, size, "%.*s", (int)strcspn(at, "\r"), at);
		return 1;
	}
	value[0] = '\0';
	return 0;
}

void
start_word(const struct message *m, int n, char *word, size_t size)
{
	const char *at = m->head;

	while (n-- > 0) {
		at += strcspn(at, " \r");
		at += *at == ' ';
	}
	snprintf(word, size, "%.*s", (int)strcspn(at, " \r"), at);
}

int
answer_json(int fd, int status, const char *fields, const char *body)
{
	size_t n = strlen(body), size = n + strlen(fields) + 256;
	char *text = malloc(size);
	int k, r;

	k = snprintf(text, size,
	    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n%s"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, fields, n, body);
	r = write_all(fd, text, (size_t)k);
	free(text);
	return r;
}

int
first_request(struct stream *s, const char *text)
{
	struct message *m = calloc(1, sizeof *m);
	int bad = write_all(s->fd, text, strlen(text)) || read_message(s, m);

	message_clear(m);
	free(m);
	return bad ? -1 : 0;
}

int
request(const char *to, const char *method, const char *path,
    const char *fields, const char *body, int wait_ms, const char *first,
    struct message *answer)
{
	struct timeval limit = { wait_ms / 1000, wait_ms % 1000 * 1000 };
	size_t size = strlen(fields) + strlen(body) + strlen(path) + 256;
	struct stream *s = calloc(1, sizeof *s);
	char ip[64], word[16], *text = malloc(size);
	int port, n, status = 0;

	split_address(to, ip, sizeof ip, &port);
	s->fd = connect_to(ip, port, wait_ms);
	answer->body = NULL;
	if (s->fd < 0) {
		free(text);
		free(s);
		return -1;
	}
	setsockopt(s->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	if (first && first_request(s, first)) {
		close(s->fd);
		free(text);
		free(s);
		return -1;
	}
	n = snprintf(text, size, "%s %s HTTP/1.1\r\n%s", method, path, fields);
	if (*body)
		n += snprintf(text + n, size - (size_t)n,
		    "Content-Type: application/json\r\nContent-Length: %zu\r\n",
		    strlen(body));
	n += snprintf(text + n, size - (size_t)n, "\r\n%s", body);
	if (!write_all(s->fd, text, (size_t)n) && !read_message(s, answer)) {
		start_word(answer, 1, word, sizeof word);
		status = (int)number_of(word);
	}
	close(s->fd);
	free(text);
	free(s);
	return status;
}

const char *
option(int argc, char **argv, const char *name, const char *fallback)
{
	int i;

	for (i = 0; i + 1 < argc; i++)
		if (!strncmp(argv[i], "--", 2) && !strcmp(argv[i] + 2, name))
			return argv[i + 1];
	return fallback;
}

int
option_int(int argc, char **argv, const char *name, int fallback)
{
	const char *v = option(argc, argv, name, NULL);

	return v ? (int)number_of(v) : fallback;
}

int
main(int argc, char **argv)
{
	if (argc > 1 && !strcmp(argv[1], "store"))
		return store_main(argc, argv);
	if (argc > 1 && !strcmp(argv[1], "worker"))
		return worker_main(argc, argv);
	if (argc > 2 && !strcmp(argv[1], "client"))
		return client_main(argc, argv);
	fprintf(stderr, "usage: standin store|worker|client ...\n");
	return 2;
}
