#include "link.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void
on_ready(void *ctx, int ready)
{
	link_handle_ready(ctx, ready);
}

static void
on_timer(void *ctx, int64_t now)
{
	link_handle_timer(ctx, now);
}

static void
list_add(struct http_link *l, enum link_state state)
{
	struct http_pool *p = l->pool;

	l->state = state;
	l->prev = NULL;
	l->next = p->links[state];
	if (l->next)
		l->next->prev = l;
	p->links[state] = l;
	p->count[state]++;
}

static void
list_remove(struct http_link *l)
{
	struct http_pool *p = l->pool;

	if (l->prev)
		l->prev->next = l->next;
	else
		p->links[l->state] = l->next;
	if (l->next)
		l->next->prev = l->prev;
	p->count[l->state]--;
}

void
link_set_state(struct http_link *l, enum link_state state)
{
	list_remove(l);
	list_add(l, state);
}

static struct http_link *
new_link(struct http_pool *p)
{
	struct http_link *l = g_new0(struct http_link, 1);

	l->pool = p;
	l->fd = LINK_WAITS;
	l->last_byte = io_now(p->loop);
	l->timer.fire = on_timer;
	l->timer.ctx = l;
	in_init(&l->in, HTTP_RESPONSE, p->limits.head_bytes, &link_in_ops, l);
	return l;
}

static void
add_link(struct http_link *l)
{
	list_add(l, LINK_SPARE);
	l->pool->nopen++;
	link_update_watch(l);
}

static int
set_socket(struct http_link *l, int fd, int connected)
{
	l->connected = connected;
	if (io_watch_add(l->pool->loop, &l->watch, fd,
		connected ? IO_READ : IO_WRITE, on_ready, l) < 0) {
		close(fd);
		return -1;
	}
	l->fd = fd;
	return 0;
}

struct http_link *
link_adopt(struct http_pool *p, int fd, int connected, struct kq_error *err)
{
	struct http_link *l = new_link(p);

	if (set_socket(l, fd, connected) < 0) {
		kq_error_set(err, KQ_LAYER_HTTP, HTTP_E_SOCKET,
		    "watch socket: %s", strerror(errno));
		in_clear(&l->in);
		g_free(l);
		return NULL;
	}
	add_link(l);
	return l;
}

static struct http_link *
wait_for_place(struct http_pool *p)
{
	struct http_link *l = new_link(p);

	p->nwaiting++;
	add_link(l);
	return l;
}

struct http_link *
link_new(struct http_pool *p, struct kq_error *err)
{
	int fd;

	if (p->endings.length && pool_places(p) >= p->max)
		return wait_for_place(p);
	fd = io_connect_tcp(p->ip, p->port);
	if (fd >= 0)
		return link_adopt(p, fd, 0, err);
	kq_error_set(err, KQ_LAYER_HTTP, HTTP_E_CONNECT,
	    "connect to %s port %d: %s", p->ip, p->port, strerror(errno));
	return NULL;
}

void
link_connect(struct http_link *l)
{
	struct http_pool *p = l->pool;
	int fd = io_connect_tcp(p->ip, p->port);

	p->nwaiting--;
	l->last_byte = io_now(p->loop);
	if (fd >= 0 && !set_socket(l, fd, 0))
		return;
	l->fd = LINK_NO_SOCKET;
	l->send_errno = errno;
	link_schedule(l);
}

static void
close_socket(struct http_link *l)
{
	if (l->fd == LINK_WAITS)
		l->pool->nwaiting--;
	if (l->fd < 0)
		return;
	/* else bytes of a request that was given up may arrive much later */
	io_limit_silence(l->fd, IO_USER_TIMEOUT_MS);
	if (io_unsent(l->fd))
		io_reset_on_close(l->fd);
	else if (l->connected) {
		ending_begin(l->pool, l->fd);
		return;
	}
	close(l->fd);
}

void
link_close(struct http_link *l)
{
	struct http_pool *p = l->pool;

	if (l->closed)
		return;
	l->closed = 1;
	l->call = NULL;
	in_pause(&l->in, 1);
	io_watch_remove(p->loop, &l->watch);
	io_timer_clear(p->loop, &l->timer);
	close_socket(l);
	list_remove(l);
	p->nopen--;
	l->next = p->closed;
	p->closed = l;
	io_timer_set(p->loop, &p->free_timer, io_now(p->loop));
	pool_connect_waiting(p);
}

void
link_free_closed(struct http_pool *p)
{
	struct http_link *l;

	while ((l = p->closed)) {
		p->closed = l->next;
		out_clear(&l->out);
		in_clear(&l->in);
		g_free(l);
	}
}

int
link_is_alive(const struct http_link *l)
{
	char c;

	if (l->closed || l->send_errno)
		return 0;
	if (!l->connected)
		return 1;
	return recv(l->fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

void
link_schedule(struct http_link *l)
{
	if (l->closed)
		return;
	l->scheduled = 1;
	io_timer_set(l->pool->loop, &l->timer, io_now(l->pool->loop));
}

void
link_note_send(struct http_link *l, ssize_t r)
{
	l->corked = 0;
	if (r > 0) {
		l->call->sent = 1;
		l->last_byte = io_now(l->pool->loop);
		return;
	}
	if (r == 0 || errno == EAGAIN || errno == EINTR)
		return;
	l->send_errno = errno;
	link_schedule(l);
}

void
link_flush(struct http_link *l)
{
	struct http_call *c = l->call;

	if (!c || !l->connected || l->send_errno || !out_pending(&l->out))
		return;
	link_note_send(l, out_send(&l->out, l->fd, NULL, 0));
	if (l->send_errno || out_pending(&l->out) || !c->notify_drained)
		return;
	c->notify_drained = 0;
	if (c->ops->drained)
		c->ops->drained(c->ctx);
}

int64_t
link_timeout_time(const struct http_link *l)
{
	const struct http_limits *m = &l->pool->limits;
	const struct http_call *c = l->call;

	if (!l->connected)
		return l->last_byte + (int64_t)m->head_ms * HTTP_US_PER_MS;
	if (l->extra && !c->paused)
		return l->extra_by;
	if (c && (c->paused || (!c->ended && !out_pending(&l->out))))
		return 0;
	return l->last_byte + (int64_t)m->idle_ms * HTTP_US_PER_MS;
}

void
link_update_watch(struct http_link *l)
{
	int64_t due = link_timeout_time(l);
	int events = 0;

	if (l->closed)
		return;
	if (!l->call || !l->call->paused)
		l->read_disabled = 0;
	if (l->connected && !l->read_disabled)
		events |= IO_READ;
	if (!l->connected || (out_pending(&l->out) && !l->corked))
		events |= IO_WRITE;
	io_watch_events(l->pool->loop, &l->watch, events);
	if (l->scheduled || !due)
		return;
	if (!l->timer.pos || due < l->timer.due)
		io_timer_set(l->pool->loop, &l->timer, due);
}
