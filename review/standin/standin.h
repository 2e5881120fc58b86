#ifndef STANDIN_H
#define STANDIN_H

/* Stand-ins of the review: a store, a worker and clients, each a process that
 * speaks HTTP/1.1 as the users' pages say. One thread serves one connection. */

#include <stddef.h>
#include <stdint.h>

#define HEAD_MAX 65536
#define TEXT_MAX 4096

/* A connection and the bytes read from it that are not used yet. */
struct stream {
	int fd;
	size_t len;
	char buf[HEAD_MAX];
};

/* One message: start line and fields as text, and the body. */
struct message {
	char head[HEAD_MAX];
	char *body;
	size_t body_len;
};

/* Reads a decimal number; 0 if there is none. */
long number_of(const char *text);
int64_t now_ms(void);
void sleep_ms(int64_t ms);
/* Writes a line "MILLISECONDS WHO TEXT" to the record; with one write() call,
 * so that processes can share the file. */
void record_open(const char *path, const char *who);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Splits "IP:PORT". */
void split_address(const char *text, char *ip, size_t size, int *port);
int listen_on(const char *ip, int port);
/* Connects within @wait_ms; -1 if that failed. */
int connect_to(const char *ip, int port, int wait_ms);
int write_all(int fd, const void *p, size_t n);
/* Accepts connections forever; a thread calls @serve for each. */
void serve_forever(int fd, void (*serve)(struct stream *));

/* Reads one message; -1 at the end of the connection or a broken message. */
int read_message(struct stream *, struct message *);
void message_clear(struct message *);
/* Copies a header field's value; 0 if the message lacks it. */
int field(const struct message *, const char *name, char *value, size_t size);
/* Word @n of the start line. */
void start_word(const struct message *, int n, char *word, size_t size);
/* Sends an answer with a JSON body. */
int answer_json(int fd, int status, const char *fields, const char *body);
/* Sends a request and reads its whole answer, so that the connection is a kept
 * one for what follows; 0 or -1. */
int first_request(struct stream *, const char *text);
/* Sends one request on a new connection and reads the answer; @first, if
 * not NULL, is sent and answered before it. Returns its
 * status, 0 if the connection ended without an answer, -1 if there was no
 * connection. */
int request(const char *to, const char *method, const char *path,
    const char *fields, const char *body, int wait_ms, const char *first,
    struct message *answer);

/* Value of an option "--name value"; @fallback if it is missing. */
const char *
option(int argc, char **argv, const char *name, const char *fallback);
int option_int(int argc, char **argv, const char *name, int fallback);

int store_main(int argc, char **argv);
int worker_main(int argc, char **argv);
int client_main(int argc, char **argv);

#endif
