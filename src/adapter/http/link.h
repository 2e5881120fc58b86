#ifndef KQ_HTTP_LINK_H
#define KQ_HTTP_LINK_H

#include "in.h"
#include "out.h"

/* no spare connection is opened after one was lost or could not be opened */
#define HTTP_SPARE_RETRY_US 1000000
#define HTTP_INTERIM_MAX 16 /* interim responses to one request */
#define HTTP_EXTRA_MAX 4 /* responses to earlier requests read over */
#define HTTP_EXTRA_BYTES 65536 /* most bytes of the body of one of these */
#define HTTP_EXTRA_US 50000 /* most time from its head to its end */
#define HTTP_IDLE_MAX 64 /* idle connections of a pool kept for reuse */

/**
 * enum link_state - use of a connection
 * @LINK_SPARE: no request was ever sent on it; it may still be connecting
 * @LINK_IDLE: its last call is complete and it may be used again
 * @LINK_BUSY: it has a call
 */
enum link_state { LINK_SPARE, LINK_IDLE, LINK_BUSY, LINK_STATES };

#define LINK_WAITS (-1) /* it is opened once a place is free */
#define LINK_NO_SOCKET (-2) /* it could not be opened then */

/**
 * struct http_link - connection of a pool to the pool's address
 * @fd: its socket, or LINK_WAITS or LINK_NO_SOCKET
 * @connected: connect is complete
 * @in_callback: link_handle_ready() or link_handle_timer() is running; both
 *               update the watch and the timer before they return
 * @closed: closed; its memory is freed in the next iteration
 * @send_errno: error of a failed send, or ECONNRESET after a reset while the
 *              call was paused; EPROTO if the request ended short of its
 *              length; else 0
 * @scheduled: link_schedule() set the timer
 * @corked: a request's head is held back, to be sent with the first bytes of
 *          its body
 * @read_disabled: the socket was readable while the call was paused, so that
 *                 it is no longer watched for input
 * @interim: the message being read is a 1xx response
 * @extra: the message being read is one more response to an earlier call
 * @extra_by: until when that message is waited for
 * @answered: a response to an earlier call was complete
 * @earlier_tag: tag of that call
 * @earlier_head: that call's method was HEAD
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
	int extra;
	int64_t extra_by;
	int answered;
	uint64_t earlier_tag;
	int earlier_head;
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
 * @nextra: responses to earlier calls that were read over
 * @tag: see http_call_set_tag()
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
	int nextra;
	uint64_t tag;
	int notify_drained;
	int64_t body_left;
};

/**
 * struct http_pool - connections to one address
 * @host: value of the Host field
 * @max: most connections open at once
 * @spare: connections of LINK_SPARE kept open
 * @nopen: connections open now, or waiting for a place
 * @nwaiting: those of them that wait: they are opened once fewer than @max are
 *            open or ending
 * @count: connections open now, by state
 * @links: connections by state, those that entered it last first
 * @free_calls: calls whose memory is reused
 * @closed: closed connections, not yet freed
 * @endings: connections that were closed, but not yet by the peer
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
	int nwaiting;
	int count[LINK_STATES];
	struct http_link *links[LINK_STATES];
	struct http_call *free_calls;
	struct http_link *closed;
	GQueue endings;
	struct io_timer free_timer;
	struct io_timer timer;
	char *scratch;
	struct byte_limit *call_bytes;
};

/** link_new() - open a connection to the pool's address, or NULL with the
 * error; it waits until the peer has closed one if too many may be open there
 */
struct http_link *link_new(struct http_pool *, struct kq_error *);
/** link_adopt() - add a socket to the pool; closes it on error */
struct http_link *
link_adopt(struct http_pool *, int fd, int connected, struct kq_error *);
/** link_close() - close a connection at once; it keeps its place until the peer
 * has closed it, and its memory is freed in the next iteration */
void link_close(struct http_link *);
/** link_free_closed() - free the memory of closed connections */
void link_free_closed(struct http_pool *);
/** link_connect() - open a connection that waited */
void link_connect(struct http_link *);
/** ending_begin() - close a connection's own side and wait for the peer to
 * close its own, for a time */
void ending_begin(struct http_pool *, int fd);
/** ending_free_all() - wait for none any more */
void ending_free_all(struct http_pool *);
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
/** pool_places() - connections that the peer may count as open */
int pool_places(const struct http_pool *);
/** pool_connect_waiting() - open those that wait, as far as places are free */
void pool_connect_waiting(struct http_pool *);
/** pool_open_spare() - open missing spare connections, unless one was lost or
 * could not be opened within HTTP_SPARE_RETRY_US */
void pool_open_spare(struct http_pool *);
/** pool_open_spare_later() - open missing spare connections after
 * HTTP_SPARE_RETRY_US */
void pool_open_spare_later(struct http_pool *);
void call_free(struct http_call *);

#endif
