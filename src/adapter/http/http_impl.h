#ifndef KQ_HTTP_IMPL_H
#define KQ_HTTP_IMPL_H

#include <http_parser.h>
#include <sys/uio.h>

#include "byte_limit.h"
#include "http.h"

#define HTTP_READ_BYTES 65536 /* read from a socket at once */
#define HTTP_LENGTH_MAX (1LL << 50) /* largest Content-Length, bytes */
#define HTTP_UNSENT_MAX 65536 /* with more, no further request is read */
#define HTTP_KERNEL_UNSENT_BYTES 65536 /* taken by the kernel for a caller */
#define HTTP_OUT_KEEP_BYTES 65536 /* larger buffers are freed if empty */
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
/* no spare connection is opened after one was lost or could not be opened */
#define HTTP_SPARE_RETRY_US 1000000
#define HTTP_INTERIM_MAX 16 /* interim responses to one request */
#define HTTP_IDLE_MAX 64 /* idle connections of a pool kept for reuse */
#define HTTP_REFUSED_MAX 64 /* connections being closed after a 503 */
#define HTTP_US_PER_MS 1000

/* ---- send buffer ---- */

/**
 * struct http_out - bytes to be sent
 * @off: bytes before it were sent
 * @len: end of the bytes to be sent, counted from @data
 * @cap: bytes allocated
 * @limit: where bytes to be sent are counted, or NULL
 */
struct http_out {
	char *data;
	size_t off;
	size_t len;
	size_t cap;
	struct byte_limit *limit;
};

/** out_pending() - bytes not yet sent */
size_t out_pending(const struct http_out *);
void out_add(struct http_out *, const void *, size_t n);
void out_text(struct http_out *, const char *);
void out_field(struct http_out *, const char *name, const char *value);
/** out_int() - append a number in decimal */
void out_int(struct http_out *, int64_t);
/** out_clear() - drop all bytes and free the buffer */
void out_clear(struct http_out *);
/**
 * out_send() - send the buffered bytes and then @iov with one system call
 *
 * What the kernel does not take stays in the buffer.
 * Return: bytes taken, or -1 with errno; then all bytes are in the buffer.
 */
ssize_t out_send(struct http_out *, int fd, const struct iovec *, int niov);
/**
 * out_body() - send or buffer bytes of a body, as one chunk if @chunked
 * @send_now: nonzero to call out_send(), 0 to append to the buffer only
 *
 * Return: the same as out_send(), 0 if nothing was sent.
 */
ssize_t out_body(struct http_out *, int fd, const void *, size_t, int chunked,
    int send_now);

/* ---- parser of messages ---- */

/* where in_scan_head() stands in the head of a message */
enum scan_state {
	SCAN_START, /* in empty lines before the start line */
	SCAN_LINE, /* within a line */
	SCAN_LINE_START, /* after a line feed */
	SCAN_CR, /* after a carriage return at the start of a line */
	SCAN_END, /* after the empty line that ends the head */
	SCAN_FOLD /* at a line that continues a field: not accepted */
};

struct http_in;

/**
 * struct http_in_ops - events of a parser; @ctx is the parser's
 * @head: head is complete; nonzero if the message has no body, -1 on error
 * @body: bytes of the body
 * @end: message is complete
 */
struct http_in_ops {
	int (*head)(void *ctx, struct http_in *);
	void (*body)(void *ctx, const void *, size_t);
	void (*end)(void *ctx);
};

/**
 * struct http_in - parser of the messages received on one connection
 * @head_max: most bytes of a head
 * @head_bytes: bytes of this message's head so far
 * @head_done: head is complete
 * @ended: message is complete
 * @keep_alive: the peer allows another message on the connection
 * @paused: parsing is suspended
 * @in_value: the part of a field parsed last was of its value, not of its name
 * @error_status: status with which a server answers the broken message, 0 if
 *                it is not broken
 * @err: what is wrong with the message
 * @text: request target, names and values of the head, each NUL-terminated
 * @name_at: offset of each field's name in @text
 * @value_at: offset of each field's value in @text
 * @unparsed: bytes received and not yet parsed
 * @call_bytes: where these are counted, or NULL
 */
