#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "platform_impl.h"

#define PLATFORM_TIMEOUT_S 5 /* of one HTTP request, except a watch */
#define WATCH_SLACK_S 5 /* timeout of a watch beyond its wait time */
#define CONNECTIONS_MAX 8 /* a watch of each feed, and other requests */
#define KEEPALIVE_S 1 /* between TCP probes of an idle connection */
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 2000 /* for data without an acknowledgement */

static void platform_unref(struct platform *);
static void
send_request(struct request *, struct store_request *, int timeout_s);

/* Sets TCP keepalive and the user timeout, so that TCP detects a connection
 * that is dead: the lack of an answer does not show it, as a watch waits for
 * long. */
static void
on_network_event(SoupMessage *msg, GSocketClientEvent event, GIOStream *stream,
    gpointer unused)
{
	GSocket *s;

	if (event != G_SOCKET_CLIENT_CONNECTED ||
	    !G_IS_SOCKET_CONNECTION(stream))
		return;
	s = g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
	g_socket_set_keepalive(s, TRUE);
	g_socket_set_option(s, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_S, NULL);
	g_socket_set_option(s, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_S, NULL);
	g_socket_set_option(s, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES,
	    NULL);
	g_socket_set_option(s, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS,
	    NULL);
}

struct platform *
platform_new(const char *ip, int port, const struct store_form *form)
{
	struct platform *p = g_new0(struct platform, 1);

	p->refs = 1;
	p->form = form;
	/* A watch occupies a connection while it waits. */
	p->session = soup_session_new_with_options("max-conns", CONNECTIONS_MAX,
	    "max-conns-per-host", CONNECTIONS_MAX, NULL);
	/* Addresses are numeric; the default proxy resolver would load the
	 * desktop's proxy settings. */
	soup_session_set_proxy_resolver(p->session, NULL);
	p->cancel = g_cancellable_new();
	platform_set_address(p, ip, port);
	return p;
}

void
platform_set_address(struct platform *p, const char *ip, int port)
{
	g_snprintf(p->base, sizeof p->base, "http://%s:%d", ip, port);
}

const struct store_form *
platform_form(const struct platform *p)
{
	return p->form;
}

static void
platform_unref(struct platform *p)
{
	if (--p->refs)
		return;
	g_object_unref(p->session);
	g_object_unref(p->cancel);
	g_free(p);
}

void
platform_cancel(struct platform *p)
{
	g_cancellable_cancel(p->cancel);
	soup_session_abort(p->session);
}

void
platform_free(struct platform *p)
{
	platform_cancel(p);
	platform_unref(p);
}

static enum platform_status
status_from_http(const struct store_form *form, int http)
{
	if (http == form->conflict_status)
		return PLATFORM_CONFLICT;
	switch (http) {
	case 200:
	case 201:
	case 204:
		return PLATFORM_OK;
	case 404:
		return PLATFORM_ABSENT;
	case 410:
		return PLATFORM_TOO_OLD;
	case 429:
		return PLATFORM_RATE_LIMITED;
	default:
		return http >= 400 && http < 500 ? PLATFORM_REFUSED
						 : PLATFORM_DOWN;
	}
}

static const char *
answer_etag(SoupMessage *msg)
{
	return soup_message_headers_get_one(soup_message_get_response_headers(
						msg),
	    "ETag");
}

static void
batch_free(struct config_batch *b)
{
	if (!b)
		return;
	config_batch_clear(b);
	g_free(b);
}

/* Asks for the first page of a list, or the one behind @after. */
static void
request_page(struct request *r, const char *after)
{
	struct store_request q = { .body = g_string_new(NULL) };

	r->platform->form->write_list(&q, r->feed, after, r->stale);
	send_request(r, &q, PLATFORM_TIMEOUT_S);
}

/* Notes what of a page can't be used; keeps the first error of all pages. */
static void
note_invalid(struct request *r, const struct store_page *page,
    struct platform_result *out)
{
	uint64_t version = page->invalid_version;

	if (page->invalid && !r->invalid)
		r->error = out->error;
	else if (r->invalid)
		out->error = r->error;
	r->invalid += page->invalid;
	if (r->platform->form->era_field)
		version = platform_object_version(out->era, version);
	r->invalid_version = MAX(r->invalid_version, version);
}

