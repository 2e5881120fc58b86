#ifndef KQ_HTTP_H
#define KQ_HTTP_H

#include <stddef.h>
#include <stdint.h>

#include "byte_limit.h"
#include "error.h"
#include "http_places.h"
#include "io.h"

/**
 * DOC: HTTP/1.1 server for callers and client for targets.
 *
 * Messages are parsed by the http-parser library; this adapter moves bytes
 * between it and non-blocking sockets. The client never resends a request nor
 * follows redirects, and reports for each request whether any byte of it was
 * given to the kernel, since the outcome "not run" relies on that.
 *
 * Besides what the parser rejects, these are rejected: Content-Length together
 * with Transfer-Encoding, either of them twice, a transfer coding other than
 * chunked, chunked in HTTP/1.0, folded fields, two Host fields, versions other
 * than 1.0 and 1.1, CONNECT, and a status line that is not a version, a space,
 * three digits from 100 to 599 and a space. Requests to upgrade are read as
 * plain requests.
 *
 * The server answers broken and late requests itself. These responses carry the
 * field Kumquatrock-Outcome: "not-run" if the user of the adapter never saw the
 * request, "unknown" if it was handed to the user before it broke.
 *
 * A caller that closes its sending side after a complete request still gets its
 * response. Since a caller that closed the connection in both directions looks
 * the same, the server then sends an HTTP/1.1 caller "100 Continue" over and
 * over until the response begins: a closed socket answers with a reset, upon
 * which the exchange fails (http_server_ops.failed). No interim response can go
 * to an HTTP/1.0 caller, nor into a response that has begun:
 * http_limits.eof_cancels tells what happens then.
 *
 * Requests that follow a GET or HEAD on one connection (pipelining) are handed
 * to the user at once, up to HTTP_PIPELINE_MAX; their responses are sent in the
 * order of the requests.
 *
 * A user may end, abort or cancel anything from within any callback, but may
 * not free the server, the pool or the loop there, nor iterate the context.
 *
 * Back pressure: http_exchange_write() and http_call_write() accept any number
 * of bytes and return how many are not yet sent. A user that finds this above a
 * bound of its own stops its source and waits for the drained callback.
 * http_exchange_pause() and http_call_pause() suspend reading.
 */

struct http_field {
	const char *name;
	const char *value;
};

#define HTTP_FIELDS_MAX 64
#define HTTP_PIPELINE_MAX 16 /* exchanges at once on one connection */
#define HTTP_NAME_BYTES 64 /* of an exchange's name, with its end */
#define HTTP_LENGTH_NONE (-1) /* no body */
#define HTTP_LENGTH_CHUNKED (-2) /* length not known in advance */

/**
 * struct http_head - start line and header fields of a message
 * @method: request method, NULL in a response
 * @path: request target as sent, NULL in a response
 * @status: response status, 0 in a request
 * @length: body length in bytes, or HTTP_LENGTH_*
 * @nfield: fields in use
 *
 * All strings belong to the connection and last until its next message.
 */
struct http_head {
	const char *method;
	const char *path;
	int status;
	int64_t length;
	int nfield;
	struct http_field field[HTTP_FIELDS_MAX];
};

/** http_head_find() - find a field by its name in any case. Return: its value,
 * or NULL */
const char *http_head_find(const struct http_head *, const char *name);

enum http_error_code {
	HTTP_E_SYNTAX = 1, /* malformed, or rejected as told above */
	HTTP_E_HEAD_SIZE, /* start line and fields exceed head_bytes */
	HTTP_E_FIELDS, /* more than HTTP_FIELDS_MAX fields */
	HTTP_E_TIMEOUT, /* head_ms or idle_ms expired */
	HTTP_E_CLOSED, /* connection lost before the message was complete */
	HTTP_E_CONNECT, /* could not connect, or no connection is free */
	HTTP_E_BIND, /* could not listen */
	HTTP_E_SOCKET /* could not watch the socket */
};

