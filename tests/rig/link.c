#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io.h"
#include "rig.h"

#define BACKLOG 256
#define BYTES 16384 /* of a piece */
#define STEP_MS 20 /* between two looks at the link's mode */
#define PIECES_MAX 64 /* that wait in one direction */

/** struct stream - bytes from one socket to the other */
struct stream {
	int from, to;
	GQueue pieces; /* struct piece, in order */
	int at_end; /* nonzero: @from has nothing more */
	int closed; /* nonzero: @to was told */
};

struct piece {
	int64_t due;
	size_t n, sent;
	char b[BYTES];
};

/** struct link - a connection through the proxy */
struct link {
	struct machine *machine;
	int backward; /* nonzero: the machine is where it began */
	int turned_away; /* nonzero: the store's end does not serve it */
	struct stream stream[2];
};

struct door {
	struct machine *machine;
	int fd;
	int to_store;
	struct sockaddr_in to;
	struct sockaddr_in to_away; /* for machines that are turned away */
};

static struct sockaddr_in
address(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

static int
mode_of(const struct link *l)
{
	return g_atomic_int_get(
	    l->backward ? &l->machine->store_link : &l->machine->link);
}

/* Nonzero if bytes of this direction pass now. */
static int
passes(const struct link *l, const struct stream *w)
{
	int mode = mode_of(l);

	if (mode == LINK_ONE_WAY)
		return w == &l->stream[!l->backward];
	return mode != LINK_SILENT;
}

/* Reads a piece; nonzero if the connection is broken. */
static int
take_piece(struct link *l, struct stream *w)
{
	struct piece *p;
	ssize_t n;

	p = g_new(struct piece, 1);
	n = recv(w->from, p->b, sizeof p->b, MSG_DONTWAIT);
	if (n > 0) {
		p->n = (size_t)n;
		p->sent = 0;
		p->due = io_clock();
		if (mode_of(l) == LINK_DELAY)
			p->due += g_atomic_int_get(&l->machine->link_ms) *
				  INT64_C(1000);
		g_queue_push_tail(&w->pieces, p);
		return 0;
	}
	g_free(p);
	if (!n)
		w->at_end = 1;
	return n < 0 && errno != EAGAIN && errno != EINTR;
}

/* Sends what is due; nonzero if the connection is broken. */
static int
give_pieces(struct stream *w, int64_t now)
{
	struct piece *p;
	ssize_t n;

	while ((p = g_queue_peek_head(&w->pieces)) && p->due <= now) {
		n = send(w->to, p->b + p->sent, p->n - p->sent,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n < 0)
			return errno != EAGAIN && errno != EINTR;
		p->sent += (size_t)n;
		if (p->sent < p->n)
			return 0;
		g_free(g_queue_pop_head(&w->pieces));
	}
	if (!p && w->at_end && !w->closed) {
		shutdown(w->to, SHUT_WR);
		w->closed = 1;
	}
	return 0;
}

/* Waits until a direction can go on; milliseconds at most until a look at the
 * mode or until a piece is due. */
static void
wait_some(struct link *l, short *readable)
{
	struct pollfd f[2];
	int i, ms = STEP_MS;
	const struct piece *p;
	int64_t now = io_clock();

	for (i = 0; i < 2; i++) {
		f[i].fd = l->stream[i].from;
		f[i].events = 0;
		if (!l->stream[i].at_end && passes(l, &l->stream[i]) &&
		    l->stream[i].pieces.length < PIECES_MAX)
			f[i].events = POLLIN;
	}
	for (i = 0; i < 2; i++) {
		p = g_queue_peek_head(&l->stream[i].pieces);
		if (p && p->due > now)
			ms = MIN(ms, (int)((p->due - now) / 1000) + 1);
		else if (p && passes(l, &l->stream[i]))
			f[!i].events |= POLLOUT;
	}
	for (i = 0; i < 2; i++)
		if (!f[i].events)
			f[i].fd = -1; /* an ended one would be ready at once */
	poll(f, 2, ms);
	for (i = 0; i < 2; i++)
		readable[i] = f[i].events & POLLIN ? f[i].revents : 0;
}

static int
forward(struct link *l)
{
	short readable[2];
	int i, bad = 0;

	wait_some(l, readable);
	if (mode_of(l) == LINK_RESET ||
	    l->turned_away != (mode_of(l) == LINK_TURNED_AWAY))
		return 1;
	for (i = 0; i < 2 && !bad; i++) {
		if (readable[i] & (POLLIN | POLLHUP | POLLERR))
			bad = take_piece(l, &l->stream[i]);
		if (!bad && passes(l, &l->stream[i]))
			bad = give_pieces(&l->stream[i], io_clock());
	}
	return bad || (l->stream[0].closed && l->stream[1].closed);
}

static gpointer
run_link(gpointer arg)
{
	struct link *l = arg;
	struct linger hard = { 1, 0 };
	int i;

	while (!forward(l))
		;
	for (i = 0; i < 2; i++) {
		if (!l->stream[i].closed)
			setsockopt(l->stream[i].to, SOL_SOCKET, SO_LINGER,
			    &hard, sizeof hard);
		g_queue_clear_full(&l->stream[i].pieces, g_free);
	}
	for (i = 0; i < 2; i++)
		close(l->stream[i].from);
	g_free(l);
	return NULL;
}

static void
join(struct door *d, int fd)
{
	struct link *l = g_new0(struct link, 1);
	int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct linger hard = { 1, 0 };
	struct sockaddr_in *a = &d->to;

	l->machine = d->machine;
	l->backward = d->to_store;
	l->turned_away = mode_of(l) == LINK_TURNED_AWAY;
	if (l->turned_away)
		a = &d->to_away;
	if (to < 0 || connect(to, (struct sockaddr *)a, sizeof *a)) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
		close(fd);
		if (to >= 0)
			close(to);
		g_free(l);
		return;
	}
	l->stream[0].from = l->stream[1].to = fd;
	l->stream[0].to = l->stream[1].from = to;
	g_thread_unref(g_thread_new("link", run_link, l));
}