/* Adds a page to the batch; returns 1 if it asked for another page. */
static int
read_page(struct request *r, const char *text, size_t n,
    struct platform_result *out)
{
	struct store_page page = { .batch = r->batch };

	if (!page.batch)
		page.batch = g_new0(struct config_batch, 1);
	r->batch = page.batch;
	if (r->platform->form->read_page(&page, r->feed,
		r->kind == REQUEST_LIST, text, n, &out->error)) {
		g_free(page.after);
		kq_error_wrap(&out->error, KQ_LAYER_PLATFORM, PLATFORM_DOWN,
		    "invalid answer of the platform");
		out->status = PLATFORM_DOWN;
		return 0;
	}
	note_invalid(r, &page, out);
	if (r->platform->form->era_field)
		platform_stamp_batch(r->batch, out->era);
	if (page.after) {
		request_page(r, page.after);
		g_free(page.after);
		return 1;
	}
	page.batch->source = CONFIG_SOURCE_PLATFORM;
	page.batch->after = r->from;
	out->batch = page.batch;
	out->invalid = r->invalid;
	out->invalid_version = r->invalid_version;
	r->batch = NULL;
	return 0;
}

static int
wants_value(const struct request *r)
{
	return r->kind == REQUEST_GET || r->object_kind == CONFIG_ROLLOUT;
}

/* Fills in the result; returns 1 if another page was asked for instead. */
static int
read_answer(struct request *r, GBytes *body, struct platform_result *out)
{
	const struct store_form *form = r->platform->form;
	gsize n;
	const char *p = g_bytes_get_data(body, &n);

	if (!p)
		p = "";
	out->status = status_from_http(form, soup_message_get_status(r->msg));
	out->era = platform_answer_era(form, r->msg);
	if (platform_fails_by_era(r, out))
		return 0;
	r->era = out->era;
	if (out->status == PLATFORM_REFUSED) {
		kq_error_set(&out->error, KQ_LAYER_PLATFORM, out->status,
		    "the platform refused the request: %.*s", (int)n, p);
		return 0;
	}
	if (r->kind == REQUEST_WRITE || r->kind == REQUEST_GET) {
		if (out->status == PLATFORM_OK ||
		    out->status == PLATFORM_CONFLICT)
			out->version = platform_object_version(out->era,
			    form->read_object_answer(answer_etag(r->msg),
				r->object_kind, p, n,
				wants_value(r) ? &out->value : NULL));
		return 0;
	}
	return out->status == PLATFORM_OK && read_page(r, p, n, out);
}

static void
clear_timeout(struct request *r)
{
	if (!r->timeout)
		return;
	g_source_destroy(r->timeout);
	g_source_unref(r->timeout);
	r->timeout = NULL;
}

static void
release_message(struct request *r)
{
	if (r->msg)
		g_object_unref(r->msg);
	r->msg = NULL;
}

static void
request_free(struct request *r)
{
	clear_timeout(r);
	batch_free(r->batch);
	g_cancellable_disconnect(r->platform->cancel, r->cancel_handler);
	g_object_unref(r->cancel);
	release_message(r);
	platform_unref(r->platform);
	g_free(r);
}

static void
on_answer(GObject *source, GAsyncResult *result, gpointer ctx)
{
	struct request *r = ctx;
	struct platform_result out;
	GError *err = NULL;
	GBytes *body;

	memset(&out, 0, sizeof out);
	clear_timeout(r);
	body = soup_session_send_and_read_finish(SOUP_SESSION(source), result,
	    &err);
	if (body) {
		int more = read_answer(r, body, &out);

		g_bytes_unref(body);
		if (more)
			return;
	} else {
		out.status = PLATFORM_DOWN;
		kq_error_set(&out.error, KQ_LAYER_PLATFORM, PLATFORM_DOWN,
		    "no answer from the platform: %s", err->message);
		g_error_free(err);
	}
	if (!g_cancellable_is_cancelled(r->platform->cancel))
		r->fn(r->ctx, &out);
	batch_free(out.batch);
	g_free(out.value);
	request_free(r);
}

static gboolean
on_timeout(gpointer ctx)
{
	struct request *r = ctx;

	g_cancellable_cancel(r->cancel);
	return G_SOURCE_REMOVE;
}

static void
cancel_request(GCancellable *all, gpointer ctx)
{
	g_cancellable_cancel(ctx);
}

