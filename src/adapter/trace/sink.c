#include <sodium.h>
#include <string.h>

#include "json.h"
#include "trace.h"

void
trace_sink_init(struct trace_sink *s, double ratio, int64_t realtime,
    int64_t monotonic)
{
	memset(s, 0, sizeof *s);
	s->sample_ratio = ratio;
	s->realtime_offset = realtime - monotonic;
	s->spans = g_string_new(NULL);
}

void
trace_sink_clear(struct trace_sink *s)
{
	g_string_free(s->spans, TRUE);
}

static int
within_rate(struct trace_sink *s, int64_t now)
{
	if (now / 1000000 != s->rate_second) {
		s->rate_second = now / 1000000;
		s->rate_count = 0;
	}
	if (s->rate_count >= TRACE_SPANS_PER_S_MAX) {
		s->dropped++;
		return 0;
	}
	s->rate_count++;
	return 1;
}

static void
append_hex(GString *t, const char *key, const uint8_t *p, size_t n)
{
	char text[33];

	sodium_bin2hex(text, sizeof text, p, n);
	g_string_append_printf(t, "\"%s\":\"%s\",", key, text);
}

static void
append_time(GString *t, const char *key, int64_t us)
{
	g_string_append_printf(t, "\"%s\":\"%" G_GINT64_FORMAT "000\",", key,
	    us);
}

static void
append_attribute(GString *t, const char *key, const char *value)
{
	g_string_append_printf(t,
	    "{\"key\":\"%s\",\"value\":{\"stringValue\":", key);
	json_append_string(t, value ? value : "");
	g_string_append(t, "}}");
}

void
trace_write_span(struct trace_sink *s, const struct trace_span *p, int64_t now)
{
	static const uint8_t none[8];
	GString *t = s->spans;
	char number[24];

	if (!p->context.sampled || !within_rate(s, now))
		return;
	s->written++;
	g_string_append(t, t->len ? ",\n{" : "{");
	append_hex(t, "traceId", p->context.trace_id,
	    sizeof p->context.trace_id);
	append_hex(t, "spanId", p->context.span_id, sizeof p->context.span_id);
	if (memcmp(p->context.parent_id, none, sizeof none) != 0)
		append_hex(t, "parentSpanId", p->context.parent_id,
		    sizeof p->context.parent_id);
	g_string_append_printf(t, "\"name\":\"%s\",\"kind\":%d,", p->name,
	    p->kind);
	append_time(t, "startTimeUnixNano", p->start + s->realtime_offset);
	append_time(t, "endTimeUnixNano", p->end + s->realtime_offset);
	g_string_append(t, "\"attributes\":[");
	append_attribute(t, "kumquatrock.service", p->service);
	g_string_append_c(t, ',');
	append_attribute(t, "kumquatrock.outcome", p->outcome);
	if (p->status) {
		g_snprintf(number, sizeof number, "%d", p->status);
		g_string_append_c(t, ',');
		append_attribute(t, "http.response.status_code", number);
	}
	if (p->peer) {
		g_snprintf(number, sizeof number, "%016" G_GINT64_MODIFIER "x",
		    p->peer);
		g_string_append_c(t, ',');
		append_attribute(t, "kumquatrock.peer", number);
	}
	g_string_append(t, "]}");
}

GString *
trace_take_spans(struct trace_sink *s, const char *instance,
    const char *datacentre)
{
	GString *t;

	if (!s->spans->len)
		return NULL;
	t = g_string_new("{\"resourceSpans\":[{\"resource\":{\"attributes\":[");
	append_attribute(t, "service.name", "kumquatrockd");
	g_string_append_c(t, ',');
	append_attribute(t, "service.instance.id", instance);
	g_string_append_c(t, ',');
	append_attribute(t, "cloud.availability_zone", datacentre);
	g_string_append(t,
	    "]},\"scopeSpans\":[{\"scope\":{\"name\":\"kumquatrock\"},"
	    "\"spans\":[");
	g_string_append_len(t, s->spans->str, s->spans->len);
	g_string_append(t, "]}]}]}\n");
	g_string_truncate(s->spans, 0);
	return t;
}