/**
 * struct http_limits - limits of a server or a pool
 * @head_bytes: most bytes of a message's start line and fields, default 16384
 * @connections: most connections of a server, default 1024; more are answered
 *               503 and closed
 * @head_ms: most time for a server to receive a whole head and for a pool to
 *           connect, default 5000
 * @idle_ms: most time without a byte on a connection, default 60000
 * @eof_cancels: nonzero if a caller that closed its sending side counts as
 *            disconnected where no bytes can tell: it speaks HTTP/1.0, or its
 *            response had begun and stands still since then
 */
struct http_limits {
	int head_bytes;
	int connections;
	int head_ms;
	int idle_ms;
	int eof_cancels;
};
#define HTTP_LIMITS_DEFAULT                 \
	{                                   \
		16384, 1024, 5000, 60000, 0 \
	}

/* ---- server ---- */

struct http_server;
struct http_exchange; /* one request and its response */

/**
 * enum http_end_cause - what ended a caller's connection
 * @HTTP_END_NONE: it is not ended, or was closed with nothing left on it
 * @HTTP_END_CALLER_EOF: the caller ended its sending side, and may have left
 * @HTTP_END_CALLER_CLOSED: the caller ended both its sides
 * @HTTP_END_CALLER_RESET: the caller reset it, or is not reached any more
 * @HTTP_END_BROKEN_RESPONSE: a response broke off after its head had been sent
 * @HTTP_END_CLOSING_RESPONSE: a whole response after which no other may come
 * @HTTP_END_BAD_REQUEST: a malformed request, or one that is too large
 * @HTTP_END_SLOW_REQUEST: a request that came too slowly
 * @HTTP_END_SLOW_READER: the caller took no byte of its responses for too long
 * @HTTP_END_MEMORY: the same, ended sooner to free memory
 * @HTTP_END_REPLACED: it made way for a new connection
 * @HTTP_END_SERVER: the server ended
 */
enum http_end_cause {
	HTTP_END_NONE,
	HTTP_END_CALLER_EOF,
	HTTP_END_CALLER_CLOSED,
	HTTP_END_CALLER_RESET,
	HTTP_END_BROKEN_RESPONSE,
	HTTP_END_CLOSING_RESPONSE,
	HTTP_END_BAD_REQUEST,
	HTTP_END_SLOW_REQUEST,
	HTTP_END_SLOW_READER,
	HTTP_END_MEMORY,
	HTTP_END_REPLACED,
	HTTP_END_SERVER
};

/** http_end_cause_name() - word for a cause, for logs */
const char *http_end_cause_name(enum http_end_cause);
/** http_end_by_caller() - whether the caller is known to have ended the
 * connection */
int http_end_by_caller(enum http_end_cause);

/**
 * struct http_conn_end - what a caller's connection that ended had left
 * @number: of the connection, see http_exchange_conn_number()
 * @cause: what ended it
 * @reason: the same in words
 * @exchanges: requests that have no whole response, or whose response had to
 *             wait for its turn
 * @requests: "NAME/STATE" of each of them, separated by commas, see
 *            http_exchange_set_name(). States: "waiting" (not passed on),
 *            "passed", "begun" (a part of the response was written), "broken",
 *            "whole" (the response waited for its turn); before them requests
 *            whose response is complete and not sent whole, "unsent"
 * @open: how many of them the user had not ended
 * @unsent: bytes of responses that were not sent; if the connection was reset,
 *          also those that the caller had not acknowledged
 */
struct http_conn_end {
	uint64_t number;
	enum http_end_cause cause;
	const char *reason;
	int exchanges;
	const char *requests;
	int open;
	size_t unsent;
};

/**
 * struct http_held - bytes that the connections of a server or a pool hold
 * @unsent: to be sent
 * @input: received, in heads or not yet parsed
 */