static struct request *
request_new(struct platform *p, enum request_kind kind, platform_fn *fn,
    void *ctx)
{
	struct request *r = g_new0(struct request, 1);

	r->platform = p;
	p->refs++;
	r->kind = kind;
	r->fn = fn;
	r->ctx = ctx;
	r->cancel = g_cancellable_new();
	r->cancel_handler = g_cancellable_connect(p->cancel,
	    G_CALLBACK(cancel_request), r->cancel, NULL);
	return r;
}

/* Sends one HTTP request; frees the path and the body of @q. */
static void
send_request(struct request *r, struct store_request *q, int timeout_s)
{
	char *url = g_strconcat(r->platform->base, q->path, NULL);
	GBytes *body;

	release_message(r);
	r->msg = soup_message_new(q->method, url);
	g_free(url);
	g_free(q->path);
	g_signal_connect(r->msg, "network-event", G_CALLBACK(on_network_event),
	    NULL);
	if (q->condition_name)
		soup_message_headers_append(soup_message_get_request_headers(
						r->msg),
		    q->condition_name, q->condition_value);
	body = g_string_free_to_bytes(q->body);
	if (g_bytes_get_size(body))
		soup_message_set_request_body_from_bytes(r->msg,
		    "application/json", body);
	g_bytes_unref(body);
	r->timeout = g_timeout_source_new_seconds(timeout_s);
	g_source_set_callback(r->timeout, on_timeout, r, NULL);
	g_source_attach(r->timeout, g_main_context_get_thread_default());
	soup_session_send_and_read_async(r->platform->session, r->msg,
	    G_PRIORITY_DEFAULT, r->cancel, on_answer, r);
}

void
platform_list(struct platform *p, int feed, int stale, platform_fn *fn,
    void *ctx)
{
	struct request *r = request_new(p, REQUEST_LIST, fn, ctx);

	r->feed = feed;
	r->stale = stale;
	request_page(r, NULL);
}

void
platform_watch(struct platform *p, int feed, uint64_t from, int wait_ms,
    platform_fn *fn, void *ctx)
{
	struct request *r = request_new(p, REQUEST_WATCH, fn, ctx);
	struct store_request q = { .body = g_string_new(NULL) };

	r->feed = feed;
	r->from = from;
	p->form->write_watch(&q, feed, platform_revision(p, from), wait_ms);
	send_request(r, &q, wait_ms / 1000 + WATCH_SLACK_S);
}

void
platform_get(struct platform *p, int kind, const char *name, platform_fn *fn,
    void *ctx)
{
	struct request *r = request_new(p, REQUEST_GET, fn, ctx);
	struct store_request q = { .body = g_string_new(NULL) };

	r->object_kind = kind;
	p->form->write_get(&q, kind, name);
	send_request(r, &q, PLATFORM_TIMEOUT_S);
}

void
platform_put(struct platform *p, int kind, const char *name, const char *value,
    uint64_t version, platform_fn *fn, void *ctx)
{
	struct request *r = request_new(p, REQUEST_WRITE, fn, ctx);
	struct store_request q = { .body = g_string_new(NULL) };

	r->object_kind = kind;
	p->form->write_put(&q, kind, name, value,
	    platform_revision(p, version));
	send_request(r, &q, PLATFORM_TIMEOUT_S);
}

void
platform_put_status(struct platform *p, const char *name,
    const struct rollout_object *o, uint64_t version, platform_fn *fn,
    void *ctx)
{
	struct request *r = request_new(p, REQUEST_WRITE, fn, ctx);
	struct store_request q = { .body = g_string_new(NULL) };

	r->object_kind = CONFIG_ROLLOUT;
	p->form->write_status(&q, name, o, platform_revision(p, version));
	send_request(r, &q, PLATFORM_TIMEOUT_S);
}

void
platform_delete(struct platform *p, int kind, const char *name,
    uint64_t version, platform_fn *fn, void *ctx)
{
	struct request *r = request_new(p, REQUEST_WRITE, fn, ctx);
	struct store_request q = { .body = g_string_new(NULL) };

	r->object_kind = kind;
	p->form->write_remove(&q, kind, name, platform_revision(p, version));
	send_request(r, &q, PLATFORM_TIMEOUT_S);
}

const char *
platform_status_name(enum platform_status s)
{
	static const char *const names[] = { "ok", "conflict", "absent",
		"too-old", "over-rate", "refused", "down" };

	return names[s];
}
