#include <string.h>

#include "platform_impl.h"

#define PLATFORM_TIMEOUT_S 5 /* without a byte from the platform */
#define WATCH_SLACK_S 5 /* beyond the time that a watch waits */

enum request_kind { REQUEST_WRITE, REQUEST_GET, REQUEST_LIST, REQUEST_WATCH };

struct request {
	struct platform *platform;
	SoupMessage *msg;
	enum request_kind kind;
	uint64_t from;
	platform_fn *fn;
	void *ctx;
	guint timer;
	GSource *timeout;
	GCancellable *cancel;
	gulong chained;
};

struct platform *
platform_new(const char *ip, int port)
{
	struct platform *p = g_new0(struct platform, 1);

	p->refs = 1;
	p->session = soup_session_new();
	p->cancel = g_cancellable_new();
	g_snprintf(p->base, sizeof p->base, "http://%s:%d/v1", ip, port);
	return p;
}

void
platform_unref(struct platform *p)
{
	if (--p->refs)
		return;
	g_object_unref(p->session);
	g_object_unref(p->cancel);
	g_free(p);
}

void
platform_free(struct platform *p)
{
	g_cancellable_cancel(p->cancel);
	soup_session_abort(p->session);
	platform_unref(p);
}

static enum platform_status
status_of(int http)
{
	switch (http) {
	case 200:
	case 201:
	case 204:
		return PLATFORM_OK;
	case 404:
		return PLATFORM_ABSENT;
	case 410:
		return PLATFORM_TOO_OLD;
	case 412:
		return PLATFORM_CONFLICT;
	case 429:
		return PLATFORM_LIMITED;
	default:
		return http >= 400 && http < 500 ? PLATFORM_REFUSED
						 : PLATFORM_DOWN;
	}
}

static uint64_t
etag(SoupMessage *msg)
{
	const char *s =
	    soup_message_headers_get_one(soup_message_get_response_headers(msg),
		"ETag");

	return s && *s == '"' ? g_ascii_strtoull(s + 1, NULL, 10) : 0;
}

static void
read_answer(struct request *r, GBytes *body, struct platform_result *out)
{
	gsize n;
	const char *p = g_bytes_get_data(body, &n);

	if (out->status == PLATFORM_REFUSED) {
		kq_error_set(&out->error, KQ_LAYER_PLATFORM, out->status,
		    "the platform refused the request: %.*s", (int)n,
		    p ? p : "");
		return;
	}
	if (out->status != PLATFORM_OK || r->kind == REQUEST_WRITE)
		return;
	if (r->kind == REQUEST_GET) {
		out->value = g_strndup(p ? p : "", n);
		return;
	}
	out->batch = platform_read_batch(p ? p : "", n, r->from,
	    r->kind == REQUEST_LIST, &out->error);
	if (out->batch)
		return;
	kq_error_wrap(&out->error, KQ_LAYER_PLATFORM, PLATFORM_DOWN,
	    "answer of the platform");
	out->status = PLATFORM_DOWN;
}

static void
request_free(struct request *r)
{
	g_source_destroy(r->timeout);
	g_source_unref(r->timeout);
	g_cancellable_disconnect(r->platform->cancel, r->chained);
	g_object_unref(r->cancel);
	g_object_unref(r->msg);
	platform_unref(r->platform);
	g_free(r);
}

static void
answered(GObject *source, GAsyncResult *result, gpointer ctx)
{
	struct request *r = ctx;
	struct platform_result out;
	GError *err = NULL;
	GBytes *body;

	memset(&out, 0, sizeof out);
	body = soup_session_send_and_read_finish(SOUP_SESSION(source), result,
	    &err);
	if (body) {
		out.status = status_of(soup_message_get_status(r->msg));
		out.version = etag(r->msg);
		read_answer(r, body, &out);
		g_bytes_unref(body);
	} else {
		out.status = PLATFORM_DOWN;
		kq_error_set(&out.error, KQ_LAYER_PLATFORM, PLATFORM_DOWN,
		    "no answer from the platform: %s", err->message);
		g_error_free(err);
	}
	if (!g_cancellable_is_cancelled(r->platform->cancel))
		r->fn(r->ctx, &out);
	if (out.batch) {
		config_batch_clear(out.batch);
		g_free(out.batch);
	}
	g_free(out.value);
	request_free(r);
}