struct http_held {
	size_t unsent;
	size_t input;
};

/**
 * struct http_server_ops - events of a server; @ctx is the server's
 * @request: request head is complete; set the exchange's context with
 *           http_exchange_set_ctx() before returning
 * @body: bytes of the request's body, in order
 * @end: request is complete
 * @drained: all bytes written so far were given to the kernel
 * @became_first: optional; all requests before this one on its connection have
 *           complete responses now, see http_exchange_has_predecessor()
 * @failed: the exchange failed: the caller disconnected, sent a broken message
 *          or was too slow before the response was complete, or an earlier
 *          response closed the connection; @err says which, and
 *          http_exchange_end_cause() whether the connection ended. The exchange
 *          is freed after this returns. Not called after http_exchange_end() or
 *          http_exchange_abort().
 * @rejected: optional; the server itself answered a broken or late message with
 *            400, 408, 413 or 431
 * @ended: optional; a connection was closed with requests unanswered or bytes
 *         unsent, also by http_server_free(); at most once for each
 * @refused: optional; a connection is not served; @error is an errno value or 0
 * @replaced: optional; a connection made way for a new one, see
 *            http_server_replace_idle(); @total of them did
 */
struct http_server_ops {
	void (*request)(void *ctx, struct http_exchange *,
	    const struct http_head *);
	void (*body)(void *ctx, struct http_exchange *, const void *, size_t);
	void (*end)(void *ctx, struct http_exchange *);
	void (*drained)(void *ctx, struct http_exchange *);
	void (*became_first)(void *ctx, struct http_exchange *);
	void (*failed)(void *ctx, struct http_exchange *,
	    const struct kq_error *err);
	void (*rejected)(void *ctx, const struct kq_error *err);
	void (*ended)(void *ctx, const struct http_conn_end *);
	void (*refused)(void *ctx, enum http_refusal, int error);
	void (*replaced)(void *ctx, uint64_t total);
};

struct http_server *http_server_new(struct io_loop *, const char *ip, int port,
    const struct http_limits *, const struct http_server_ops *, void *ctx,
    struct kq_error *);
/** http_server_set_limits() - change the limits; head_bytes applies to new
 * connections only */
void http_server_set_limits(struct http_server *, const struct http_limits *);
/** http_server_disable_keepalive() - keep serving, but close each connection
 * after its next response ("Connection: close") */
void http_server_disable_keepalive(struct http_server *);
/**
 * http_server_stop() - close the listening socket and then the connections
 *
 * Each connection closes after its response ("Connection: close"), an idle one
 * after 1 s (300 ms if http_server_disable_keepalive() came before), in which a
 * request that was already being sent is still answered. Callers have received
 * their responses whole only when http_server_connections() returns 0.
 */
void http_server_stop(struct http_server *);
/** http_server_connections() - number of open connections, without those
 * beyond the limit */
int http_server_connections(const struct http_server *);
/** http_server_is_listening() - whether connections are still accepted; for a
 * moment after a stop, those whose handshake had begun are */
int http_server_is_listening(const struct http_server *);
/** http_server_set_call_bytes() - count the unsent bytes of new connections in
 * a limit, which lasts as long as the server */
void http_server_set_call_bytes(struct http_server *, struct byte_limit *);
/** http_server_end_stalled() - end the connection whose caller has unsent bytes
 * and took none for the longest time, if it took the last one before @before.
 * Return: whether there was one */
int http_server_end_stalled(struct http_server *, int64_t before);
/** http_server_held() - add up what the connections hold */
void http_server_held(const struct http_server *, struct http_held *);
/** http_server_unbind() - let the kernel take more of what is unsent, shortly
 * before the end of the process, about @sum bytes for all callers */
void http_server_unbind(struct http_server *, int sum);
/** http_server_finish() - without the loop, send what is left and close the
 * connections whose requests have ended; waits until @until at most */
