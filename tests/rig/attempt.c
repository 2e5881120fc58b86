#include <math.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io.h"
#include "rig.h"

#define IDLE_MAX_US (5 * G_USEC_PER_SEC * 4 / 5) /* of a kept connection */
#define CONNECT_S 1
#define SPREAD 0.3 /* of work */
#define SPREAD_BYTES 0.6
#define RETRIES 1
#define ABUSIVE_RETRIES 4
#define RETRY_AFTER_SHARE 3 /* a caller waits a third of its time at most */
#define STATUS_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503
#define SLOW_BODY_SHARE 0.4 /* of requests with a body, where harsh */
#define HALVES_SHARE 0.1
#define BREAK_SHARE 0.02
#define LARGE_SHARE 0.08 /* of answers, read slowly */
#define LARGE_PER_MS 60 /* bytes of a large answer, by the deadline */
#define LONG_SHARE 0.1 /* of requests with several times the work */
#define LONG_FACTOR 4
#define AIM_SHARE 0.6 /* of requests, at machines that callers are led to */
#define LONG_DEADLINE_MS 4000
#define AIM_LONG_MS 3000 /* work */
#define AIM_LATE_MS 600 /* work */
#define AIM_LIMIT_MS 6600
#define AIM_TRIES 8
#define AIM_LONG_KIND 0.9 /* the same of long kinds */
#define AIM_LONG_SHARE 0.7
#define OVER_PERCENT 52 /* work, of the usual time limit */
#define LONG_PERCENT 60 /* of the longest work */
#define HALF_SHARE 0.03 /* of connections whose sending side ends early */
#define AIM_HALF_SHARE                                         \
	0.5 /* at machines whose kept connections are aimed at \
	     */
#define HALF_PAUSE_MAX_US 60000 /* from the requests to that end */
#define HALF_SEED 0x68616c66
#define OUT_SHARE 0.5 /* of requests that still use an open connection */

/** struct idle - a connection between two requests */
struct idle {
	struct conn *conn;
	int64_t since;
};

/** struct play - requests that one thread plays */
struct play {
	struct rig *rig;
	const struct kind *kind;
	GRand *rand;
	struct machine *machine;
	int zone;
};

static double
draw_around(GRand *rand, double mean, double spread)
{
	double z = sqrt(-2 * log(1 - g_rand_double(rand))) *
		   cos(2 * G_PI * g_rand_double(rand));

	return mean * exp(spread * z - spread * spread / 2);
}

void
attempt_close(struct conn *c)
{
	close(c->fd);
	g_free(c);
}

/* A machine of the zone that takes callers; any of them if too few do. */
static struct machine *
choose_machine(struct play *p)
{
	struct rig *r = p->rig;
	struct machine *all[MACHINES_MAX], *in[MACHINES_MAX];
	int i, count, n = 0, n_in = 0;

	g_mutex_lock(&r->lock);
	count = r->machine_count;
	g_mutex_unlock(&r->lock);
	for (i = 0; i < count; i++) {
		if (r->machine[i].zone != p->zone ||
		    !machine_is_wanted(&r->machine[i]))
			continue;
		all[n++] = &r->machine[i];
		if (g_atomic_int_get(&r->machine[i].in))
			in[n_in++] = &r->machine[i];
	}
	if (!n)
		return NULL;
	if (n_in * 2 >= n && g_rand_double(p->rand) >= OUT_SHARE)
		return in[g_rand_int_range(p->rand, 0, n_in)];
	i = g_rand_int_range(p->rand, 0, n);
	if (n_in * 2 < n || g_atomic_int_get(&all[i]->in) ||
	    (p->kind->habit != HABIT_FRESH && all[i]->pool.length))
		return all[i];
	return in[g_rand_int_range(p->rand, 0, n_in)];
}

static int
is_long(const struct kind *k)
{
	return k->deadline_ms >= LONG_DEADLINE_MS;
}

/* A machine of the zone that callers are led to, else NULL. */
static struct machine *
choose_aimed(struct play *p)
{
	struct rig *r = p->rig;
	struct machine *aimed[MACHINES_MAX];
	int i, count, n = 0;

	g_mutex_lock(&r->lock);
	count = r->machine_count;
	g_mutex_unlock(&r->lock);
	for (i = 0; i < count; i++)
		if (r->machine[i].zone == p->zone &&
		    g_atomic_int_get(&r->machine[i].aim) >= AIM_MORE)
			aimed[n++] = &r->machine[i];
	if (!n || g_rand_double(p->rand) >=
		      (is_long(p->kind) ? AIM_LONG_KIND : AIM_SHARE))
		return NULL;
	return aimed[g_rand_int_range(p->rand, 0, n)];
}

static struct machine *
choose_one(struct play *p)
{
	struct machine *m = choose_aimed(p);
	int tries;

	for (tries = 0; !m && tries < AIM_TRIES; tries++) {
		m = choose_machine(p);
		if (!m)
			break;
		if (g_atomic_int_get(&m->aim) == AIM_AWAY)
			m = NULL;
	}
	return m;
}

