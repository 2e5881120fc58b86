#ifndef KQ_PACK_H
#define KQ_PACK_H

#include <gio/gio.h>

#include "error.h"

/**
 * DOC: Compression of large values between daemons (raw deflate, RFC 1951).
 */

/** pack_bytes() - compress bytes. Return: the result, or NULL if it would not
 * be smaller */
GBytes *pack_bytes(GBytes *);
/** unpack_bytes() - undo pack_bytes()
 * @size: size of the result in bytes, which is allocated
 * Return: the bytes, or NULL with the error if they are not a whole stream of
 * that size */
GBytes *unpack_bytes(GBytes *, size_t size, struct kq_error *);

#endif