void http_server_finish(struct http_server *, int64_t until);
/** http_server_free() - close all connections; each open exchange fails, so
 * that nothing refers to it any more */
void http_server_free(struct http_server *);

void http_exchange_set_ctx(struct http_exchange *, void *);
void *http_exchange_ctx(const struct http_exchange *);
/** http_exchange_conn_number() - number of the connection, from 1 in the order
 * in which the server accepted them */
uint64_t http_exchange_conn_number(const struct http_exchange *);
/** http_exchange_set_name() - name the exchange in http_conn_end.requests; what
 * exceeds HTTP_NAME_BYTES - 1 is left out */
void http_exchange_set_name(struct http_exchange *, const char *);
/** http_exchange_set_passed() - note that the request was passed on */
void http_exchange_set_passed(struct http_exchange *);
/** http_exchange_end_cause() - what ended the connection */
enum http_end_cause http_exchange_end_cause(const struct http_exchange *);
/**
 * http_exchange_has_predecessor() - whether earlier requests on the connection
 * have no complete response
 *
 * If one of their responses closes the connection, this request counts as never
 * read and the caller sends it again, so that only idempotent requests may be
 * run while this returns nonzero.
 */
int http_exchange_has_predecessor(const struct http_exchange *);
/** http_exchange_next() - the exchange right behind this one on the connection,
 * or NULL; its context is NULL once the user has ended it */
struct http_exchange *http_exchange_next(const struct http_exchange *);
/** http_exchange_must_wait() - whether an earlier response on the connection is
 * being sent piece by piece: if it breaks off, this request counts as never
 * read */
int http_exchange_must_wait(const struct http_exchange *);
/** http_exchange_hold() - send nothing of a response, of which nothing was
 * written yet, before it is complete or released */
void http_exchange_hold(struct http_exchange *);
/** http_exchange_release() - send what was held. Return: bytes not yet sent */
size_t http_exchange_release(struct http_exchange *);
/** http_exchange_write_head() - send status and fields of the response. The
 * adapter writes the framing fields (Content-Length, Transfer-Encoding,
 * Connection) from @length; they must not be among @field */
void http_exchange_write_head(struct http_exchange *, int status,
    const struct http_field *field, int nfield, int64_t length);
/** http_exchange_write() - send bytes of the response's body. Return: bytes not
 * yet sent */
size_t http_exchange_write(struct http_exchange *, const void *, size_t);
/** http_exchange_unsent() - get the bytes not yet sent; unless NULL, @b counts
 * them, too, until the connection has none, and drained is called for parts */
size_t http_exchange_unsent(struct http_exchange *, struct byte_limit *b);
/** http_exchange_end() - complete the response; the exchange is invalid after.
 * A response without head or with fewer bytes than announced is aborted. What
 * has not come yet of the request's body is read and dropped; a long one closes
 * the connection. */
void http_exchange_end(struct http_exchange *);
/**
 * http_exchange_abort() - give a response up; the exchange is invalid after
 *
 * If nothing of it has reached the caller, the server answers 502, outcome
 * "unknown", in its turn, and the connection goes on. Otherwise the connection
 * ends after the bytes that were written, with a reset only where the framing
 * does not show that the response is broken, and requests behind it fail.
 */
void http_exchange_abort(struct http_exchange *);
/** http_exchange_take_back() - forget the head and all bytes written of a
 * response, if nothing of it was given to the kernel. Return: whether that was
 * so; then another head may be written */
int http_exchange_take_back(struct http_exchange *);
/** http_exchange_pause() - suspend (@on nonzero) or resume reading from the
 * exchange's connection */
void http_exchange_pause(struct http_exchange *, int on);

/* ---- client ---- */

struct http_pool; /* connections to one address */
struct http_call; /* one request and its response */