static struct conn *
take_idle(struct machine *m)
{
	struct idle *i;
	struct conn *c = NULL;

	g_mutex_lock(&m->pool_lock);
	while (!c && (i = g_queue_pop_head(&m->pool))) {
		if (io_clock() - i->since < IDLE_MAX_US)
			c = i->conn;
		else
			attempt_close(i->conn);
		g_free(i);
	}
	g_mutex_unlock(&m->pool_lock);
	return c;
}

static void
keep_idle(struct machine *m, struct conn *c)
{
	struct idle *i = g_new(struct idle, 1);

	i->conn = c;
	i->since = io_clock();
	g_mutex_lock(&m->pool_lock);
	g_queue_push_tail(&m->pool, i);
	g_mutex_unlock(&m->pool_lock);
}

struct conn *
attempt_open(struct machine *m)
{
	struct timeval t = { CONNECT_S, 0 };
	struct conn *c = g_new0(struct conn, 1);

	c->caller = &m->caller;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
	if (c->fd < 0 || connect(c->fd, (struct sockaddr *)&c->caller->to,
			     sizeof c->caller->to)) {
		attempt_close(c);
		return NULL;
	}
	c->id = g_atomic_int_add(&c->caller->last_conn, 1) + 1;
	return c;
}

/* Nonzero if its callers wait longer where work is long; they send no repeat.
 */
static int
is_patient(const struct kind *k)
{
	return k->once && k->timeout_ms;
}

/* Work of requests that are meant for a machine's present state. */
static int
draw_work(struct play *p)
{
	const struct kind *k = p->kind;
	int ms =
	    MIN(k->work_max_ms, (int)draw_around(p->rand, k->work_ms, SPREAD));
	int aim = g_atomic_int_get(&p->machine->aim);
	int is_longer = aim == AIM_NONE && is_long(k) &&
			g_rand_int_range(p->rand, 0, 100) <
			    g_atomic_int_get(&p->rig->long_percent);

	if (aim == AIM_ALIKE)
		return k->work_ms;
	if (aim == AIM_LATE && is_patient(k))
		return AIM_LATE_MS;
	if ((aim == AIM_LONG && is_patient(k)) ||
	    (aim == AIM_LONGER && k->timeout_ms))
		return AIM_LONG_MS;
	if (is_longer ||
	    (aim == AIM_LONG && g_rand_double(p->rand) < AIM_LONG_SHARE))
		return k->work_max_ms * LONG_PERCENT / 100;
	if (aim == AIM_OVER && !is_long(k))
		return (k->timeout_ms ? k->timeout_ms : k->deadline_ms) *
		       OVER_PERCENT / 100;
	return ms;
}

static void
draw_request(struct play *p, struct request *q, int left_ms)
{
	const struct kind *k = p->kind;
	struct caller *c = &p->machine->caller;

	memset(q, 0, sizeof *q);
	g_snprintf(q->id, sizeof q->id, "%s-%d", c->name,
	    g_atomic_int_add(&c->last_request, 1) + 1);
	q->kind = k->name;
	q->route = k->route;
	q->method = k->method;
	q->once = k->once;
	q->call = k->call;
	if (k->call && g_rand_double(p->rand) < 0.7)
		q->calls = k->calls;
	q->together = k->together;
	q->fails = g_rand_double(p->rand) < k->fail_share;
	q->work_ms = draw_work(p);
	q->bytes = 1 + (int)draw_around(p->rand, k->answer_bytes, SPREAD_BYTES);
	if (k->body_bytes) {
		q->body_bytes =
		    1 + (int)draw_around(p->rand, k->body_bytes, SPREAD_BYTES);
		q->chunked = g_rand_boolean(p->rand);
	}
	q->limit_ms = left_ms;
	if (q->work_ms == AIM_LONG_MS ||
	    (q->work_ms == AIM_LATE_MS &&
		g_atomic_int_get(&p->machine->aim) == AIM_LATE))
		q->limit_ms = AIM_LIMIT_MS;
	if (g_rand_int_range(p->rand, 0, 100) <
	    g_atomic_int_get(&p->rig->impatient))
		q->patience_ms = left_ms / 4;
}

/* Makes some requests harder to serve; Return: the way in which it is sent */
static enum way
draw_harsh(struct play *p, struct request *q, int n)
{
	double share = g_rand_double(p->rand);

	q->breaks = g_rand_double(p->rand) < BREAK_SHARE;
	if (g_atomic_int_get(&p->machine->aim) == AIM_NONE &&
	    g_rand_double(p->rand) < LONG_SHARE)
		q->work_ms *= LONG_FACTOR;
	if (q->body_bytes && share < SLOW_BODY_SHARE)
		return WAY_SLOW_BODY;
	if (n == 1 && share < SLOW_BODY_SHARE + HALVES_SHARE)
		return WAY_HALVES;
	if (share < SLOW_BODY_SHARE + HALVES_SHARE + LARGE_SHARE) {
		q->bytes = LARGE_PER_MS * q->limit_ms / n;
		return WAY_SLOW_READER;
	}
	return WAY_SINGLE;
}