static gboolean
late(gpointer ctx)
{
	struct request *r = ctx;

	g_cancellable_cancel(r->cancel);
	return G_SOURCE_REMOVE;
}

static void
cancel_one(GCancellable *all, gpointer ctx)
{
	g_cancellable_cancel(ctx);
}

static struct request *
request_new(struct platform *p, enum request_kind kind, const char *method,
    const char *url, platform_fn *fn, void *ctx)
{
	struct request *r = g_new0(struct request, 1);

	r->platform = p;
	p->refs++;
	r->kind = kind;
	r->msg = soup_message_new(method, url);
	r->fn = fn;
	r->ctx = ctx;
	r->cancel = g_cancellable_new();
	r->chained = g_cancellable_connect(p->cancel, G_CALLBACK(cancel_one),
	    r->cancel, NULL);
	return r;
}

static void
send(struct request *r, int timeout_s)
{
	r->timeout = g_timeout_source_new_seconds(timeout_s);
	g_source_set_callback(r->timeout, late, r, NULL);
	g_source_attach(r->timeout, g_main_context_get_thread_default());
	soup_session_send_and_read_async(r->platform->session, r->msg,
	    G_PRIORITY_DEFAULT, r->cancel, answered, r);
}

void
platform_list(struct platform *p, platform_fn *fn, void *ctx)
{
	char url[128];

	g_snprintf(url, sizeof url, "%s/objects", p->base);
	send(request_new(p, REQUEST_LIST, "GET", url, fn, ctx),
	    PLATFORM_TIMEOUT_S);
}

void
platform_watch(struct platform *p, uint64_t from, int wait_ms, platform_fn *fn,
    void *ctx)
{
	struct request *r;
	char url[160];

	g_snprintf(url, sizeof url,
	    "%s/watch?from=%" G_GUINT64_FORMAT "&wait_ms=%d", p->base, from,
	    wait_ms);
	r = request_new(p, REQUEST_WATCH, "GET", url, fn, ctx);
	r->from = from;
	send(r, wait_ms / 1000 + WATCH_SLACK_S);
}

static struct request *
object_request(struct platform *p, enum request_kind rk, const char *method,
    int kind, const char *name, platform_fn *fn, void *ctx)
{
	char url[256];

	g_snprintf(url, sizeof url, "%s/objects/%s/%s", p->base,
	    config_kind_name(kind), name);
	return request_new(p, rk, method, url, fn, ctx);
}

void
platform_get(struct platform *p, int kind, const char *name, platform_fn *fn,
    void *ctx)
{
	send(object_request(p, REQUEST_GET, "GET", kind, name, fn, ctx),
	    PLATFORM_TIMEOUT_S);
}

static void
set_condition(SoupMessage *msg, uint64_t version)
{
	SoupMessageHeaders *h = soup_message_get_request_headers(msg);
	char tag[32];

	g_snprintf(tag, sizeof tag, "\"%" G_GUINT64_FORMAT "\"", version);
	if (version)
		soup_message_headers_append(h, "If-Match", tag);
	else
		soup_message_headers_append(h, "If-None-Match", "*");
}

void
platform_put(struct platform *p, int kind, const char *name, const char *value,
    uint64_t version, platform_fn *fn, void *ctx)
{
	struct request *r;
	GBytes *body = g_bytes_new(value, strlen(value));

	r = object_request(p, REQUEST_WRITE, "PUT", kind, name, fn, ctx);
	set_condition(r->msg, version);
	soup_message_set_request_body_from_bytes(r->msg, "application/json",
	    body);
	g_bytes_unref(body);
	send(r, PLATFORM_TIMEOUT_S);
}

void
platform_delete(struct platform *p, int kind, const char *name,
    uint64_t version, platform_fn *fn, void *ctx)
{
	struct request *r;

	r = object_request(p, REQUEST_WRITE, "DELETE", kind, name, fn, ctx);
	set_condition(r->msg, version);
	send(r, PLATFORM_TIMEOUT_S);
}

const char *
platform_status_name(enum platform_status s)
{
	static const char *const names[] = { "ok", "conflict", "absent",
		"too-old", "over-rate", "refused", "down" };

	return names[s];
}
