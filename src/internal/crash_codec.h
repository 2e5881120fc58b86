#ifndef KQ_CRASH_CODEC_H
#define KQ_CRASH_CODEC_H

#include <stddef.h>

#include "crash.h"

/**
 * DOC: News about requests that crash targets, as daemons send them in notes
 * (member.h), in XDR (RFC 4506).
 */

/* bytes of the longest news: kind, start, count and digests */
#define CRASH_NEWS_BYTES (16 + 8 * CRASH_GROUP_MAX)

/** crash_news_encode() - Return: bytes written, 0 if they do not fit */
size_t
crash_news_encode(const struct crash_news *, unsigned char *buf, size_t size);
/** crash_news_decode() - Return: 0, or -1 if the bytes are no news */
int
crash_news_decode(struct crash_news *, const unsigned char *buf, size_t size);

#endif