static void
note_answer(struct conn *c, const struct request *q, const struct answer *a)
{
	history_write(&c->caller->history, io_clock(),
	    "answer id=%s conn=%d outcome=%s status=%d signed=%d closes=%d",
	    q->id, c->id, answer_outcome_name(a->outcome), a->status,
	    a->is_signed, a->closes);
}

static void
end_sending(struct conn *c)
{
	g_usleep((gulong)g_rand_int_range(c->rand, 0, HALF_PAUSE_MAX_US));
	shutdown(c->fd, SHUT_WR);
}

int
attempt_exchange(struct conn *c, struct request *q, struct answer *a, int n)
{
	int i, ended = 0;

	for (i = 0; i < n; i++)
		a[i].outcome = OUTCOME_CUT;
	if (request_send(c, q, n))
		return 0;
	if (c->half_closes)
		end_sending(c);
	for (i = 0; i < n; i++) {
		if (!ended)
			answer_read(c, &q[i], &a[i]);
		note_answer(c, &q[i], &a[i]);
		if (ended)
			continue;
		ended = a[i].outcome != OUTCOME_WHOLE || a[i].closes;
		if (ended && i + 1 < n)
			a[i + 1].outcome =
			    a[i].closes ? OUTCOME_BEHIND
			    : a[i].outcome == OUTCOME_BAD
				? OUTCOME_LATE /* this side closes */
				: a[i].outcome;
		if (ended && i + 2 < n)
			a[i + 2].outcome = a[i + 1].outcome;
		if (ended && i + 3 < n)
			a[i + 3].outcome = a[i + 1].outcome;
	}
	return !ended && !c->half_closes;
}

static int
is_promise(int status)
{
	return status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED ||
	       status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

/* Nonzero if the caller sends the request again. */
static int
comes_again(const struct request *q, const struct answer *a)
{
	if (a->outcome == OUTCOME_BEHIND)
		return 1;
	if (a->outcome == OUTCOME_WHOLE && a->status / 100 == 2)
		return 0;
	if (a->outcome == OUTCOME_WHOLE && is_promise(a->status))
		return 1;
	return !q->once && a->outcome != OUTCOME_LATE &&
	       !(a->outcome == OUTCOME_WHOLE && a->status / 100 == 4);
}

/* Sends a request again on new connections, with new ids. */
static void
play_again(struct play *p, const struct request *first, struct answer a,
    int64_t end)
{
	struct request q;
	struct conn *c;
	int i, abusive;
	int64_t left;

	abusive = g_rand_int_range(p->rand, 0, 100) <
		  g_atomic_int_get(&p->rig->abusive);
	for (i = 0; i < (abusive ? ABUSIVE_RETRIES : RETRIES) &&
		    comes_again(first, &a);
	     i++) {
		left = end - io_clock();
		if (abusive)
			a.retry_after_ms = 0;
		if (a.retry_after_ms * INT64_C(1000) > left / RETRY_AFTER_SHARE)
			return;
		g_usleep((gulong)(a.retry_after_ms * INT64_C(1000)));
		left = end - io_clock();
		p->machine = choose_one(p);
		if (left <= 0 || !p->machine)
			return;
		c = attempt_open(p->machine);
		if (!c)
			continue;
		draw_request(p, &q, (int)(left / 1000));
		q.first = first->id;
		c->rand = p->rand;
		if (attempt_exchange(c, &q, &a, 1) &&
		    p->kind->habit != HABIT_FRESH)
			keep_idle(p->machine, c);
		else
			attempt_close(c);
	}
}

/* Drawn apart, so that the other draws of a seed stay the same. */
static int
draw_half_closes(const struct machine *m, guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed ^ HALF_SEED);
	double share =
	    g_atomic_int_get(&m->aim) == AIM_KEPT ? AIM_HALF_SHARE : HALF_SHARE;
	int half = g_rand_double(rand) < share;

	g_rand_free(rand);
	return half;
}

void
attempt_play(struct rig *r, struct task *t)
{
	struct play p = { .rig = r, .kind = t->kind, .zone = t->zone };
	struct request q[BATCH_MAX];
	struct answer a[BATCH_MAX] = { 0 };
	int64_t end = io_clock() + t->kind->deadline_ms * INT64_C(1000);
	struct conn *c = NULL;
	int i;

	p.rand = g_rand_new_with_seed(t->seed);
	p.machine = choose_one(&p);
	if (p.machine && t->kind->habit != HABIT_FRESH)
		c = take_idle(p.machine);
	if (p.machine && !c)
		c = attempt_open(p.machine);
	if (c) {
		c->rand = p.rand;
		c->way = WAY_SINGLE;
		c->half_closes = draw_half_closes(p.machine, t->seed);
		for (i = 0; i < t->n; i++) {
			draw_request(&p, &q[i], t->kind->deadline_ms);
			if (r->harsh)
				c->way = draw_harsh(&p, &q[i], t->n);
		}
		if (attempt_exchange(c, q, a, t->n) &&
		    t->kind->habit != HABIT_FRESH)
			keep_idle(p.machine, c);
		else
			attempt_close(c);
		for (i = 0; i < t->n; i++)
			play_again(&p, &q[i], a[i], end);
	}
	g_rand_free(p.rand);
}
