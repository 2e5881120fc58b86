#include "target.h"

#include <stdlib.h>
#include <string.h>

#define ANNOUNCE_MS 2000 /* between announcements or withdrawals */
#define LEAVE_CHECK_MS 20
#define LEAVE_IDLE_CHECKS 5 /* in a row, before the process exits */
#define LEAVE_TRIES                                              \
	3 /* withdrawals before it exits without acknowledgement \
	   */

/**
 * struct announcer - announces the target to its daemon
 * @status: of the last answer of the daemon
 * @acknowledged: nonzero once the daemon has acknowledged the announcement or,
 *	when leaving, its withdrawal
 * @tries: announcements or, when leaving, withdrawals tried
 * @idle_checks: checks in a row that found no request at work
 */
struct announcer {
	struct target *target;
	struct http_pool *pool;
	struct http_call *call;
	struct io_timer timer;
	int status;
	int acknowledged;
	int tries;
	int idle_checks;
};

static void send_announcement(struct announcer *);

static void
on_head(void *ctx, const struct http_head *h)
{
	struct announcer *a = ctx;

	a->status = h->status;
}

static void
on_body(void *ctx, const void *b, size_t n)
{
	(void)ctx;
	(void)b;
	(void)n;
}

static void
on_done(void *ctx)
{
	struct announcer *a = ctx;

	a->call = NULL;
	a->acknowledged = a->status / 100 == 2;
}

static void
on_failed(void *ctx, const struct kq_error *e, int sent)
{
	struct announcer *a = ctx;

	(void)sent;
	g_info("request to the daemon failed: %s", e->text);
	a->call = NULL;
}

static const struct http_call_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

static void
announce_again(void *ctx, int64_t now)
{
	struct announcer *a = ctx;

	(void)now;
	/* An announcement is repeated although it was acknowledged, since the
	 * daemon may have been replaced. A withdrawal is not. */
	if (a->acknowledged && a->target->leaving)
		return;
	if (a->call)
		http_call_cancel(a->call);
	a->call = NULL;
	send_announcement(a);
}

static void
send_announcement(struct announcer *a)
{
	struct target *t = a->target;
	struct http_field json = { "Content-Type", "application/json" };
	struct kq_error e;
	char b[512], path[128] = "/v1/target";
	const char *method = t->leaving ? "DELETE" : "PUT";
	GString *report = g_string_new(NULL);
	int n = 0;

	if (!t->leaving)
		n = g_snprintf(b, sizeof b,
		    "{\"service\":\"%s\",\"port\":%d,\"slots\":%ld,"
		    "\"connections\":%ld,\"start\":\"%s\"}",
		    t->service, t->port, t->knobs.slots, t->knobs.connections,
		    t->start_id);
	if (t->users) {
		users_report(t, path, sizeof path, report);
		n = g_strlcpy(b, report->str, sizeof b);
		method = "POST";
	}
	g_string_free(report, TRUE);
	a->tries++;
	a->call = http_call_start(a->pool, method, path, &json, n > 0,
	    n > 0 ? n : HTTP_LENGTH_NONE, 1, &ops, a, &e);
	if (a->call) {
		if (n > 0)
			http_call_write(a->call, b, (size_t)n);
		http_call_end_request(a->call);
	} else {
		g_info("cannot send a request to the daemon: %s", e.text);
	}
	io_timer_set(t->loop, &a->timer, io_now(t->loop) + ANNOUNCE_MS * 1000);
}

int
announce_start(struct target *t, const char *to, struct kq_error *e)
{
	struct announcer *a = g_new0(struct announcer, 1);
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	char *ip, *colon;

	t->announcer = a;
	a->target = t;
	a->timer.fire = announce_again;
	a->timer.ctx = a;
	if (!to) {
		a->acknowledged = 1;
		return 0;
	}
	ip = g_strdup(to);
	colon = strrchr(ip, ':');
	if (!colon) {
		g_free(ip);
		return kq_error_set(e, KQ_LAYER_HTTP, HTTP_E_CONNECT,
		    "--announce %s: not IP:PORT", to);
	}
	*colon = '\0';
	a->pool = http_pool_new(t->loop, ip, (int)strtol(colon + 1, NULL, 10),
	    2, 0, &limits);
	g_free(ip);
	send_announcement(a);
	return 0;
}

/* Nonzero while a request is queued, running or being answered. */
static int
has_work(const struct target *t)
{
	const struct conn *c;
	GList *l;

	for (l = t->conns.head; l; l = l->next) {
		c = l->data;
		if (c->state != CONN_READING && c->state != CONN_OPENING &&
		    c->state != CONN_HUNG && c->state != CONN_DEAF)
			return 1;
	}
	return 0;
}

static void
check_leave(void *ctx, int64_t now)
{
	struct announcer *a = ctx;
	struct target *t = a->target;

	a->idle_checks = has_work(t) ? 0 : a->idle_checks + 1;
	if (a->idle_checks >= LEAVE_IDLE_CHECKS &&
	    (a->acknowledged || a->tries >= LEAVE_TRIES)) {
		g_main_loop_quit(t->main);
		return;
	}
	io_timer_set(t->loop, &t->leave_timer, now + LEAVE_CHECK_MS * 1000);
}

static void
end_draining(void *ctx, int64_t now)
{
	struct target *t = ctx;

	(void)now;
	announce_leave(t);
}

/* Reports at once that the target drains, and leaves some time later. */
static void
start_draining(struct target *t)
{
	t->draining = 1;
	history_write(&t->history, io_clock(), "drain service=%s dc=%s",
	    t->service, t->dc);
	announce_again(t->announcer, io_now(t->loop));
	t->leave_timer.fire = end_draining;
	t->leave_timer.ctx = t;
	io_timer_set(t->loop, &t->leave_timer,
	    io_now(t->loop) + t->knobs.drain_ms * 1000);
}

void
announce_leave(struct target *t)
{
	struct announcer *a = t->announcer;

	if (t->leaving)
		return;
	if (!t->draining && t->knobs.drain_ms && a->pool) {
		start_draining(t);
		return;
	}
	t->leaving = 1;
	history_write(&t->history, io_clock(), "leave service=%s dc=%s",
	    t->service, t->dc);
	if (a->pool) {
		a->acknowledged = 0;
		a->tries = 0;
		announce_again(a, io_now(t->loop));
	}
	t->leave_timer.fire = check_leave;
	t->leave_timer.ctx = a;
	check_leave(a, io_now(t->loop));
}