struct http_in {
	http_parser parser;
	const struct http_in_ops *ops;
	void *ctx;
	enum http_parser_type type;
	size_t head_max;
	size_t head_bytes;
	enum scan_state scan;
	int head_done;
	int ended;
	int keep_alive;
	int paused;
	int in_value;
	int nfield;
	int error_status;
	struct kq_error err;
	char *text;
	size_t text_len;
	size_t text_cap;
	uint32_t name_at[HTTP_FIELDS_MAX];
	uint32_t value_at[HTTP_FIELDS_MAX];
	struct http_head head;
	char *unparsed;
	size_t unparsed_len;
	struct byte_limit *call_bytes;
};

void in_init(struct http_in *, enum http_parser_type, int head_max,
    const struct http_in_ops *, void *ctx);
/** in_next_message() - prepare for another message; unparsed bytes are kept */
void in_next_message(struct http_in *);
void in_clear(struct http_in *);
/** in_feed() - parse the unparsed bytes and then @data until the message is
 * complete or parsing is paused; what is left becomes the unparsed bytes.
 * Return: 0, or -1 with err and error_status set */
int in_feed(struct http_in *, const void *data, size_t);
/** in_feed_eof() - tell the parser that the peer sends no more bytes.
 * Return: 0, or -1 if this cut a message off */
int in_feed_eof(struct http_in *);
/** in_is_partial() - whether a message was received in part */
int in_is_partial(const struct http_in *);
void in_pause(struct http_in *, int on);
/** in_set_error() - set err and error_status. Return: always -1 */
int in_set_error(struct http_in *, int status, int code, const char *text);
/** in_check_head() - check the rules of framing that the parser does not, and
 * fill in the head's length. Return: 0 or in_set_error() */
int in_check_head(struct http_in *);
/** in_scan_head() - find the end of the head and folded fields; changes scan.
 * Return: bytes that belong to the head, at most @n */
size_t in_scan_head(struct http_in *, const char *, size_t n);
extern const http_parser_settings in_parser_settings;

/** http_no_body() - whether a response with this status has no body */
int http_no_body(int status);

/* ---- server ---- */

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
 * @call_bytes: where bytes to be sent are counted, or NULL
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
	struct byte_limit *call_bytes;
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

/* ---- client ---- */

/**
 * enum link_state - use of a connection
 * @LINK_SPARE: no request was ever sent on it; it may still be connecting
 * @LINK_IDLE: its last call is complete and it may be used again
 * @LINK_BUSY: it has a call
 */
enum link_state { LINK_SPARE, LINK_IDLE, LINK_BUSY, LINK_STATES };

/**
 * struct http_link - connection of a pool to the pool's address
 * @connected: connect is complete
 * @in_callback: link_handle_ready() or link_handle_timer() is running; both
 *               update the watch and the timer before they return
 * @closed: closed; its memory is freed in the next iteration
 * @send_errno: error of a failed send, 0 if none failed
 * @scheduled: link_schedule() set the timer
 * @corked: a request's head is held back, to be sent with the first bytes of
 *          its body
 * @read_disabled: the socket was readable while the call was paused, so that
 *                 it is no longer watched for input
 * @interim: the message being read is a 1xx response
 * @answered: a response to an earlier call was complete
 * @last_byte: when the last byte was sent or received, or when the connection
 *             or its call began, if later
 */
struct http_link {
	struct http_pool *pool;
	struct http_link *prev;
	struct http_link *next;
	int fd;
	enum link_state state;
	int connected;
	int in_callback;
	int closed;
	int send_errno;
	int scheduled;
	int corked;
	int read_disabled;
	int interim;
	int answered;
	int64_t last_byte;
	struct io_watch watch;
	struct io_timer timer;
	struct http_out out;
	struct http_in in;
	struct http_call *call;
};

