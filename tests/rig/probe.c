#include "io.h"
#include "rig.h"

#define EACH_US 400000 /* between two requests to one daemon */
#define PLAYERS 120
#define LIMIT_MS 1000
#define WORK_MS 5
#define ANSWER_BYTES 40
#define BODY_BYTES 20
#define STEPS 4

struct probe {
	struct rig *rig;
	GThreadPool *players;
	GThread *thread;
};

/** struct probe_task - a request to one daemon; @step chooses its route */
struct probe_task {
	struct machine *machine;
	int step;
};

/* The present extra route, the one before it, one that never was and the one
 * that moves. */
static void
choose_route(struct rig *r, int step, char *route, gsize size)
{
	int turn = g_atomic_int_get(&r->extra_turn);

	switch (step % STEPS) {
	case 0:
		g_snprintf(route, size, "extra%d", turn % ROUTE_EXTRAS);
		break;
	case 1:
		g_snprintf(route, size, "extra%d",
		    (turn + ROUTE_EXTRAS - 1) % ROUTE_EXTRAS);
		break;
	case 2:
		g_snprintf(route, size, "never%d", step);
		break;
	default:
		g_strlcpy(route, MOVED_ROUTE, size);
	}
}

static void
ask(gpointer data, gpointer ctx)
{
	struct probe_task *t = data;
	struct machine *m = t->machine;
	struct request q = { 0 };
	struct answer a = { 0 };
	struct conn *c = attempt_open(m);
	char route[32];

	if (c) {
		choose_route(ctx, t->step, route, sizeof route);
		g_snprintf(q.id, sizeof q.id, "%s-%d", m->caller.name,
		    g_atomic_int_add(&m->caller.last_request, 1) + 1);
		q.kind = "probe";
		q.route = route;
		q.once = !g_strcmp0(route, MOVED_ROUTE);
		q.method = q.once ? "POST" : "GET";
		q.body_bytes = q.once ? BODY_BYTES : 0;
		q.work_ms = WORK_MS;
		q.bytes = ANSWER_BYTES;
		q.limit_ms = LIMIT_MS;
		c->way = WAY_FRESH;
		attempt_exchange(c, &q, &a, 1);
		attempt_close(c);
	}
	g_free(t);
}

/* Nonzero if callers use the daemon. */
static int
is_used(struct machine *m)
{
	int idle;

	g_mutex_lock(&m->pool_lock);
	idle = (int)m->pool.length;
	g_mutex_unlock(&m->pool_lock);
	return g_atomic_int_get(&m->in) || idle;
}

static gpointer
keep_asking(gpointer arg)
{
	struct probe *p = arg;
	struct rig *r = p->rig;
	struct probe_task *t;
	int i, count, step = 0;

	for (; io_clock() < r->end; step++) {
		g_mutex_lock(&r->lock);
		count = r->machine_count;
		g_mutex_unlock(&r->lock);
		for (i = 0; i < count; i++) {
			if (!is_used(&r->machine[i]))
				continue;
			t = g_new0(struct probe_task, 1);
			t->machine = &r->machine[i];
			t->step = step + i;
			g_thread_pool_push(p->players, t, NULL);
		}
		g_usleep(EACH_US);
	}
	return NULL;
}

struct probe *
probe_start(struct rig *r)
{
	struct probe *p = g_new0(struct probe, 1);

	p->rig = r;
	p->players = g_thread_pool_new(ask, r, PLAYERS, FALSE, NULL);
	p->thread = g_thread_new("probe", keep_asking, p);
	return p;
}

void
probe_join(struct probe *p)
{
	g_thread_join(p->thread);
	g_thread_pool_free(p->players, FALSE, TRUE);
	g_free(p);
}
