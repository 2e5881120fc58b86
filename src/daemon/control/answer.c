#include "daemon/control/impl.h"
#include "json.h"

void
control_answer_error(struct port_request *r, int status,
    const struct kq_error *e)
{
	GString *t = g_string_new("{\"error\":");

	json_append_string(t, e->text);
	g_string_append_printf(t, ",\"line\":%d,\"column\":%d}\n", e->line,
	    e->column);
	control_answer(r, status, "application/json", t);
}

void
control_answer_method(struct port_request *r)
{
	control_answer(r, 405, "text/plain", g_string_new(NULL));
}
