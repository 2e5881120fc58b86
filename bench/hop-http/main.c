#include <stdio.h>
#include <stdlib.h>

#include "http.h"

/* A forwarding proxy that uses the HTTP adapter of the daemon. */

#define POOL_MAX 1024
#define BUFFERED_MAX 262144 /* bytes; above this, the sender is paused */

struct hop {
	GMainLoop *main;
	struct io_loop *loop;
	struct http_server *server;
	struct http_pool *pool;
};

/* One forwarded request; either side may end first. */
struct transfer {
	struct http_exchange *exchange; /* NULL once it is over */
	struct http_call *call; /* NULL once it is over */
	int head_sent; /* of the answer, to the caller */
};

static int
is_forwarded(const char *name)
{
	static const char *const hop_by_hop[] = { "Connection",
		"Content-Length", "Expect", "Keep-Alive", "Proxy-Connection",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (!g_ascii_strcasecmp(name, hop_by_hop[i]))
			return 0;
	return 1;
}

static int
copy_fields(struct http_field *to, const struct http_head *h)
{
	int i, n = 0;

	for (i = 0; i < h->nfield; i++)
		if (is_forwarded(h->field[i].name))
			to[n++] = h->field[i];
	return n;
}

static void
free_if_over(struct transfer *t)
{
	if (!t->exchange && !t->call)
		g_free(t);
}

/* ---- answer of the target ---- */

static void
on_head(void *ctx, const struct http_head *h)
{
	struct http_field field[HTTP_FIELDS_MAX];
	struct transfer *t = ctx;

	t->head_sent = 1;
	http_exchange_write_head(t->exchange, h->status, field,
	    copy_fields(field, h), h->length);
}

static void
on_answer(void *ctx, const void *data, size_t n)
{
	struct transfer *t = ctx;

	if (http_exchange_write(t->exchange, data, n) > BUFFERED_MAX)
		http_call_pause(t->call, 1);
}

static void
on_done(void *ctx)
{
	struct transfer *t = ctx;

	t->call = NULL;
	http_exchange_end(t->exchange);
	t->exchange = NULL;
	free_if_over(t);
}

static void
answer_bad_gateway(struct http_exchange *x)
{
	http_exchange_write_head(x, 502, NULL, 0, 0);
	http_exchange_end(x);
}

static void
on_failed(void *ctx, const struct kq_error *err, int sent)
{
	struct transfer *t = ctx;

	(void)err;
	(void)sent;
	t->call = NULL;
	if (t->head_sent)
		http_exchange_abort(t->exchange);
	else
		answer_bad_gateway(t->exchange);
	t->exchange = NULL;
	free_if_over(t);
}

static void
on_call_drained(void *ctx)
{
	struct transfer *t = ctx;

	http_exchange_pause(t->exchange, 0);
}

static const struct http_call_ops call_ops = {
	.head = on_head,
	.body = on_answer,
	.done = on_done,
	.failed = on_failed,
	.drained = on_call_drained,
};

/* ---- request of the caller ---- */

static void
on_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	struct http_field field[HTTP_FIELDS_MAX];
	struct transfer *t = g_new0(struct transfer, 1);
	struct hop *hop = ctx;
	struct kq_error err;

	t->call = http_call_start(hop->pool, h->method, h->path, field,
	    copy_fields(field, h), h->length, 0, &call_ops, t, &err);
	if (!t->call) {
		g_free(t);
		answer_bad_gateway(x);
		return;
	}
	t->exchange = x;
	http_exchange_set_ctx(x, t);
}

static void
on_body(void *ctx, struct http_exchange *x, const void *data, size_t n)
{
	struct transfer *t = http_exchange_ctx(x);

	(void)ctx;
	if (http_call_write(t->call, data, n) > BUFFERED_MAX)
		http_exchange_pause(x, 1);
}

static void
on_end(void *ctx, struct http_exchange *x)
{
	struct transfer *t = http_exchange_ctx(x);

	(void)ctx;
	http_call_end_request(t->call);
}

static void
on_drained(void *ctx, struct http_exchange *x)
{
	struct transfer *t = http_exchange_ctx(x);

	(void)ctx;
	http_call_pause(t->call, 0);
}

static void
on_gone(void *ctx, struct http_exchange *x, const struct kq_error *err)
{
	struct transfer *t = http_exchange_ctx(x);

	(void)ctx;
	(void)err;
	t->exchange = NULL;
	http_call_cancel(t->call);
	t->call = NULL;
	free_if_over(t);
}

static const struct http_server_ops server_ops = {
	.request = on_request,
	.body = on_body,
	.end = on_end,
	.drained = on_drained,
	.failed = on_gone,
};

int
main(int argc, char **argv)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	struct kq_error err;
	struct hop hop;

	if (argc != 5) {
		fprintf(stderr, "usage: %s IP PORT TARGET-IP TARGET-PORT\n",
		    argv[0]);
		return EXIT_FAILURE;
	}
	hop.main = g_main_loop_new(NULL, FALSE);
	hop.loop = io_loop_new(NULL);
	hop.pool = http_pool_new(hop.loop, argv[3],
	    (int)strtol(argv[4], NULL, 10), POOL_MAX, 0, &limits);
	hop.server = http_server_new(hop.loop, argv[1],
	    (int)strtol(argv[2], NULL, 10), &limits, &server_ops, &hop, &err);
	if (!hop.server) {
		fprintf(stderr, "%s\n", err.text);
		return EXIT_FAILURE;
	}
	g_main_loop_run(hop.main);
	return EXIT_SUCCESS;
}
