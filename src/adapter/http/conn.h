#ifndef KQ_HTTP_CONN_H
#define KQ_HTTP_CONN_H

#include "in.h"
#include "out.h"

/* bytes of input dropped after the request's exchange ended or the connection
 * began to close; with more, the connection is closed */
#define HTTP_DISCARD_BYTES 1048576
/* a connection in CONN_LINGER is closed after this time even if the peer keeps
 * it open; while bytes are to be sent, idle_ms applies instead */
#define HTTP_LINGER_US 2000000
#define HTTP_STOP_GRACE_US 1000000 /* idle connections outlive a stop */
/* the same, if http_server_disable_keepalive() came before the stop */
#define HTTP_STOP_GRACE_SHORT_US 300000
#define HTTP_ACCEPT_RETRY_US 100000 /* no accept after a failed one */
#define HTTP_REFUSED_MAX 64 /* connections being closed after a 503 */

struct http_conn;

/**
 * struct http_exchange - one request and its response
 * @next: the request after this one on the connection
 * @open: the user may act on it: neither ended, aborted nor failed
 * @done: the user ended or aborted it before its turn to be sent
 * @aborted: the user aborted it before its turn to be sent
 * @queued_out: what the user wrote before its turn to be sent
 * @expect_continue: the caller waits for "100 Continue"
 * @method_is_head: the request's method is HEAD
 * @pipelinable: requests after it may be read before it is answered
 * @http10: the request is HTTP/1.0
 * @keep_alive: the connection may serve another request
 * @head_written: the user wrote the response's head
 * @body_left: bytes of the response's body still to be written, or
 *             HTTP_LENGTH_*
 * @ninterim: interim responses received
 * @notify_drained: bytes are buffered; the callback drained is due once they
 *                  are sent
 * @interim_sent: "100 Continue" was sent to see whether the caller is still
 *                connected
 */
struct http_exchange {
	struct http_conn *conn;
	struct http_exchange *next;
	void *ctx;
	int open;
	int done;
	int aborted;
	struct http_out queued_out;
	int expect_continue;
	int method_is_head;
	int pipelinable;
	int http10;
	int keep_alive;
	int head_written;
	int chunked;
	int no_body;
	int64_t body_left;
	int notify_drained;
	int interim_sent;
};

/* CONN_LINGER: no request is read; once all bytes are sent, the sending side is
 * closed and what the peer still sends is dropped until it closes, too */
enum conn_state { CONN_OPEN, CONN_LINGER };

/**
 * struct http_conn - connection of a caller
 * @over_limit: accepted beyond the limit of connections, to be answered 503
 * @in_callback: conn_handle_ready() or conn_handle_timer() is running; both
 *               update the watch and the timer before they return
 * @closed: closed; its memory is freed in the next iteration
 * @eof: the peer closed its sending side
 * @paused: the user suspended reading
 * @send_errno: error of a failed send, 0 if none failed
 * @scheduled: conn_schedule() set the timer
 * @corked: a response's head is held back, to be sent with the first bytes of
 *          its body
 * @read_disabled: the socket was readable when nothing might be read, so that
 *                 it is no longer watched for input
 * @linger_until: when the connection is closed in CONN_LINGER, if all bytes are
 *                sent
 * @last_byte: when the last byte was sent or received; at first, when the
 *             connection was accepted
 * @head_since: when the first byte of the head being read came, 0 if none is
 *              being read
 * @discarded: bytes of the request's body that were dropped
 * @left: what it leaves when it ends; @left.reason is unused
 * @why: why its first exchange failed, or no text
 * @reset: it is closed with a reset
 * @first: exchange whose response is sent next
 * @newest: exchange that began last
 * @reading: exchange whose request is being read, or NULL
 * @retired: exchanges that are over; freed at the end of conn_handle_ready()
 * and conn_handle_timer(), or with the connection
 */
struct http_conn {
	struct http_server *server;
	struct http_conn *prev;
	struct http_conn *next;
	int fd;
	enum conn_state state;
	int over_limit;
	int in_callback;
	int closed;
	int eof;
	int paused;
	int send_errno;
	int scheduled;
	int corked;
	int read_disabled;
	int64_t linger_until;
	int64_t last_byte;
	int64_t head_since;
	size_t discarded;
	struct http_conn_end left;
	struct kq_error why;
	int reset;
	struct io_watch watch;
	struct io_timer timer;
	struct http_out out;
	struct http_in in;
	struct http_exchange *first;
	struct http_exchange *newest;
	struct http_exchange *reading;
	struct http_exchange *retired;
	int nexchange;
};