static gpointer
accept_links(gpointer arg)
{
	struct door *d = arg;
	int fd;

	for (;;) {
		fd = accept4(d->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		join(d, fd);
	}
	return NULL;
}

void
link_start(struct machine *m, int listen_port, const char *to_ip, int port)
{
	struct door *d = g_new0(struct door, 1);
	struct sockaddr_in a = address(m->ip, listen_port);
	char *store = g_strdup_printf("%s.0.10", m->rig->net);
	char *away = g_strdup_printf("%s.0.11", m->rig->net);
	int on = 1;

	d->machine = m;
	d->to_store = !to_ip;
	d->to = address(to_ip ? to_ip : store, port);
	d->to_away = address(away, port);
	d->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(d->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind(d->fd, (struct sockaddr *)&a, sizeof a) ||
	    listen(d->fd, BACKLOG))
		fprintf(stderr, "rig: cannot listen on %s:%d\n", m->ip,
		    listen_port);
	g_free(away);
	g_free(store);
	g_thread_unref(g_thread_new("door", accept_links, d));
}

static void
set_mode(struct machine *m, gint *link, enum link_mode mode, int ms)
{
	static const char *const names[] = { "open", "delay", "silent",
		"one-way", "reset", "turned-away" };

	note(m->rig, "%s at=%s mode=%s ms=%d",
	    link == &m->link ? "link" : "store-link", m->address, names[mode],
	    ms);
	g_atomic_int_set(&m->link_ms, ms);
	g_atomic_int_set(link, (int)mode);
}

void
link_set(struct machine *m, enum link_mode mode, int ms)
{
	set_mode(m, &m->link, mode, ms);
}

void
link_set_store(struct machine *m, enum link_mode mode, int ms)
{
	set_mode(m, &m->store_link, mode, ms);
}
