#ifndef KQ_HTTP_LINE_H
#define KQ_HTTP_LINE_H

/**
 * DOC: The requests of one caller's connection in their order, and what the end
 * of one of them, or of the message being read, means for the connection.
 *
 * Every end is decided here, without input or output. What holds: a response
 * that is whole reaches the caller whole, whatever ends after it; a request of
 * whose response the caller has nothing is answered in its place; a fault of
 * the message being read fails that message alone.
 */

/**
 * struct line_item - a request and its response
 * @next: the request after it
 * @open: the user may act on it: neither ended, aborted nor failed
 * @whole: its response is complete and waits for its turn
 * @keep_alive: the connection may serve another request after it
 * @pipelinable: requests after it may be read before it is answered
 */
struct line_item {
	struct line_item *next;
	int open;
	int whole;
	int keep_alive;
	int pipelinable;
};

/**
 * struct line - requests that have no complete response
 * @first: whose response is sent now
 * @newest: read last
 * @reading: being read, or NULL
 * @closing: no more is read; the connection closes after the last response
 */
struct line {
	struct line_item *first;
	struct line_item *newest;
	struct line_item *reading;
	int n;
	int closing;
};

/**
 * enum line_sent - what the caller may have of a response
 * @LINE_SENT_NONE: nothing
 * @LINE_SENT_PART: a part; the framing shows that bytes are missing
 * @LINE_SENT_UNFRAMED: a part that looks whole if the connection is closed
 */
enum line_sent { LINE_SENT_NONE, LINE_SENT_PART, LINE_SENT_UNFRAMED };

/**
 * enum line_verdict - what is to be done with the connection
 * @LINE_GO_ON: nothing
 * @LINE_NEXT: it is the turn of the first request's response
 * @LINE_ANSWER: the server answers the request in its own name, in its turn
 * @LINE_REJECT: the server answers the message being read, which no request
 *               stands for, after all requests
 * @LINE_FAULT: the message being read is broken, see line_fault()
 * @LINE_PROBE: find out whether the caller is still connected
 * @LINE_CLOSE: all requests left fail; the connection closes once all bytes are
 *              sent
 * @LINE_RESET: the same, with a reset once all bytes are acknowledged
 * @LINE_DROP: the caller is gone or does not read; all requests fail
 */
enum line_verdict {
	LINE_GO_ON,
	LINE_NEXT,
	LINE_ANSWER,
	LINE_REJECT,
	LINE_FAULT,
	LINE_PROBE,
	LINE_CLOSE,
	LINE_RESET,
	LINE_DROP
};

/** line_add() - add a request whose head was read; it is the one being read */
void line_add(struct line *, struct line_item *);
void line_remove(struct line *, struct line_item *);
/** line_may_read() - whether the next request may be read; @stopping: the
 * connection closes after the newest response */
int line_may_read(const struct line *, int stopping);
/** line_may_run() - whether a request whose head was read may be run: the
 * connection does not close before its response */
int line_may_run(const struct line *);
/** line_finish() - a response is complete; removes it if it was the first.
 * Return: LINE_GO_ON, LINE_NEXT or LINE_CLOSE */
enum line_verdict line_finish(struct line *, struct line_item *);
/** line_abort() - the user can't complete a response. Return: LINE_ANSWER,
 * LINE_CLOSE or LINE_RESET */
enum line_verdict line_abort(struct line_item *, enum line_sent);
/**
 * line_fault() - the message being read is malformed, too late, too large or
 * cut; no more is read
 * @sent: of the response to the request being read
 * @handed: the message's head was read
 *
 * Return: LINE_GO_ON if its response is whole, LINE_ANSWER for the request that
 * was being read, LINE_REJECT, LINE_CLOSE or LINE_RESET.
 */
enum line_verdict line_fault(struct line *, enum line_sent sent, int handed);
/** line_overrun() - too much of a body was dropped, or a request came that may
 * not be run; no more is read. Return: LINE_GO_ON or LINE_CLOSE */
enum line_verdict line_overrun(struct line *);
/**
 * line_eof() - the caller closed its sending side
 * @partial: within a message
 *
 * Return: LINE_FAULT, LINE_PROBE or LINE_CLOSE.
 */
enum line_verdict line_eof(const struct line *, int partial);
/** line_timeout() - the caller was too slow; @unsent: it does not read.
 * Return: LINE_DROP or LINE_FAULT */
enum line_verdict line_timeout(int unsent, int partial);

#endif