/**
 * struct http_server - listening socket and its connections
 * @no_keepalive: each connection closes after its next response
 * @stopping: http_server_stop() was called
 * @close_idle_at: when idle connections are closed, if @stopping
 * @nconn: connections within the limit
 * @nrefused: connections beyond the limit
 * @timer: ends the pause after a failed accept
 * @conns: open connections
 * @closed: closed connections, not yet freed
 * @free_timer: frees @closed
 * @scratch: receive buffer of HTTP_READ_BYTES, shared by all connections
 */
struct http_server {
	struct io_loop *loop;
	struct http_limits limits;
	const struct http_server_ops *ops;
	void *ctx;
	int fd;
	int no_keepalive;
	int stopping;
	int64_t close_idle_at;
	int nconn;
	int nrefused;
	struct io_watch watch;
	struct io_timer timer;
	struct http_conn *conns;
	struct http_conn *closed;
	struct io_timer free_timer;
	char *scratch;
};

/** conn_new() - serve an accepted socket; answers 503 and closes it if
 * @over_limit. Return: the connection, or NULL; then the caller closes @fd */
struct http_conn *conn_new(struct http_server *, int fd, int over_limit);
/** conn_close() - close a connection at once; its memory is freed in the next
 * iteration */
void conn_close(struct http_conn *);
/** conn_free_closed() - free the memory of closed connections */
void conn_free_closed(struct http_server *);
/** conn_schedule() - have conn_handle_timer() called in the next iteration */
void conn_schedule(struct http_conn *);
/** conn_flush() - send buffered bytes */
void conn_flush(struct http_conn *);
/** conn_note_send() - account for the result of a send */
void conn_note_send(struct http_conn *, ssize_t);
/** conn_send_error() - answer a broken message, or a connection over the limit,
 * in the server's own name, then close the connection
 * @delivered: the user had the request's head already and may have acted on it
 */
void conn_send_error(struct http_conn *, int status, const char *text,
    int delivered);
/** conn_finish_exchange() - retire the first exchange, whose response is
 * complete, and go on with the next one or close the connection */
void conn_finish_exchange(struct http_conn *);
/** conn_send_reset() - reset the connection, so that its caller sees a broken
 * response */
void conn_send_reset(struct http_conn *);
/** conn_linger() - read no more requests and close the connection once all
 * bytes are sent, see CONN_LINGER */
void conn_linger(struct http_conn *);
/** conn_update_timer() - have the timer fire by conn_timeout_time() */
void conn_update_timer(struct http_conn *);
/** conn_parse() - parse the unparsed bytes and then the given ones, as far as
 * requests may be read now */
void conn_parse(struct http_conn *, const char *, size_t);
/** conn_update_watch() - watch the socket for what the connection waits for,
 * and set the timer */
void conn_update_watch(struct http_conn *);
/** conn_can_send_error() - whether the message being read may be answered in
 * the server's own name: no other response is due before, and no part of its
 * own was written */
int conn_can_send_error(const struct http_conn *);
/** conn_report_end() - tell the user what a connection left, if anything */
void conn_report_end(struct http_conn *);
/** conn_fail_exchanges() - end all exchanges and tell the users of those that
 * are open */
void conn_fail_exchanges(struct http_conn *, const struct kq_error *);
/** exchange_new() - add an exchange after those of the connection */
struct http_exchange *exchange_new(struct http_conn *);
/** exchange_retire() - remove an exchange from the connection; its memory lasts
 * until exchange_free_retired() */
void exchange_retire(struct http_conn *, struct http_exchange *);
void exchange_free_retired(struct http_conn *);
/** conn_has_exchange() - whether an exchange has no complete response */
int conn_has_exchange(const struct http_conn *);
/** conn_handle_ready() - handle the socket's IO_* bits that are ready */
void conn_handle_ready(struct http_conn *, int ready);
/** conn_handle_timer() - handle what was scheduled, and timeouts */
void conn_handle_timer(struct http_conn *, int64_t now);
/** conn_timeout_time() - when the connection will have waited too long for its
 * peer; 0 while it waits for the user */
int64_t conn_timeout_time(const struct http_conn *);
/** conn_handle_timeout() - close the connection, with a 408 if possible */
void conn_handle_timeout(struct http_conn *);
/** conn_is_idle() - whether no request is being received or answered */
int conn_is_idle(const struct http_conn *);
/** conn_send_continue() - send "100 Continue" if the caller waits for it, no
 * other response is due before and the user reads the body */
void conn_send_continue(struct http_conn *);
/** conn_next_request() - go on reading requests after an exchange ended */
void conn_next_request(struct http_conn *);
extern const struct http_in_ops conn_in_ops;

#endif
