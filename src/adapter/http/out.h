#ifndef KQ_HTTP_OUT_H
#define KQ_HTTP_OUT_H

#include <stddef.h>
#include <stdint.h>
#include <sys/uio.h>

#include "byte_limit.h"

#define HTTP_OUT_KEEP_BYTES 65536 /* larger buffers are freed if empty */

/**
 * struct http_out - bytes to be sent
 * @off: bytes before it were sent
 * @len: end of the bytes to be sent, counted from @data
 * @cap: bytes allocated
 * @limit: where bytes to be sent are counted, or NULL
 * @ahead: where they are counted, too, until there are none, or NULL
 */
struct http_out {
	char *data;
	size_t off;
	size_t len;
	size_t cap;
	struct byte_limit *limit;
	struct byte_limit *ahead;
};

/** out_pending() - bytes not yet sent */
size_t out_pending(const struct http_out *);
void out_add(struct http_out *, const void *, size_t n);
void out_text(struct http_out *, const char *);
void out_field(struct http_out *, const char *name, const char *value);
/** out_int() - append a number in decimal */
void out_int(struct http_out *, int64_t);
/** out_run_ahead() - count the bytes to be sent in a second limit, too, until
 * there are none */
void out_run_ahead(struct http_out *, struct byte_limit *);
/** out_drop_last() - drop the last @n bytes, none of which was sent */
void out_drop_last(struct http_out *, size_t n);
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

#endif