/**
 * struct http_call_ops - events of a call; @ctx is the call's
 * @head: response head is complete (1xx responses are skipped)
 * @body: bytes of the response's body
 * @done: response is complete; the call is invalid after this returns
 * @failed: the response is missing or incomplete. @sent says whether any byte
 *          of the request may have reached the other side. The call is invalid
 *          after this returns.
 * @drained: all request bytes written so far were given to the kernel
 * @is_extra: whether this head, on a connection used before, is that of one
 *            more response to an earlier call; that is read over then, and the
 *            call's own awaited; may be NULL
 */
struct http_call_ops {
	void (*head)(void *ctx, const struct http_head *);
	void (*body)(void *ctx, const void *, size_t);
	void (*done)(void *ctx);
	void (*failed)(void *ctx, const struct kq_error *, int sent);
	void (*drained)(void *ctx);
	int (*is_extra)(void *ctx, const struct http_head *);
};

/**
 * http_pool_new() - create a pool of connections to one address
 * @max: most connections open at once
 * @spare: connections opened ahead of calls, on which no request was sent
 */
struct http_pool *http_pool_new(struct io_loop *, const char *ip, int port,
    int max, int spare, const struct http_limits *);
/** http_pool_free() - close all connections; calls get no callback */
void http_pool_free(struct http_pool *);
/** http_pool_set_call_bytes() - count the unsent bytes of new calls in a limit,
 * which lasts as long as the pool */
void http_pool_set_call_bytes(struct http_pool *, struct byte_limit *);
/** http_pool_held() - add up what the connections with a call hold */
void http_pool_held(const struct http_pool *, struct http_held *);
/** http_pool_connections() - number of connections that are open */
int http_pool_connections(const struct http_pool *);
/** http_pool_busy_connections() - number of connections that have a call */
int http_pool_busy_connections(const struct http_pool *);

/**
 * http_call_start() - send a request on an idle or a new connection
 * @unused_only: nonzero to use only a connection on which no request was ever
 *               sent (spare ones included), for requests that must not meet a
 *               connection that its peer is about to close
 *
 * If all connections are busy it fails with HTTP_E_CONNECT and nothing is sent.
 * A connection found closed before the first byte was sent is replaced by a new
 * one. Return: the call, or NULL with the error; no callback runs before this
 * returns.
 */
struct http_call *
http_call_start(struct http_pool *, const char *method, const char *path,
    const struct http_field *, int nfield, int64_t length, int unused_only,
    const struct http_call_ops *, void *ctx, struct kq_error *);
/** http_call_write() - send bytes of the request's body. Return: bytes not yet
 * sent */
size_t http_call_write(struct http_call *, const void *, size_t);
/** http_call_end_request() - complete the request; not needed for one without a
 * body. With fewer bytes than announced the call fails */
void http_call_end_request(struct http_call *);
/** http_call_cancel() - close the connection; no callback follows. Return:
 * nonzero if any byte may have reached the other side */
int http_call_cancel(struct http_call *);
/**
 * http_call_shutdown() - cancel a call and wait for the other side to notice
 *
 * The sending side of the connection is closed, which the other side takes as
 * cancellation; @done or @failed follows when it has closed the connection too
 * or has answered all the same. Return: nonzero, or 0 if nothing or not all of
 * what was written was sent; then nothing was done.
 */
int http_call_shutdown(struct http_call *);
/** http_call_is_first() - whether no response came before on the connection of
 * a call, so that what comes can't be a copy of an earlier one */
int http_call_is_first(const struct http_call *);
/** http_call_set_tag() - set a number by which the next call on the connection
 * knows this one */
void http_call_set_tag(struct http_call *, uint64_t tag);
/** http_call_earlier_tag() - the tag of the call before this one on its
 * connection, 0 if it has none */
uint64_t http_call_earlier_tag(const struct http_call *);
/** http_call_pause() - suspend (@on nonzero) or resume reading the response */
void http_call_pause(struct http_call *, int on);

#endif
