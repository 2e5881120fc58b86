#ifndef KQ_TRACE_H
#define KQ_TRACE_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Spans of sampled calls.
 *
 * Context travels as W3C Trace Context (traceparent, version 00); spans are
 * written as OTLP in JSON, which trace viewers read. A span is kept for each
 * hop: the call at the outbound side, each attempt, the inbound side, and the
 * request to the target.
 */

#define TRACEPARENT_LEN 55 /* characters, without the final NUL */

/** struct trace_context - one span's place in its trace */
struct trace_context {
	uint8_t trace[16];
	uint8_t span[8];
	uint8_t parent[8]; /* zeros in a root */
	int sampled;
};

/** enum trace_kind - span kinds of OTLP */
enum trace_kind { TRACE_SERVER = 2, TRACE_CLIENT = 3 };

/** struct trace_span - a span that ended; times in monotonic microseconds */
struct trace_span {
	struct trace_context context;
	const char *name;
	enum trace_kind kind;
	int64_t start;
	int64_t end;
	const char *service;
	const char *outcome;
	int status; /* HTTP, 0 when there was none */
	uint64_t peer; /* incarnation of the other side, 0 for none */
};

/** struct trace_sink - spans waiting to be sent, within a rate */
struct trace_sink {
	GString *spans;
	int64_t realtime_offset; /* realtime minus monotonic, microseconds */
	double ratio; /* of calls without a context that are sampled */
	int64_t second;
	int this_second;
	uint64_t written;
	uint64_t left_out;
};

#define TRACE_SPANS_PER_S_MAX 200

/** trace_parse() - read a traceparent; 0 or -1 */
int trace_parse(struct trace_context *, const char *traceparent);
void trace_format(const struct trace_context *, char out[TRACEPARENT_LEN + 1]);
/** trace_root() - begin a trace */
void trace_root(struct trace_context *, int sampled);
/** trace_child() - a new span below another */
void trace_child(struct trace_context *, const struct trace_context *above);

void trace_sink_init(struct trace_sink *, double ratio, int64_t realtime,
    int64_t monotonic);
void trace_sink_clear(struct trace_sink *);
/** trace_write() - keep a span if it is sampled and the rate allows it */
void trace_write(struct trace_sink *, const struct trace_span *, int64_t now);
/** trace_take() - the spans kept so far as one OTLP request, or NULL */
GString *
trace_take(struct trace_sink *, const char *instance, const char *datacentre);

#endif
