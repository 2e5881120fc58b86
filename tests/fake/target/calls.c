#include "target.h"

#include <stdlib.h>
#include <string.h>

#define PATH "/check/?work_ms=40&bytes=200"
#define WORK_MS 40
#define ANSWER_BYTES 200
#define CONNECTIONS 60
#define LIMIT_MS 500 /* deadline, if the caller's own isn't sooner */

/**
 * struct calls - calls that a request makes one after the other while it runs
 * @left: how many are still to be made, with the present one
 * @made: how many were begun
 * @call: the present one
 * @status: of its answer, 0 before the head
 * @is_signed: its answer has a signature
 */
struct calls {
	int left;
	int made;
	struct http_call *call;
	char id[KEY_MAX + 16];
	int status;
	int is_signed;
};

static int start_call(struct conn *);

static void
log_answer(struct conn *c, const char *outcome)
{
	struct target *t = c->target;

	history_write(&t->history, io_clock(),
	    "answer id=%s conn=calls outcome=%s status=%d signed=%d closes=0",
	    c->calls->id, outcome, c->calls->status, c->calls->is_signed);
}

static void
end_calls(struct conn *c, int good)
{
	g_free(c->calls);
	c->calls = NULL;
	job_calls_ended(c, good);
}

static void
on_head(void *ctx, const struct http_head *h)
{
	struct calls *k = ((struct conn *)ctx)->calls;

	k->status = h->status;
	k->is_signed = http_head_find(h, "X-Server-Signature") != NULL;
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
	struct conn *c = ctx;

	c->calls->call = NULL;
	log_answer(c, "whole");
	if (c->calls->status == 200 && !--c->calls->left)
		end_calls(c, 1);
	else if (c->calls->status != 200 || start_call(c))
		end_calls(c, 0);
}

static void
on_failed(void *ctx, const struct kq_error *e, int sent)
{
	struct conn *c = ctx;

	(void)e;
	c->calls->call = NULL;
	log_answer(c, sent ? "cut" : "unsent");
	end_calls(c, 0);
}

static const struct http_call_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

static void
log_call(struct conn *c, int64_t now, int limit_ms)
{
	struct target *t = c->target;

	history_write(&t->history, now,
	    "call id=%s to=%s conn=calls way=6 behind=0 once=0 start=%" G_GINT64_FORMAT
	    " limit_ms=%d work_ms=%d bytes=%d breaks=0 route=check parent=%s",
	    c->calls->id, t->calls_to, now, limit_ms, WORK_MS, ANSWER_BYTES,
	    c->key);
}

static int
start_call(struct conn *c)
{
	struct target *t = c->target;
	struct calls *k = c->calls;
	int64_t now = io_clock(), limit_ms = LIMIT_MS;
	char limit[16];
	struct http_field f[] = { { "Host", t->calls_host },
		{ "X-Attempt-Id", k->id }, { "X-Deadline-Ms", limit } };

	if (c->deadline)
		limit_ms = MIN(limit_ms, (c->deadline - now) / 1000);
	if (limit_ms <= 0)
		return -1;
	g_snprintf(limit, sizeof limit, "%d", (int)limit_ms);
	g_snprintf(k->id, sizeof k->id, "%s.%d", c->key, ++k->made);
	k->status = k->is_signed = 0;
	k->call = http_call_start(t->calls_pool, "GET", PATH, f,
	    G_N_ELEMENTS(f), HTTP_LENGTH_NONE, 0, &ops, c, NULL);
	if (!k->call)
		return -1;
	log_call(c, now, (int)limit_ms);
	return 0;
}

int
calls_begin(struct conn *c)
{
	int n = (int)path_number(c, "calls", 0);

	if (!n || !c->target->calls_pool)
		return 0;
	c->calls = g_new0(struct calls, 1);
	c->calls->left = n;
	if (start_call(c))
		end_calls(c, 0);
	return 1;
}

void
calls_cancel(struct conn *c)
{
	if (!c->calls)
		return;
	if (c->calls->call) {
		log_answer(c, "late"); /* given up by the caller */
		http_call_cancel(c->calls->call);
	}
	g_free(c->calls);
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
