#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Clients: each makes requests and records what it sent and got. */

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
	return 2;
}
