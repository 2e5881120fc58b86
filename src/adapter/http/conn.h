#ifndef KQ_HTTP_CONN_H
#define KQ_HTTP_CONN_H

#include "in.h"
#include "line.h"
#include "out.h"

/* bytes of input dropped after the request's exchange ended or the connection
 * began to close; after more, nothing is read */
#define HTTP_DISCARD_BYTES 1048576
/* a connection in CONN_LINGER or CONN_ACKS is closed after this time in which
 * the peer acknowledged nothing; while bytes are to be sent, idle_ms applies
 * instead */
#define HTTP_LINGER_US 2000000
#define HTTP_ACKS_US 5000 /* between looks for acknowledgements */
#define HTTP_STOP_GRACE_US 1000000 /* idle connections outlive a stop */
/* the same, if http_server_disable_keepalive() came before the stop */
#define HTTP_STOP_GRACE_SHORT_US 300000
#define HTTP_ACCEPT_RETRY_US 100000 /* no accept after a failed one */
#define HTTP_REFUSED_MAX                                    \
	64 /* connections being closed after a 503, at most \
	    */
/* a caller's connection without a request for so long may make way for another
 */
#define HTTP_REPLACE_IDLE_US 1000000
#define HTTP_UNSENT_MAX 65536 /* with more, no further request is read */
#define HTTP_KERNEL_UNSENT_BYTES 65536 /* taken by the kernel for a caller */

struct http_conn;

/**
 * struct http_exchange - one request and its response
 * @item: its place on the connection; the first member
 * @queued_out: what the user wrote before its turn to be sent, or while it is
 *              held
 * @name: for logs
 * @passed: the user passed the request on
 * @put: bytes of the response that were written, sent or not
 * @held: the user holds the response back: it is sent once it is complete
 * @expect_continue: the caller waits for "100 Continue"
 * @method_is_head: the request's method is HEAD
 * @http10: the request is HTTP/1.0
 * @head_written: the user wrote the response's head
 * @body_left: bytes of the response's body still to be written, or
 *             HTTP_LENGTH_*
 * @notify_drained: bytes are buffered; the callback drained is due once they
 *                  are sent
 */
struct http_exchange {
	struct line_item item;
	struct http_conn *conn;
	struct http_exchange *next_retired;
	void *ctx;
	struct http_out queued_out;
	char name[HTTP_NAME_BYTES];
	int passed;
	size_t put;
	int held;
	int expect_continue;
	int method_is_head;
	int http10;
	int head_written;
	int chunked;
	int no_body;
	int64_t body_left;
	int notify_drained;
};

/**
 * struct unsent_response - a complete response of which a part may be unsent
 * @end: count of bytes sent on the connection, once it is sent whole
 * @name: of its exchange
 */
struct unsent_response {
	uint64_t end;
	char name[HTTP_NAME_BYTES];
};

/**
 * enum conn_state - use of a connection
 * @CONN_LINGER: no request is read; once all bytes are sent, the sending side
 *               is closed and what the peer still sends is dropped until it
 *               closes, too
 * @CONN_ACKS: nothing is read; once the peer has acknowledged all bytes, the
 *             connection is closed
 */
enum conn_state { CONN_OPEN, CONN_LINGER, CONN_ACKS };

