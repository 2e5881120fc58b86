#include "target.h"

#include <string.h>
#include <sys/socket.h>

/* Second answers to a request, late, on a connection that is in use again. */

static void
format_answer(struct conn *c, GString *t, const char *fields, long kind)
{
	char id[KEY_MAX + 32] = "";

	if (kind != SECOND_NO_ID && kind != SECOND_NOT_RUN_NO_ID &&
	    kind != SECOND_FAILED_NO_ID)
		g_snprintf(id, sizeof id, "X-Attempt-Id: %s\r\n", c->key);
	if (kind == SECOND_FAILED_NO_ID) {
		g_string_append(t, "HTTP/1.1 500 Internal Server Error\r\n"
				   "Content-Length: 6\r\n\r\nsecond");
		return;
	}
	if (kind == SECOND_NOT_RUN || kind == SECOND_NOT_RUN_NO_ID) {
		g_string_append_printf(t,
		    "HTTP/1.1 503 Service Unavailable\r\n%s"
		    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		    id);
		return;
	}
	if (kind == SECOND_CUT_BODY) {
		g_string_append_printf(t,
		    "HTTP/1.1 200 OK\r\n%s%sX-Server-Signature: %s.%s\r\n"
		    "Content-Length: 4000\r\n\r\nsecond",
		    fields, id, c->target->start_id, c->origin_service);
		return;
	}
	g_string_append_printf(t,
	    "HTTP/1.1 200 OK\r\n%s%sX-Server-Signature: %s.%s\r\n"
	    "Content-Length: 6\r\n\r\nsecond",
	    fields, id, c->target->start_id, c->origin_service);
	if (kind == SECOND_CUT)
		g_string_truncate(t, t->len / 2);
}

void
second_prepare(struct conn *c, const char *fields)
{
	struct knobs *k = &c->target->knobs;

	if (k->second <= 0)
		return;
	k->second--;
	c->second = g_string_new(NULL);
	format_answer(c, c->second, fields, k->second_kind);
}

void
second_send(struct conn *c)
{
	if (!c->second)
		return;
	if (send(c->watch.fd, c->second->str, c->second->len, MSG_NOSIGNAL) < 0)
		g_warning("second answer not sent");
	g_string_free(c->second, TRUE);
	c->second = NULL;
}
