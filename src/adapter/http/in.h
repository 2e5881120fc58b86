#ifndef KQ_HTTP_IN_H
#define KQ_HTTP_IN_H

#include <http_parser.h>

#include "byte_limit.h"
#include "http.h"

#define HTTP_READ_BYTES 65536 /* read from a socket at once */
#define HTTP_LENGTH_MAX (1LL << 50) /* largest Content-Length, bytes */
#define HTTP_US_PER_MS 1000
#define HTTP_TEXT_KEEP_BYTES 2048 /* larger heads are freed once read */
/* Pieces of a body are joined up to this size, so that chunks of few bytes cost
 * no more than others wherever the body goes. */
#define HTTP_JOIN_BYTES 16384

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
 * @status_at: bytes of a response's status line that were checked
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
 * @joined: pieces of a body that came at once, not yet passed on; NULL between
 *          two calls of in_feed()
 * @unparsed: bytes received and not yet parsed
 * @call_bytes: where these are counted, or NULL
 * @text_limit: where the bytes allocated for a large @text are counted, or NULL
 */
struct http_in {
	http_parser parser;
	const struct http_in_ops *ops;
	void *ctx;
	enum http_parser_type type;
	size_t head_max;
	size_t head_bytes;
	size_t status_at;
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
	char *joined;
	size_t joined_len;
	char *unparsed;
	size_t unparsed_len;
	struct byte_limit *call_bytes;
	struct byte_limit *text_limit;
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
/** in_check_status_line() - check the next bytes of a response's head, as far
 * as they belong to the version and the status. Return: 0 or in_set_error() */
int in_check_status_line(struct http_in *, const char *data, size_t n);
/** in_scan_head() - find the end of the head and folded fields; changes scan.
 * Return: bytes that belong to the head, at most @n */
size_t in_scan_head(struct http_in *, const char *, size_t n);
/** in_text_counted() - bytes of the head's text that are counted */
size_t in_text_counted(const struct http_in *);
/** in_drop_text() - free the text of the head */
void in_drop_text(struct http_in *);
/** in_join_body() - take a piece of a body, which is passed on with others */
void in_join_body(struct http_in *, const char *, size_t n);
/** in_pass_joined() - pass on the pieces that were joined */
void in_pass_joined(struct http_in *);
extern const http_parser_settings in_parser_settings;

/** http_no_body() - whether a response with this status has no body */
int http_no_body(int status);

#endif