/**
 * struct http_call - one request and its response
 * @next: next in the pool's list of free calls
 * @method_is_head: the request's method is HEAD
 * @ended: request is complete, or the call was given up
 * @sent: bytes of the request were given to the kernel
 * @link_replaceable: if the connection is lost before anything is sent, a new
 *                    one takes its place; set if it was connected when the
 *                    call began
 * @paused: the user suspended reading
 * @half_closed: the user gave the call up by http_call_shutdown()
 * @notify_drained: bytes are buffered; the callback drained is due once they
 *                  are sent
 * @body_left: bytes of the request's body still to be written, or
 *             HTTP_LENGTH_*
 */
struct http_call {
	struct http_pool *pool;
	struct http_link *link;
	struct http_call *next;
	const struct http_call_ops *ops;
	void *ctx;
	int method_is_head;
	int chunked;
	int ended;
	int sent;
	int link_replaceable;
	int paused;
	int half_closed;
	int ninterim;
	int notify_drained;
	int64_t body_left;
};

/**
 * struct http_pool - connections to one address
 * @host: value of the Host field
 * @max: most connections open at once
 * @spare: connections of LINK_SPARE kept open
 * @nopen: connections open now
 * @count: connections open now, by state
 * @links: connections by state, those that entered it last first
 * @free_calls: calls whose memory is reused
 * @closed: closed connections, not yet freed
 * @free_timer: frees @closed
 * @timer: opens spare connections after HTTP_SPARE_RETRY_US
 * @scratch: receive buffer of HTTP_READ_BYTES, shared by all connections
 * @call_bytes: where bytes to be sent are counted, or NULL
 */
struct http_pool {
	struct io_loop *loop;
	struct http_limits limits;
	char *ip;
	char *host;
	int port;
	int max;
	int spare;
	int nopen;
	int count[LINK_STATES];
	struct http_link *links[LINK_STATES];
	struct http_call *free_calls;
	struct http_link *closed;
	struct io_timer free_timer;
	struct io_timer timer;
	char *scratch;
	struct byte_limit *call_bytes;
};

/** link_new() - open a connection to the pool's address, or NULL with the error
 */
struct http_link *link_new(struct http_pool *, struct kq_error *);
/** link_adopt() - add a socket to the pool; closes it on error */
struct http_link *
link_adopt(struct http_pool *, int fd, int connected, struct kq_error *);
/** link_close() - close a connection at once; its memory is freed in the next
 * iteration */
void link_close(struct http_link *);
/** link_free_closed() - free the memory of closed connections */
void link_free_closed(struct http_pool *);
void link_set_state(struct http_link *, enum link_state);
/** link_is_alive() - whether a connection that has no call is usable: still
 * connecting, or connected and neither closed by the peer nor with input */
int link_is_alive(const struct http_link *);
/** link_schedule() - have link_handle_timer() called in the next iteration */
void link_schedule(struct http_link *);
/** link_flush() - send buffered bytes */
void link_flush(struct http_link *);
/** link_note_send() - account for the result of a send */
void link_note_send(struct http_link *, ssize_t);
/** link_fail() - close the connection and end its call; a call of which nothing
 * was sent moves to a new connection instead if its own was connected when the
 * call began */
void link_fail(struct http_link *, const struct kq_error *);
/** link_update_watch() - watch the socket for what the connection waits for,
 * and set the timer */
void link_update_watch(struct http_link *);
/** link_handle_ready() - handle the socket's IO_* bits that are ready */
void link_handle_ready(struct http_link *, int ready);
/** link_handle_timer() - handle what was scheduled, and timeouts */
void link_handle_timer(struct http_link *, int64_t now);
/** link_timeout_time() - when the connection will have waited too long for its
 * peer; 0 while it waits for the user */
int64_t link_timeout_time(const struct http_link *);
extern const struct http_in_ops link_in_ops;
/** pool_get_link() - find or open a connection for a call, see
 * http_call_start(); NULL with the error if there is none */
struct http_link *
pool_get_link(struct http_pool *, int unused_only, struct kq_error *);
/** pool_open_spare() - open missing spare connections, unless one was lost or
 * could not be opened within HTTP_SPARE_RETRY_US */
void pool_open_spare(struct http_pool *);
/** pool_open_spare_later() - open missing spare connections after
 * HTTP_SPARE_RETRY_US */
void pool_open_spare_later(struct http_pool *);
void call_free(struct http_call *);

#endif
