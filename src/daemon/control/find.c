#include <string.h>

#include "daemon/control/impl.h"

/* A daemon that starts beside a running target checks the target's health, so
 * that it need not wait for the next heartbeat. */

#define RETRY_US 150000 /* from a failed health check to the next */
#define TRIES 8 /* a heartbeat has come by then, or there is no target */
#define TIMEOUT_S 1
#define BODY_MAX 65536 /* bytes of an answer, whose head alone matters */

static void send_health_check(struct control *);

static void
retry_due(void *ctx, int64_t now)
{
	send_health_check(ctx);
}

static void
schedule_retry(struct control *c)
{
	if (++c->health_tries >= TRIES)
		return;
	c->health_timer.fire = retry_due;
	c->health_timer.ctx = c;
	io_timer_set(c->task.loop, &c->health_timer, control_now(c) + RETRY_US);
}

/* Whether a health check's answer says that the target leaves; notes it then.
 */
static int
says_leaving(struct control *c, SoupMessage *msg)
{
	const struct dialect *v = c->dialect;
	SoupMessageHeaders *h = soup_message_get_response_headers(msg);
	const char *id = soup_message_headers_get_one(h, v->run_id_field);

	if (!v->leaving_field ||
	    !soup_message_headers_get_one(h, v->leaving_field))
		return 0;
	if (id)
		control_target_says_leaving(c, g_strdup(id));
	return 1;
}

/* Reads a health check's answer as a heartbeat; 0 or -1. */
static int
read_health(struct control *c, SoupMessage *msg, struct heartbeat *b)
{
	const struct dialect *v = c->dialect;
	SoupMessageHeaders *h = soup_message_get_response_headers(msg);
	const char *name = soup_message_headers_get_one(h, v->run_id_field);
	const char *load = soup_message_headers_get_one(h, v->load_field);
	const char *cold = soup_message_headers_get_one(h, v->cold_field);
	struct target_load l;

	if (soup_message_get_status(msg) != SOUP_STATUS_OK || !name || !load ||
	    v->read_load(load, &l) || !l.slots)
		return -1;
	memset(b, 0, sizeof *b);
	g_strlcpy(b->id, name, sizeof b->id);
	g_strlcpy(b->service, c->settings.service, sizeof b->service);
	g_strlcpy(b->ip, c->settings.target.ip, sizeof b->ip);
	b->port = c->settings.target.port;
	b->slots = l.slots;
	b->cold_ms = cold ? g_ascii_strtoll(cold, NULL, 10) : 0;
	return 0;
}

static void
health_check_done(GObject *source, GAsyncResult *result, gpointer ctx)
{
	SoupSession *session = SOUP_SESSION(source);
	SoupMessage *msg =
	    soup_session_get_async_result_message(session, result);
	GError *err = NULL;
	GBytes *body = soup_session_send_and_read_finish(session, result, &err);
	struct control *c = ctx;
	struct heartbeat b;

	if (g_cancellable_is_cancelled(c->health_cancel)) {
		g_clear_error(&err);
		return; /* the control task is being freed */
	}
	c->health_pending = 0;
	if (c->track.state != TRACK_NONE || c->leaving) {
		c->health_tries = TRIES;
	} else if (body && !says_leaving(c, msg) && !read_health(c, msg, &b)) {
		c->health_tries = TRIES;
		control_target_healthy(c, &b);
	} else {
		schedule_retry(c);
	}
	if (err)
		g_error_free(err);
	if (body)
		g_bytes_unref(body);
}

/* Ends a check whose answer is too long: the session has no other request. */
static void
on_body_data(SoupMessage *msg, guint n, gpointer ctx)
{
	struct control *c = ctx;

	c->health_bytes += n;
	if (c->health_bytes > BODY_MAX)
		soup_session_abort(c->health_session);
}

static void
send_health_check(struct control *c)
{
	const struct settings_address *a = &c->settings.target;
	char path[RULE_PATH_MAX], url[RULE_PATH_MAX + 64];
	SoupMessage *msg;

	if (c->track.state != TRACK_NONE || c->health_pending ||
	    control_health_path(c, c->settings.service, path, sizeof path))
		return;
	if (!c->health_session) {
		c->health_session =
		    soup_session_new_with_options("timeout", TIMEOUT_S, NULL);
		soup_session_set_proxy_resolver(c->health_session, NULL);
		c->health_cancel = g_cancellable_new();
	}
	g_snprintf(url, sizeof url, "http://%s:%d%s", a->ip, a->port, path);
	msg = soup_message_new("GET", url);
	g_signal_connect(msg, "got-body-data", G_CALLBACK(on_body_data), c);
	c->health_bytes = 0;
	c->health_pending = 1;
	soup_session_send_and_read_async(c->health_session, msg,
	    G_PRIORITY_DEFAULT, c->health_cancel, health_check_done, c);
	g_object_unref(msg);
}

/* Called with each new view, since the configuration names the path. */
void
control_start_health_check(struct control *c)
{
	if (!c->dialect->run_id_field || !c->settings.target.port ||
	    c->health_tries || c->track.state != TRACK_NONE || c->leaving)
		return;
	send_health_check(c);
}

void
control_repeat_health_check(struct control *c)
{
	if (c->health_pending || c->leaving)
		return;
	io_timer_clear(c->task.loop, &c->health_timer);
	c->health_tries = 0;
	control_start_health_check(c);
}

void
control_stop_health_check(struct control *c)
{
	io_timer_clear(c->task.loop, &c->health_timer);
	if (!c->health_session)
		return;
	g_cancellable_cancel(c->health_cancel);
	soup_session_abort(c->health_session);
	g_object_unref(c->health_session);
	g_object_unref(c->health_cancel);
}