/**
 * struct http_conn - connection of a caller
 * @over_limit: accepted beyond the limit of connections, to be answered 503
 * @in_callback: an event of the socket or the timer is being handled; the
 *               watch and the timer are updated after it
 * @closed: closed; its memory is freed in the next iteration
 * @eof: the peer closed its sending side
 * @eof_ahead: the same, but bytes that came before may not be read yet
 * @eof_at: when the end was seen
 * @probe_at: when it is probed again whether it closed the other side, too; 0
 *            if it need not be
 * @paused: the user suspended reading
 * @send_errno: error of a failed send, 0 if none failed
 * @scheduled: conn_schedule() set the timer
 * @corked: a response's head is held back, to be sent with the first bytes of
 *          its body
 * @read_disabled: the socket was readable when nothing might be read, so that
 *                 it is no longer watched for input
 * @linger_until: when the connection is closed in CONN_LINGER or CONN_ACKS, if
 *                all bytes are sent and the peer acknowledges none
 * @look_at: when it is looked for acknowledgements in CONN_ACKS
 * @unacked: bytes that were not acknowledged when that was last looked for
 * @last_byte: when the last byte was sent or received; at first, when the
 *             connection was accepted
 * @last_taken: when the last byte was sent, or received while none was to be
 *              sent
 * @served_at: when its last exchange was over, or when it was accepted
 * @head_since: when the first byte of the head being read came, 0 if none is
 *              being read
 * @discarded: bytes of the request's body that were dropped
 * @left: its number, and what it leaves when it ends; @left.reason and
 *        @left.requests are unused
 * @left_requests: text of what it leaves, or NULL
 * @sent: bytes sent
 * @unsent: complete responses that were not sent whole when they were last
 *          looked at, or NULL
 * @why: why its first exchange failed, or no text
 * @reset: it is closed with a reset
 * @unframed: a response was begun that lasts until the connection ends
 * @line: its exchanges
 * @retired: exchanges that are over; freed after an event was handled, or
 *           with the connection
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
	int eof_ahead;
	int64_t eof_at;
	int64_t probe_at;
	int paused;
	int send_errno;
	int scheduled;
	int corked;
	int read_disabled;
	int64_t linger_until;
	int64_t look_at;
	int unacked;
	int64_t last_byte;
	int64_t last_taken;
	int64_t served_at;
	int64_t head_since;
	size_t discarded;
	struct http_conn_end left;
	GString *left_requests;
	uint64_t sent;
	GArray *unsent;
	struct kq_error why;
	int reset;
	int unframed;
	struct io_watch watch;
	struct io_timer timer;
	struct http_out out;
	struct http_in in;
	struct line line;
	struct http_exchange *retired;
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
 * @call_bytes: where bytes to be sent are counted, or NULL
 * @refused_max: most connections beyond the limit
 * @replace: which connection makes way for a new one
 * @nreplaced: those that did
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
	uint64_t accepted; /* connections since the start */
	struct io_watch watch;
	struct io_timer timer;
	struct http_conn *conns;
	struct http_conn *closed;
	struct io_timer free_timer;
	char *scratch;
	struct byte_limit *call_bytes;
	int refused_max;
	enum http_replace replace;
	uint64_t nreplaced;
};

/** server_make_place() - close a connection for a new one; whether one was */
int server_make_place(struct http_server *);

/* ---- conn.c: life of a connection, sending, what was decided ---- */

/** conn_has_input() - whether bytes that the caller sent were not read yet */
int conn_has_input(const struct http_conn *);
/** conn_close() - close a connection at once; its memory is freed in the next
 * iteration */
void conn_close(struct http_conn *);
/** conn_free_closed() - free the memory of closed connections */
void conn_free_closed(struct http_server *);
/** conn_schedule() - have the timer fire in the next iteration */
void conn_schedule(struct http_conn *);
/** conn_flush() - send buffered bytes */
void conn_flush(struct http_conn *);
/** conn_note_send() - account for the result of a send */
void conn_note_send(struct http_conn *, ssize_t);
/** conn_finish_exchange() - go on after a response that is complete */
void conn_finish_exchange(struct http_conn *, struct http_exchange *);
/** conn_end() - fail all exchanges and tell the users of those that are open;
 * then close the connection as LINE_CLOSE, LINE_RESET or LINE_DROP says. The
 * error may be NULL if there is no exchange */
void conn_end(struct http_conn *, enum line_verdict, enum http_end_cause,
    const struct kq_error *);
/** conn_await_acks() - enter CONN_ACKS */
void conn_await_acks(struct http_conn *);
/** conn_wants_read() - whether input can be used now */
int conn_wants_read(const struct http_conn *);
/** conn_update_watch() - watch the socket for what the connection waits for,
 * and set the timer */
void conn_update_watch(struct http_conn *);
/** conn_next_request() - go on reading requests after an exchange ended */
void conn_next_request(struct http_conn *);
/** conn_may_read_request() - whether another request may be read */
int conn_may_read_request(const struct http_conn *);
/** conn_unacked() - bytes given to the kernel that the peer did not
 * acknowledge */
