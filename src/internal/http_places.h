#ifndef KQ_HTTP_PLACES_H
#define KQ_HTTP_PLACES_H

#include <stdint.h>

/**
 * DOC: What a server does when it has as many connections as it may have, or
 * can accept none.
 */

struct http_server;

/**
 * enum http_refusal - why a caller's connection is not served
 * @HTTP_REFUSAL_LIMIT: there are too many; it is answered 503
 * @HTTP_REFUSAL_UNANSWERED: the same, and too many are being answered so; it is
 *                           closed without an answer
 * @HTTP_REFUSAL_WATCH: its socket can't be watched; the same
 * @HTTP_REFUSAL_ACCEPT: it can't be accepted, which is tried again
 */
enum http_refusal {
	HTTP_REFUSAL_LIMIT,
	HTTP_REFUSAL_UNANSWERED,
	HTTP_REFUSAL_WATCH,
	HTTP_REFUSAL_ACCEPT,
	HTTP_REFUSALS
};

/** http_refusal_name() - word for it, for logs */
const char *http_refusal_name(enum http_refusal);

/**
 * enum http_replace - which connection makes way for a new one when there are
 * too many
 * @HTTP_REPLACE_NONE: none; the new one is refused
 * @HTTP_REPLACE_IDLE: the one that has had no request for the longest time, if
 *                     that is a second or more, and nothing is to be sent on it
 * @HTTP_REPLACE_ANY: the one whose last response is the longest ago and of
 *                    which no whole request is being worked on
 */
enum http_replace { HTTP_REPLACE_NONE, HTTP_REPLACE_IDLE, HTTP_REPLACE_ANY };

/** http_server_replace_idle() - let connections make way for new ones */
void http_server_replace_idle(struct http_server *, enum http_replace);
/** http_server_limit_refused() - set the most connections beyond the limit that
 * are open to be answered 503, 64 at most, which is the default */
void http_server_limit_refused(struct http_server *, int max);
/** http_server_replaced() - number of connections that made way */
uint64_t http_server_replaced(const struct http_server *);

#endif
