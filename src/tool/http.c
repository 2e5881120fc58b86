#include <libsoup/soup.h>
#include <string.h>

#include "tool.h"

#define GET_TIMEOUT_S 3 /* longest time without a byte of the answer */
#define POST_TIMEOUT_S 60 /* likewise, while a target finishes its work */

static char *
send_request(const char *method, const struct settings_address *a,
    const char *path, const char *body, struct kq_error *e)
{
	SoupSession *s = soup_session_new_with_options("timeout",
	    body ? POST_TIMEOUT_S : GET_TIMEOUT_S, NULL);
	GError *err = NULL;
	GBytes *out, *in;
	char url[256], *text = NULL;
	SoupMessage *msg;
	guint status;
	gsize n;

	g_snprintf(url, sizeof url, "http://%s:%d%s", a->ip, a->port, path);
	msg = soup_message_new(method, url);
	if (body) {
		in = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(msg,
		    "application/json", in);
		g_bytes_unref(in);
	}
	out = soup_session_send_and_read(s, msg, NULL, &err);
	status = soup_message_get_status(msg);
	if (!out) {
		kq_error_set(e, KQ_LAYER_TOOL, 1, "daemon %s:%d: %s", a->ip,
		    a->port, err->message);
		g_error_free(err);
	} else {
		const char *p = g_bytes_get_data(out, &n);

		text = g_strndup(p ? p : "", n);
		g_bytes_unref(out);
	}
	if (text && status != 200) {
		kq_error_set(e, KQ_LAYER_TOOL, 1,
		    "daemon %s:%d answered %u: %s", a->ip, a->port, status,
		    text);
		g_clear_pointer(&text, g_free);
	}
	g_object_unref(msg);
	g_object_unref(s);
	return text;
}

char *
tool_get(const struct settings_address *a, const char *path, struct kq_error *e)
{
	return send_request("GET", a, path, NULL, e);
}

int
tool_post(const struct settings_address *a, const char *path, const char *body,
    struct kq_error *e)
{
	char *text = send_request("POST", a, path, body, e);

	if (!text)
		return -1;
	g_free(text);
	return 0;
}
