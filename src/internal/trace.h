#ifndef KQ_TRACE_H
#define KQ_TRACE_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Spans of sampled calls.
 *
 * Trace context is propagated as W3C Trace Context (traceparent, version 00);
 * spans are exported as OTLP in JSON, which trace viewers read. There is a span
 * for the call at the outbound side, for each attempt, for the inbound side,
 * and for the request to the target.
 */

#define TRACEPARENT_LEN 55 /* characters, without the final NUL */

/** struct trace_context - ids of a span, of its trace and of its parent span */
struct trace_context {
	uint8_t trace_id[16];
	uint8_t span_id[8];
	uint8_t parent_id[8]; /* zeros in a root span */
	int sampled;
};

/** enum trace_kind - span kinds of OTLP */
enum trace_kind { TRACE_SERVER = 2, TRACE_CLIENT = 3 };

/** struct trace_span - a finished span; times in monotonic microseconds */
struct trace_span {
	struct trace_context context;
	const char *name;
	enum trace_kind kind;
	int64_t start;
	int64_t end;
	const char *service;
	const char *outcome;
	int status; /* HTTP status, 0 for none */
	uint64_t peer; /* incarnation of the peer, 0 for none */
};

/** struct trace_sink - finished spans to be exported, limited in rate */
struct trace_sink {
	GString *spans; /* JSON objects, separated by commas */
	int64_t realtime_offset; /* realtime minus monotonic, microseconds */
	double
	    sample_ratio; /* share of calls without a trace context to sample */
	int64_t rate_second; /* second whose spans @rate_count counts */
	int rate_count;
	uint64_t written; /* spans */
	uint64_t dropped; /* spans over the rate limit */
};

#define TRACE_SPANS_PER_S_MAX 200

/** trace_parse() - read a traceparent; 0, or -1 if it is invalid */
int trace_parse(struct trace_context *, const char *traceparent);
/** trace_format() - write a traceparent */
void trace_format(const struct trace_context *, char out[TRACEPARENT_LEN + 1]);
/** trace_start_root() - start a new trace with its root span */
void trace_start_root(struct trace_context *, int sampled);
/** trace_start_child() - start a child span of @parent */
void
trace_start_child(struct trace_context *, const struct trace_context *parent);

/** trace_sink_init() - @realtime and @monotonic are the same moment, in
 * microseconds of both clocks */
void trace_sink_init(struct trace_sink *, double ratio, int64_t realtime,
    int64_t monotonic);
void trace_sink_clear(struct trace_sink *);
/** trace_write_span() - add a span if it is sampled and the rate limit allows
 * it */
void
trace_write_span(struct trace_sink *, const struct trace_span *, int64_t now);
/** trace_take_spans() - remove all spans and return them as the body of one
 * OTLP request, or NULL if there are none */
GString *trace_take_spans(struct trace_sink *, const char *instance,
    const char *datacentre);

#endif
