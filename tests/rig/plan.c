#include <stdio.h>

#include "io.h"
#include "plan.h"

#define SETTLE_MS 3000 /* before the first and after the last action */
#define PAUSE_LEAST_MS 300 /* between two actions */
#define PAUSE_MOST_MS 2000
#define HARSH_DENSER 2 /* times as many actions where callers are harsh */
#define ACTIONS_MAX 400

/** struct choice - an action that a plan may draw, with its share */
struct choice {
	const char *name;
	void (*act)(const struct action *);
	int share;
};

static const struct choice planned[] = {
	{ "restart-series", act_restart_series, 14 },
	{ "restart-together", act_restart_together, 12 },
	{ "restart-twice", act_restart_twice, 4 },
	{ "restart-young", act_restart_young, 6 },
	{ "restart-half", act_restart_half, 6 },
	{ "reload-series", act_reload_series, 8 },
	{ "reload-and-stop", act_reload_and_stop, 10 },
	{ "configure", act_configure, 12 },
	{ "configure-and-restart", act_configure_and_restart, 14 },
	{ "evacuate", act_evacuate, 6 },
	{ "release", act_release, 8 },
	{ "add", act_add, 2 },
	{ "remove", act_remove, 2 },
	{ "replace-target", act_replace_target, 6 },
};

static const struct choice targets[] = {
	{ "slow-targets", act_slow_targets, 8 },
	{ "fail-targets", act_fail_targets, 8 },
	{ "kill-target", act_kill_target, 3 },
	{ "pause-target", act_pause_target, 3 },
	{ "burst", act_burst, 4 },
	{ "impatience", act_impatience, 3 },
	{ "fill-targets", act_fill_targets, 6 },
	{ "cold-targets", act_cold_targets, 3 },
	{ "lie", act_lie, 2 },
	{ "abuse", act_abuse, 3 },
};

static const struct choice starved[] = {
	{ "starve", act_starve, 8 },
	{ "pause", act_pause, 6 },
	{ "pause-at-stop", act_pause_at_stop, 8 },
	{ "pause-over-end", act_pause_over_end, 6 },
	{ "slow-targets", act_slow_targets, 4 },
	{ "fill-targets", act_fill_targets, 3 },
	{ "burst", act_burst, 2 },
};

static const struct choice links[] = {
	{ "link", act_link, 10 },
	{ "link-at-stop", act_link_at_stop, 8 },
	{ "store-links", act_store_links, 3 },
	{ "slow-targets", act_slow_targets, 3 },
};

static const struct choice kills[] = {
	{ "kill", act_kill, 6 },
	{ "kill-beside", act_kill_beside, 6 },
	{ "kill-many", act_kill_many, 2 },
	{ "kill-all", act_kill_all, 1 },
	{ "lose-zone", act_lose_zone, 1 },
	{ "kill-target", act_kill_target, 4 },
	{ "reuse", act_reuse, 2 },
	{ "store", act_store, 6 },
	{ "store-links", act_store_links, 4 },
	{ "slow-targets", act_slow_targets, 3 },
};

/** struct list - choices beside planned work */
struct list {
	const struct choice *choice;
	size_t n;
	int planned_percent; /* share of planned work */
};

static const struct list lists[PROFILES] = {
	[PROFILE_PLANNED] = { NULL, 0, 100 },
	[PROFILE_TARGETS] = { targets, G_N_ELEMENTS(targets), 65 },
	[PROFILE_STARVED] = { starved, G_N_ELEMENTS(starved), 60 },
	[PROFILE_LINKS] = { links, G_N_ELEMENTS(links), 60 },
	[PROFILE_KILLS] = { kills, G_N_ELEMENTS(kills), 60 },
};

/** struct plan - actions in the order of their times */
struct plan {
	struct rig *rig;
	GRand *rand;
	struct action action[ACTIONS_MAX];
	int n;
};

static const struct choice *
draw_from(GRand *rand, const struct choice *c, size_t n)
{
	int sum = 0, at;
	size_t i;

	for (i = 0; i < n; i++)
		sum += c[i].share;
	at = g_rand_int_range(rand, 0, sum);
	for (i = 0; at >= c[i].share; i++)
		at -= c[i].share;
	return &c[i];
}

static void
draw_plan(struct plan *p)
{
	struct rig *r = p->rig;
	const struct list *l = &lists[r->seed % PROFILES];
	const struct choice *c;
	struct action *a;
	int at = SETTLE_MS, last = r->seconds * 1000 - SETTLE_MS;

	while (at < last && p->n < ACTIONS_MAX) {
		if (g_rand_int_range(p->rand, 0, 100) < l->planned_percent)
			c = draw_from(p->rand, planned, G_N_ELEMENTS(planned));
		else
			c = draw_from(p->rand, l->choice, l->n);
		a = &p->action[p->n++];
		a->rig = r;
		a->name = c->name;
		a->act = c->act;
		a->at_ms = at;
		a->first = g_rand_int_range(p->rand, 0, 1000);
		a->count = g_rand_int_range(p->rand, 2, 7);
		a->ms = g_rand_int_range(p->rand, 50, 1550);
		printf("%6d %s first=%d count=%d ms=%d\n", at, c->name,
		    a->first, a->count, a->ms);
		at += g_rand_int_range(p->rand, PAUSE_LEAST_MS, PAUSE_MOST_MS) /
		      (r->harsh ? HARSH_DENSER : 1);
	}
}

static gpointer
run_action(gpointer arg)
{
	const struct action *a = arg;

	a->act(a);
	return NULL;
}

static gpointer
run_plan(gpointer arg)
{
	struct plan *p = arg;
	GThread *thread[ACTIONS_MAX];
	int64_t left;
	int i;

	for (i = 0; i < p->n; i++) {
		left = p->rig->begin + p->action[i].at_ms * INT64_C(1000) -
		       io_clock();
		if (left > 0)
			g_usleep((gulong)left);
		note(p->rig, "action name=%s first=%d count=%d ms=%d",
		    p->action[i].name, p->action[i].first, p->action[i].count,
		    p->action[i].ms);
		thread[i] = g_thread_new("action", run_action, &p->action[i]);
	}
	for (i = 0; i < p->n; i++)
		g_thread_join(thread[i]);
	g_rand_free(p->rand);
	g_free(p);
	return NULL;
}

GThread *
plan_start(struct rig *r)
{
	struct plan *p = g_new0(struct plan, 1);

	p->rig = r;
	p->rand = g_rand_new_with_seed(r->seed);
	draw_plan(p);
	return g_thread_new("plan", run_plan, p);
}

int
action_machines(struct rig *r, int turn, int n, struct machine **m)
{
	struct machine *wanted[MACHINES_MAX];
	int i, count, all = 0;

	g_mutex_lock(&r->lock);
	count = r->machine_count;
	g_mutex_unlock(&r->lock);
	for (i = 0; i < count; i++)
		if (machine_is_wanted(&r->machine[i]))
			wanted[all++] = &r->machine[i];
	for (i = 0; i < n && i < all; i++)
		m[i] = wanted[(turn + i) % all];
	return i;
}

struct machine *
action_machine(struct rig *r, int turn)
{
	struct machine *m = &r->machine[0];

	action_machines(r, turn, 1, &m);
	return m;
}

void
pause_ms(int ms)
{
	g_usleep((gulong)ms * 1000);
}
