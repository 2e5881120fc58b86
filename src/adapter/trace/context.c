#include <sodium.h>
#include <string.h>

#include "trace.h"

static int
hex_decode(uint8_t *out, size_t n, const char *text)
{
	size_t i;
	int hi, lo;

	for (i = 0; i < n; i++) {
		hi = g_ascii_xdigit_value(text[2 * i]);
		lo = g_ascii_xdigit_value(text[2 * i + 1]);
		if (hi < 0 || lo < 0)
			return -1;
		out[i] = hi << 4 | lo;
	}
	return 0;
}

static int
all_zero(const uint8_t *p, size_t n)
{
	while (n--)
		if (*p++)
			return 0;
	return 1;
}

int
trace_parse(struct trace_context *c, const char *t)
{
	uint8_t flags;

	memset(c, 0, sizeof *c);
	if (strlen(t) != TRACEPARENT_LEN || strncmp(t, "00-", 3) ||
	    t[35] != '-' || t[52] != '-')
		return -1;
	if (hex_decode(c->trace_id, sizeof c->trace_id, t + 3) ||
	    hex_decode(c->span_id, sizeof c->span_id, t + 36) ||
	    hex_decode(&flags, 1, t + 53))
		return -1;
	if (all_zero(c->trace_id, sizeof c->trace_id) ||
	    all_zero(c->span_id, sizeof c->span_id))
		return -1;
	c->sampled = flags & 1;
	return 0;
}

void
trace_format(const struct trace_context *c, char out[TRACEPARENT_LEN + 1])
{
	char trace[33], span[17];

	sodium_bin2hex(trace, sizeof trace, c->trace_id, sizeof c->trace_id);
	sodium_bin2hex(span, sizeof span, c->span_id, sizeof c->span_id);
	g_snprintf(out, TRACEPARENT_LEN + 1, "00-%s-%s-%02x", trace, span,
	    c->sampled ? 1 : 0);
}

void
trace_start_root(struct trace_context *c, int sampled)
{
	memset(c, 0, sizeof *c);
	randombytes_buf(c->trace_id, sizeof c->trace_id);
	randombytes_buf(c->span_id, sizeof c->span_id);
	c->sampled = sampled;
}

void
trace_start_child(struct trace_context *c, const struct trace_context *parent)
{
	*c = *parent;
	memcpy(c->parent_id, parent->span_id, sizeof c->parent_id);
	randombytes_buf(c->span_id, sizeof c->span_id);
}
