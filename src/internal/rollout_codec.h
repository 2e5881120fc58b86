#ifndef KQ_ROLLOUT_CODEC_H
#define KQ_ROLLOUT_CODEC_H

#include <stddef.h>

#include "rollout.h"

/**
 * DOC: Reports of targets' daemons, as notices hold them, and news of a
 * roll-back, as notes of members hold them (member.h), in XDR (RFC 4506).
 */

/* bytes of the longest report: 56, and 64 for each route */
#define ROLLOUT_REPORT_BYTES (56 + 64 * ROLLOUT_ROUTES_MAX)
/* bytes of the longest news: type, order, state and two strings */
#define ROLLOUT_NEWS_BYTES (16 + 4 + SERVICE_NAME_MAX + 4 + ROLLOUT_VERSION_MAX)

/** struct rollout_news - a final state of an order */
struct rollout_news {
	uint64_t order;
	enum rollout_state state;
	char service[SERVICE_NAME_MAX];
	char version[ROLLOUT_VERSION_MAX];
};

/** rollout_report_encode() - Return: bytes written, 0 if they do not fit */
size_t rollout_report_encode(const struct rollout_report *, unsigned char *buf,
    size_t size);
/** rollout_report_decode() - Return: 0, or -1 if the bytes are no report */
int rollout_report_decode(struct rollout_report *, const unsigned char *buf,
    size_t size);
/** rollout_news_encode() - Return: bytes written, 0 if they do not fit */
size_t rollout_news_encode(const struct rollout_news *, unsigned char *buf,
    size_t size);
/** rollout_news_decode() - Return: 0, or -1 if the bytes are no such news */
int rollout_news_decode(struct rollout_news *, const unsigned char *buf,
    size_t size);

#endif
