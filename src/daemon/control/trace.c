#include "daemon/control/impl.h"

#define TRACE_TIMEOUT_S 2

static void
spans_sent(GObject *source, GAsyncResult *result, gpointer ctx)
{
	struct control *c = ctx;
	GBytes *b;

	b = soup_session_send_and_read_finish(SOUP_SESSION(source), result,
	    NULL);
	if (b)
		g_bytes_unref(b);
	else
		c->span_batches_lost++;
}

/* Sends a batch of spans as one OTLP request; a batch that can't be sent is
 * counted and dropped. */
void
control_send_spans(void *ctx, void *message)
{
	struct control *c = ctx;
	SoupMessage *msg;
	GBytes *body;
	char url[128];

	if (!c->trace_session)
		c->trace_session = soup_session_new_with_options("timeout",
		    TRACE_TIMEOUT_S, NULL);
	g_snprintf(url, sizeof url, "http://%s:%d/v1/traces",
	    c->settings.trace.ip, c->settings.trace.port);
	msg = soup_message_new("POST", url);
	body = g_string_free_to_bytes(message);
	soup_message_set_request_body_from_bytes(msg, "application/json", body);
	g_bytes_unref(body);
	soup_session_send_and_read_async(c->trace_session, msg, G_PRIORITY_LOW,
	    NULL, spans_sent, c);
	g_object_unref(msg);
}
