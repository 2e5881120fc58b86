#include <sys/socket.h>
#include <unistd.h>

#include "io.h"
#include "planned.h"

#define RECEIVE_BUFFER 32768 /* bytes, of a slow reader */
#define CONNECT_S 1
#define STATUS_UNAVAILABLE 503
#define PAUSE_MAX_US 100000
#define REFUSED_MIN_US 100000 /* after a refusal */
#define REFUSED_MAX_US 500000
#define IDLE_MIN_US 500000
#define IDLE_MAX_US 4000000
#define LEAVE_SHARE 0.05 /* of the exchanges after which the caller closes */

static int
open_connection(struct conn *c)
{
	struct timeval t = { CONNECT_S, 0 };
	int size = RECEIVE_BUFFER;

	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return -1;
	if (c->way == WAY_SLOW_READER)
		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
	setsockopt(c->fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
	if (!connect(c->fd, (struct sockaddr *)&c->caller->to,
		sizeof c->caller->to))
		return 0;
	close(c->fd);
	return -1;
}

static void
log_answer(struct conn *c, const struct request *r, const struct answer *a)
{
	history_write(&c->caller->history, io_clock(),
	    "answer id=%s conn=%d outcome=%s status=%d signed=%d closes=%d",
	    r->id, c->id, answer_outcome_name(a->outcome), a->status,
	    a->is_signed, a->closes);
}

static void
pause_refused(struct conn *c)
{
	g_usleep(
	    (gulong)g_rand_int_range(c->rand, REFUSED_MIN_US, REFUSED_MAX_US));
}

/* Reads the answers to @n requests; 0, or -1 if the connection is of no further
 * use. Once it has ended, none of the rest has an answer. */
static int
read_answers(struct conn *c, const struct request *r, int n)
{
	struct answer a = { 0 };
	int i, refused = 0, ended = 0;

	for (i = 0; i < n; i++) {
		if (!ended)
			answer_read(c, &r[i], &a);
		log_answer(c, &r[i], &a);
		refused |= a.status == STATUS_UNAVAILABLE;
		if (ended)
			continue;
		ended = a.outcome != OUTCOME_WHOLE || a.closes;
		if (a.closes)
			a.outcome = OUTCOME_BEHIND;
		else if (a.outcome == OUTCOME_BAD)
			a.outcome = OUTCOME_LATE; /* this side closes */
		a.status = a.is_signed = 0;
	}
	if (refused)
		pause_refused(c);
	return ended ? -1 : 0;
}

/* Sends some requests and reads their answers. */
static int
exchange(struct conn *c)
{
	struct request r[BATCH_MAX];
	int i, n = 1;

	if (c->way == WAY_PIPELINED)
		n = g_rand_int_range(c->rand, 2, BATCH_MAX + 1);
	for (i = 0; i < n; i++)
		request_draw(c, &r[i]);
	request_share_limit(r, n);
	if (request_send(c, r, n))
		return -1;
	return read_answers(c, r, n);
}

static void
pause_some(struct conn *c)
{
	int idle = c->way == WAY_IDLE;

	g_usleep((gulong)g_rand_int_range(c->rand, idle ? IDLE_MIN_US : 1000,
	    idle ? IDLE_MAX_US : PAUSE_MAX_US));
}

int
connection_play(struct caller *r, enum way way, int thread, GRand *rand)
{
	struct conn *c = g_new0(struct conn, 1);

	c->caller = r;
	c->rand = rand;
	c->way = way;
	c->thread = thread;
	if (open_connection(c)) {
		g_free(c);
		return -1;
	}
	c->id = g_atomic_int_add(&r->last_conn, 1) + 1;
	while (io_clock() < r->end && !exchange(c) && way != WAY_FRESH &&
	       g_rand_double(rand) >= LEAVE_SHARE)
		pause_some(c);
	close(c->fd);
	g_free(c);
	return 0;
}
