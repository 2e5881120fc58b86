#include <string.h>

#include "daemon/control/impl.h"
#include "http.h"

/* A daemon that starts beside a running target checks the target's health, so
 * that it need not wait for the next heartbeat. The head of the answer is all
 * that it needs; the rest, which may have no end, is not read. */

#define RETRY_US 150000 /* from a failed health check to the next */
#define TRIES 8 /* a heartbeat has come by then, or there is no target */
#define TIMEOUT_US 1000000 /* for the head of an answer */

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
says_leaving(struct control *c, const struct http_head *h)
{
	const struct dialect *v = c->dialect;
	const char *id = http_head_find(h, v->run_id_field);

	if (!v->leaving_field || !http_head_find(h, v->leaving_field))
		return 0;
	if (id)
		control_target_says_leaving(c, g_strdup(id));
	return 1;
}

/* Reads a health check's answer as a heartbeat; 0 or -1. */
static int
read_health(struct control *c, const struct http_head *h, struct heartbeat *b)
{
	const struct dialect *v = c->dialect;
	const char *name = http_head_find(h, v->run_id_field);
	const char *load = http_head_find(h, v->load_field);
	const char *cold = http_head_find(h, v->cold_field);
	struct target_load l;

	if (h->status != SOUP_STATUS_OK || !name || !load ||
	    v->read_load(load, &l) || !l.slots)
		return -1;
	memset(b, 0, sizeof *b);
	g_strlcpy(b->id, name, sizeof b->id);
	g_strlcpy(b->service, c->settings.service, sizeof b->service);
	g_strlcpy(b->ip, c->settings.target.ip, sizeof b->ip);
	b->port = c->settings.target.port;
	b->slots = l.slots;
	b->cold_ms =
	    cold ? CLAMP(g_ascii_strtoll(cold, NULL, 10), 0, TARGET_COLD_MS_MAX)
		 : 0;
	return 0;
}

static void
end_check(struct control *c)
{
	c->health_call = NULL;
	io_timer_clear(c->task.loop, &c->health_timer);
}

static void
check_head(void *ctx, const struct http_head *h)
{
	struct control *c = ctx;
	struct heartbeat b;

	http_call_cancel(c->health_call);
	end_check(c);
	if (c->track.state != TRACK_NONE || c->leaving) {
		c->health_tries = TRIES;
	} else if (!says_leaving(c, h) && !read_health(c, h, &b)) {
		c->health_tries = TRIES;
		control_target_healthy(c, &b);
	} else {
		schedule_retry(c);
	}
}

static void
check_failed(void *ctx, const struct kq_error *e, int sent)
{
	end_check(ctx);
	schedule_retry(ctx);
}

static void
check_timeout(void *ctx, int64_t now)
{
	struct control *c = ctx;

	http_call_cancel(c->health_call);
	end_check(c);
	schedule_retry(c);
}

static const struct http_call_ops check_ops = {
	.head = check_head,
	.failed = check_failed,
};

static void
send_health_check(struct control *c)
{
	const struct settings_address *a = &c->settings.target;
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct http_field host = { "Host", "target" };
	char path[HEALTH_PATH_MAX];

	if (c->track.state != TRACK_NONE || c->health_call ||
	    control_health_path(c, c->settings.service, path, sizeof path))
		return;
	http_pool_free(c->health_pool);
	c->health_pool =
	    http_pool_new(c->task.loop, a->ip, a->port, 1, 0, &limits);
	c->health_call = http_call_start(c->health_pool, "GET", path, &host, 1,
	    HTTP_LENGTH_NONE, 0, &check_ops, c, NULL);
	if (!c->health_call) {
		schedule_retry(c);
		return;
	}
	http_call_end_request(c->health_call);
	c->health_timer.fire = check_timeout;
	c->health_timer.ctx = c;
	io_timer_set(c->task.loop, &c->health_timer,
	    control_now(c) + TIMEOUT_US);
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
	if (c->health_call || c->leaving)
		return;
	io_timer_clear(c->task.loop, &c->health_timer);
	c->health_tries = 0;
	control_start_health_check(c);
}

void
control_stop_health_check(struct control *c)
{
	io_timer_clear(c->task.loop, &c->health_timer);
	http_pool_free(c->health_pool);
}
