#include "target.h"

#include <stdlib.h>
#include <string.h>

#define ROUTE "check"
#define WORK_MS 40
#define ANSWER_BYTES 200
#define CONNECTIONS 60
#define LIMIT_MS 500 /* deadline, if the caller's own isn't sooner */
#define CALLS_MAX 8 /* of a request */

/**
 * struct call - a call that a request makes while it runs
 * @http: NULL once it has ended
 * @status: of its answer, 0 before the head
 * @is_signed: its answer has a signature
 */
struct call {
	struct conn *conn;
	struct http_call *http;
	char id[KEY_MAX + 16];
	int status;
	int is_signed;
};

/**
 * struct calls - calls that a request makes while it runs
 * @count: how many it makes in all
 * @made: how many were begun
 * @good: how many were answered with 200
 * @together: nonzero if they are made at once, else one after the other
 * @route: first part of their path
 */
struct calls {
	int count;
	int made;
	int good;
	int together;
	char route[FIELD_MAX];
	struct call call[CALLS_MAX];
};

static int start_call(struct conn *);

static void
log_answer(const struct call *l, const char *outcome)
{
	history_write(&l->conn->target->history, io_clock(),
	    "answer id=%s conn=calls outcome=%s status=%d signed=%d closes=0",
	    l->id, outcome, l->status, l->is_signed);
}

static void
end_calls(struct conn *c, int good)
{
	calls_cancel(c);
	job_calls_ended(c, good);
}

static void
on_head(void *ctx, const struct http_head *h)
{
	struct call *l = ctx;

	l->status = h->status;
	l->is_signed = http_head_find(h, "X-Server-Signature") != NULL;
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
	struct call *l = ctx;
	struct conn *c = l->conn;
	struct calls *k = c->calls;

	l->http = NULL;
	log_answer(l, "whole");
	if (l->status == 200 && ++k->good == k->count)
		end_calls(c, 1);
	else if (l->status != 200 || (!k->together && start_call(c)))
		end_calls(c, 0);
}

static void
on_failed(void *ctx, const struct kq_error *e, int sent)
{
	struct call *l = ctx;

	(void)e;
	l->http = NULL;
	log_answer(l, sent ? "cut" : "unsent");
	end_calls(l->conn, 0);
}

static const struct http_call_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

static void
log_call(const struct call *l, int64_t now, int limit_ms)
{
	struct conn *c = l->conn;
	struct target *t = c->target;

	history_write(&t->history, now,
	    "call id=%s to=%s conn=calls way=6 behind=0 once=0 start=%" G_GINT64_FORMAT
	    " limit_ms=%d work_ms=%d bytes=%d breaks=0 route=%s parent=%s",
	    l->id, t->calls_to, now, limit_ms, WORK_MS, ANSWER_BYTES,
	    c->calls->route, c->key);
}

static int
start_call(struct conn *c)
{
	struct target *t = c->target;
	struct calls *k = c->calls;
	struct call *l = &k->call[k->made];
	int64_t now = io_clock(), limit_ms;
	char limit[16], path[PATH_MAX_BYTES];
	struct http_field f[] = { { "Host", t->calls_host },
		{ "X-Attempt-Id", l->id }, { "X-Deadline-Ms", limit } };

	limit_ms = path_number(c, "call_limit_ms", LIMIT_MS);
	if (c->deadline)
		limit_ms = MIN(limit_ms, (c->deadline - now) / 1000);
	if (limit_ms <= 0)
		return -1;
	l->conn = c;
	g_snprintf(limit, sizeof limit, "%d", (int)limit_ms);
	g_snprintf(l->id, sizeof l->id, "%s.%d", c->key, ++k->made);
	g_snprintf(path, sizeof path, "/%s/?work_ms=%d&bytes=%d", k->route,
	    WORK_MS, ANSWER_BYTES);
	l->http = http_call_start(t->calls_pool, "GET", path, f,
	    G_N_ELEMENTS(f), HTTP_LENGTH_NONE, 0, &ops, l, NULL);
	if (!l->http)
		return -1;
	log_call(l, now, (int)limit_ms);
	return 0;
}

int
calls_begin(struct conn *c)
{
	struct calls *k;
	int n = (int)path_number(c, "calls", 0);

	if (n <= 0 || !c->target->calls_pool)
		return 0;
	k = c->calls = g_new0(struct calls, 1);
	k->count = MIN(n, CALLS_MAX);
	k->together = path_number(c, "together", 0) != 0;
	g_strlcpy(k->route, ROUTE, sizeof k->route);
	path_text(c, "call", k->route, sizeof k->route);
	do
		if (start_call(c)) {
			end_calls(c, 0);
			break;
		}
	while (k->together && k->made < k->count);
	return 1;
}

void
calls_cancel(struct conn *c)
{
	struct calls *k = c->calls;
	int i;

	if (!k)
		return;
	for (i = 0; i < k->made; i++) {
		if (!k->call[i].http)
			continue;
		log_answer(&k->call[i], "late"); /* given up by the caller */
		http_call_cancel(k->call[i].http);
	}
	g_free(k);
	c->calls = NULL;
}

int
calls_start(struct target *t, const char *to, const char *host)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	char **part = g_strsplit(to, ":", 2);

	if (!part[0] || !part[1]) {
		g_strfreev(part);
		return -1;
	}
	t->calls_to = to;
	t->calls_host = host;
	t->calls_pool = http_pool_new(t->loop, part[0],
	    (int)strtol(part[1], NULL, 10), CONNECTIONS, 0, &limits);
	g_strfreev(part);
	return 0;
}
