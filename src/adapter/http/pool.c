#include "link.h"

#include <string.h>

static void
on_timer(void *ctx, int64_t now)
{
	(void)now;
	pool_open_spare(ctx);
}

static void
on_free_timer(void *ctx, int64_t now)
{
	(void)now;
	link_free_closed(ctx);
}

struct http_pool *
http_pool_new(struct io_loop *loop, const char *ip, int port, int max,
    int spare, const struct http_limits *limits)
{
	struct http_pool *p = g_new0(struct http_pool, 1);

	p->loop = loop;
	p->limits = *limits;
	p->ip = g_strdup(ip);
	p->host =
	    g_strdup_printf(strchr(ip, ':') ? "[%s]:%d" : "%s:%d", ip, port);
	p->port = port;
	p->max = max;
	p->spare = spare;
	p->scratch = g_malloc(HTTP_READ_BYTES);
	p->timer.fire = on_timer;
	p->timer.ctx = p;
	p->free_timer.fire = on_free_timer;
	p->free_timer.ctx = p;
	pool_open_spare(p);
	return p;
}

void
http_pool_free(struct http_pool *p)
{
	struct http_call *c;
	int i;

	if (!p)
		return;
	io_timer_clear(p->loop, &p->timer);
	p->max = 0;
	for (i = 0; i < LINK_STATES; i++) {
		while (p->links[i]) {
			if (p->links[i]->call)
				call_free(p->links[i]->call);
			link_close(p->links[i]);
		}
	}
	ending_free_all(p);
	link_free_closed(p);
	io_timer_clear(p->loop, &p->free_timer);
	while ((c = p->free_calls)) {
		p->free_calls = c->next;
		g_free(c);
	}
	g_free(p->scratch);
	g_free(p->host);
	g_free(p->ip);
	g_free(p);
}

int
http_pool_connections(const struct http_pool *p)
{
	return p->nopen;
}

int
http_pool_busy_connections(const struct http_pool *p)
{
	return p->count[LINK_BUSY];
}

int
pool_places(const struct http_pool *p)
{
	return p->nopen - p->nwaiting + (int)p->endings.length;
}

/* A connection that waits was opened for a call. */
static struct http_link *
find_waiting(const struct http_pool *p)
{
	struct http_link *l, *first = NULL;

	for (l = p->links[LINK_BUSY]; l; l = l->next)
		if (l->fd == LINK_WAITS)
			first = l;
	return first;
}

void
pool_connect_waiting(struct http_pool *p)
{
	struct http_link *l;

	while (p->nwaiting && pool_places(p) < p->max && (l = find_waiting(p)))
		link_connect(l);
}

static struct http_link *
find_idle(struct http_pool *p)
{
	struct http_link *l;

	while ((l = p->links[LINK_IDLE])) {
		if (link_is_alive(l))
			return l;
		link_close(l);
	}
	return NULL;
}

static struct http_link *
find_spare(struct http_pool *p)
{
	struct http_link *l, *next, *connecting = NULL;

	for (l = p->links[LINK_SPARE]; l; l = next) {
		next = l->next;
		if (!link_is_alive(l)) {
			link_close(l);
			pool_open_spare_later(p);
			continue;
		}
		if (l->connected)
			return l;
		connecting = l;
	}
	return connecting;
}

static void
close_oldest_idle(struct http_pool *p)
{
	struct http_link *l = p->links[LINK_IDLE];

	while (l->next)
		l = l->next;
	link_close(l);
}

struct http_link *
pool_get_link(struct http_pool *p, int unused_only, struct kq_error *err)
{
	struct http_link *l = NULL;

	if (!unused_only)
		l = find_idle(p);
	if (!l)
		l = find_spare(p);
	if (l)
		return l;
	if (p->nopen >= p->max && p->links[LINK_IDLE])
		close_oldest_idle(p);
	if (p->nopen < p->max)
		return link_new(p, err);
	kq_error_set(err, KQ_LAYER_HTTP, HTTP_E_CONNECT,
	    "all %d connections to %s are busy", p->max, p->host);
	return NULL;
}

void
pool_open_spare(struct http_pool *p)
{
	if (p->timer.pos)
		return;
	while (p->count[LINK_SPARE] < p->spare &&
	       pool_places(p) + p->nwaiting < p->max) {
		if (!link_new(p, NULL)) {
			pool_open_spare_later(p);
			return;
		}
	}
}

void
pool_open_spare_later(struct http_pool *p)
{
	if (p->spare > 0 && !p->timer.pos)
		io_timer_set(p->loop, &p->timer,
		    io_now(p->loop) + HTTP_SPARE_RETRY_US);
}