int conn_unacked(const struct http_conn *);
/** conn_unqueue() - move what was written of the first response to the
 * connection's output */
void conn_unqueue(struct http_exchange *);
/** conn_first() - exchange whose response is sent now, or NULL */
struct http_exchange *conn_first(const struct http_conn *);
/** conn_reading() - exchange whose request is being read, or NULL */
struct http_exchange *conn_reading(const struct http_conn *);
/** exchange_new() - add an exchange after those of the connection */
struct http_exchange *exchange_new(struct http_conn *);
void exchange_free_retired(struct http_conn *);

/* ---- conn_left.c: what a connection leaves when it ends ---- */

/** conn_note_cause() - note what ends the connection, unless that is known */
void conn_note_cause(struct http_conn *, enum http_end_cause,
    const struct kq_error *);
/** conn_gone_cause() - how a caller has left, by the socket's error or 0; sets
 * the error that says so */
enum http_end_cause
conn_gone_cause(const struct http_conn *, int e, struct kq_error *);
/** conn_note_left() - count an exchange among those that the connection leaves
 */
void conn_note_left(struct http_exchange *);
/** conn_note_complete() - note a complete response, all of which is in the
 * connection's output */
void conn_note_complete(const struct http_exchange *);
/** conn_report_end() - tell the user what the connection left */
void conn_report_end(struct http_conn *);

/* ---- conn_answer.c: heads, and answers in the server's own name ---- */

/** conn_out_of() - the buffer in which a response waits to be sent */
struct http_out *conn_out_of(struct http_exchange *);
/** conn_put_head() - write status, fields and framing of a response */
void conn_put_head(struct http_exchange *, int status,
    const struct http_field *field, int nfield, int64_t length);
/** conn_sent() - what the caller may have of a response */
enum line_sent conn_sent(const struct http_exchange *);
/** conn_take_back() - forget what was written of a response, of which the
 * caller has nothing */
void conn_take_back(struct http_exchange *);
/** conn_answer() - answer an exchange in the server's own name, in its turn, in
 * place of what was written of its response */
void conn_answer(struct http_exchange *, int status, const char *outcome,
    const char *text);
/** conn_reject() - answer what is no exchange in the server's own name after
 * all exchanges, then close the connection */
void conn_reject(struct http_conn *, int status, const char *text);

/* ---- conn_time.c: timeouts ---- */

/** conn_update_timer() - have the timer fire by conn_timeout_time(), and to
 * probe the peer */
void conn_update_timer(struct http_conn *);
/** conn_timeout_time() - when the connection will have waited too long for its
 * peer; 0 while it waits for the user */
int64_t conn_timeout_time(const struct http_conn *);
/** conn_is_idle() - whether no request is being received or answered */
int conn_is_idle(const struct http_conn *);

/* ---- conn_read.c: requests ---- */

extern const struct http_in_ops conn_in_ops;
/** conn_parse() - parse the unparsed bytes and then the given ones, as far as
 * requests may be read now */
void conn_parse(struct http_conn *, const char *, size_t);
/** conn_send_continue() - send "100 Continue" if the caller waits for it, no
 * other response is due before and the user reads the body */
void conn_send_continue(struct http_conn *);
/** conn_fault() - end the message being read, which is broken or late */
void conn_fault(struct http_conn *, int status, const struct kq_error *);
/** conn_handle_eof() - handle the end of the caller's input */
void conn_handle_eof(struct http_conn *);
/** conn_handle_eof_ahead() - handle the end of the caller's input behind bytes
 * that may not be read yet */
void conn_handle_eof_ahead(struct http_conn *);
/** conn_probe() - find out whether a peer that ended its sending side still
 * waits for its responses */
void conn_probe(struct http_conn *, int64_t now);
/** conn_disconnected() - end the connection of a caller that is gone, with the
 * socket's error or 0 */
void conn_disconnected(struct http_conn *, int e);
/** conn_read() - read from the socket */
void conn_read(struct http_conn *);

/* ---- conn_event.c: events of a socket ---- */

/** conn_new() - serve an accepted socket; answers 503 and closes it if
 * @over_limit. Return: the connection, or NULL; then the caller closes @fd */
struct http_conn *conn_new(struct http_server *, int fd, int over_limit);

#endif
