#include "daemon/control/impl.h"
#include "json.h"

void
control_answer(SoupServerMessage *msg, int status, const char *type,
    GString *text)
{
	gsize n = text->len;

	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, type, SOUP_MEMORY_TAKE,
	    g_string_free(text, FALSE), n);
}

void
control_answer_error(SoupServerMessage *msg, int status,
    const struct kq_error *e)
{
	GString *t = g_string_new("{\"error\":");

	json_append_string(t, e->text);
	g_string_append_printf(t, ",\"line\":%d,\"column\":%d}\n", e->line,
	    e->column);
	control_answer(msg, status, "application/json", t);
}
