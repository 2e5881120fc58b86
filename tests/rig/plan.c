#include <stdio.h>
#include <stdlib.h>

#include "io.h"
#include "plan.h"

#define SETTLE_MS 3000 /* before the first and after the last action */
#define PAUSE_LEAST_MS 300 /* between two actions */
#define PAUSE_MOST_MS 2000
#define HARSH_DENSER 2 /* times as many actions where callers are harsh */
#define AIMED_PAUSE_LEAST_MS 800 /* between two aimed actions */
#define AIMED_PAUSE_MOST_MS 2500
#define AIMED_FIRST_MS 500
#define AIMED_LAST_MS 9000 /* before the end, as they take that long */
#define AIMED_SEED 0x61696d /* so that they don't change the other actions */
#define KEPT_PAUSE_LEAST_MS 3000 /* between two actions on kept connections */
#define KEPT_PAUSE_MOST_MS 6000
#define KEPT_SEED 0x6b657074
#define ACTIONS_MAX 400
#define STORE_SEEDS 10000 /* seeds from this on have PROFILE_STORE */
#define KEPT_SEEDS 20000 /* and from this on PROFILE_KEPT */
#define STOP_SEEDS 30000 /* and from this on PROFILE_STOP */
#define CLOSING_MS 9000 /* before the end: all daemons end */
#define APART_LEAST_MS 1500 /* between two actions that change something */
#define APART_MOST_MS 5000
#define CLOSING_SEED 0x656e64

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

/* The only ones that change the configuration are about a change. */
static const struct choice store[] = {
	{ "restart-series", act_restart_series, 4 },
	{ "restart-together", act_restart_together, 4 },
	{ "reload-and-stop", act_reload_and_stop, 2 },
	{ "release", act_release, 3 },
	{ "change-kill", act_change_kill, 8 },
	{ "change-kill-all", act_change_kill_all, 3 },
	{ "change-start", act_change_start, 6 },
	{ "change-add", act_change_add, 4 },
	{ "evacuated-kill-all", act_evacuated_kill_all, 1 },
	{ "returned-kill-all", act_returned_kill_all, 2 },
	{ "restore", act_restore, 4 },
	{ "turn-away", act_turn_away, 6 },
	{ "cut-history", act_cut_history, 4 },
	{ "deaf-watch", act_deaf_watch, 4 },
	{ "late-write", act_late_write, 4 },
};

static const struct choice kept[] = {
	{ "restart-series", act_restart_series, 2 },
	{ "slow-targets", act_slow_targets, 6 },
	{ "fill-targets", act_fill_targets, 6 },
	{ "fail-targets", act_fail_targets, 4 },
	{ "cold-targets", act_cold_targets, 1 },
	{ "burst", act_burst, 4 },
	{ "impatience", act_impatience, 2 },
	{ "abuse", act_abuse, 2 },
};

static const struct choice closings[] = {
	{ "change-kill-all", act_change_kill_all, 3 },
	{ "evacuated-kill-all", act_evacuated_kill_all, 1 },
	{ "returned-kill-all", act_returned_kill_all, 1 },
};

static const struct choice aimed_planned[] = {
	{ "stop-young", act_stop_young, 6 },
	{ "stop-limits", act_stop_limits, 4 },
};

static const struct choice aimed_targets[] = {
	{ "stop-young", act_stop_young, 4 },
	{ "stop-limits", act_stop_limits, 3 },
	{ "late-targets", act_late_targets, 6 },
};

static const struct choice aimed_starved[] = {
	{ "stop-young", act_stop_young, 2 },
	{ "stop-limits", act_stop_limits, 2 },
	{ "stop-unread", act_stop_unread, 6 },
	{ "hold-settings", act_hold_settings, 4 },
	{ "hold-log", act_hold_log, 4 },
};

static const struct choice stops[] = {
	{ "restart-series", act_restart_series, 4 },
	{ "restart-together", act_restart_together, 1 },
	{ "reload-series", act_reload_series, 2 },
	{ "slow-targets", act_slow_targets, 2 },
	{ "burst", act_burst, 2 },
};

static const struct choice aimed_stops[] = {
	{ "stop-slowed", act_stop_slowed, 5 },
	{ "stop-callers", act_stop_callers, 5 },
	{ "stop-service", act_stop_service, 3 },
	{ "stop-service-slowed", act_stop_service_slowed, 1 },
};

/** struct list - choices beside planned work */
struct list {
	const struct choice *choice;
	size_t n;
	const struct choice *aimed; /* besides, drawn apart */
	size_t aimed_n;
	int planned_percent; /* share of planned work */
	int is_apart; /* nonzero: changes stay in force for a time */
};

#define AIMED(list) list, G_N_ELEMENTS(list)

static const struct list lists[PROFILES] = {
	[PROFILE_PLANNED] = { NULL, 0, AIMED(aimed_planned), 100 },
	[PROFILE_TARGETS] = { targets, G_N_ELEMENTS(targets),
	    AIMED(aimed_targets), 65 },
	[PROFILE_STARVED] = { starved, G_N_ELEMENTS(starved),
	    AIMED(aimed_starved), 60 },
	[PROFILE_LINKS] = { links, G_N_ELEMENTS(links), AIMED(aimed_planned),
	    60 },
	[PROFILE_KILLS] = { kills, G_N_ELEMENTS(kills), AIMED(aimed_planned),
	    60 },
	[PROFILE_STORE] = { store, G_N_ELEMENTS(store), NULL, 0, 0, 1 },
	[PROFILE_KEPT] = { kept, G_N_ELEMENTS(kept), NULL, 0, 0, 0 },
	[PROFILE_STOP] = { stops, G_N_ELEMENTS(stops), AIMED(aimed_stops), 0,
	    1 },
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
draw_action(struct plan *p, GRand *rand, const struct choice *c, int at)
{
	struct action *a = &p->action[p->n++];

	a->rig = p->rig;
	a->name = c->name;
	a->act = c->act;
	a->at_ms = at;
	a->first = g_rand_int_range(rand, 0, 1000);
	a->count = g_rand_int_range(rand, 2, 7);
	a->ms = g_rand_int_range(rand, 50, 1550);
}

static void
draw_plan(struct plan *p, const struct list *l)
{
	int at = SETTLE_MS, last = p->rig->seconds * 1000 - SETTLE_MS;
	int least = l->is_apart ? APART_LEAST_MS : PAUSE_LEAST_MS;
	int most = l->is_apart ? APART_MOST_MS : PAUSE_MOST_MS;
	const struct choice *c;

	if (l->is_apart)
		last -= CLOSING_MS;
	while (at < last && p->n < ACTIONS_MAX) {
		if (g_rand_int_range(p->rand, 0, 100) < l->planned_percent)
			c = draw_from(p->rand, planned, G_N_ELEMENTS(planned));
		else
			c = draw_from(p->rand, l->choice, l->n);
		draw_action(p, p->rand, c, at);
		at += g_rand_int_range(p->rand, least, most) /
		      (p->rig->harsh ? HARSH_DENSER : 1);
	}
}

static void
draw_aimed(struct plan *p, const struct list *l)
{
	int at = AIMED_FIRST_MS, last = p->rig->seconds * 1000 - AIMED_LAST_MS;
	GRand *rand = g_rand_new_with_seed(p->rig->seed ^ AIMED_SEED);
	const struct choice *c;

	while (l->aimed_n && at < last && p->n < ACTIONS_MAX) {
		c = draw_from(rand, l->aimed, l->aimed_n);
		draw_action(p, rand, c, at);
		at += g_rand_int_range(rand, AIMED_PAUSE_LEAST_MS,
		    AIMED_PAUSE_MOST_MS);
	}
	g_rand_free(rand);
}

/* Drawn apart, as the aimed actions are. */
static void
draw_kept(struct plan *p)
{
	static const struct choice press = { "press-kept", act_press_kept, 1 };
	int at = AIMED_FIRST_MS, last = p->rig->seconds * 1000 - SETTLE_MS;
	GRand *rand = g_rand_new_with_seed(p->rig->seed ^ KEPT_SEED);

	while (at < last && p->n < ACTIONS_MAX) {
		draw_action(p, rand, &press, at);
		at += g_rand_int_range(rand, KEPT_PAUSE_LEAST_MS,
		    KEPT_PAUSE_MOST_MS);
	}
	g_rand_free(rand);
}

/* All daemons end shortly before the run does. */
static void
draw_closing(struct plan *p)
{
	int at = p->rig->seconds * 1000 - CLOSING_MS;
	GRand *rand = g_rand_new_with_seed(p->rig->seed ^ CLOSING_SEED);

	if (at > 0 && p->n < ACTIONS_MAX)
		draw_action(p, rand,
		    draw_from(rand, closings, G_N_ELEMENTS(closings)), at);
	g_rand_free(rand);
}

static int
order_actions(const void *a, const void *b)
{
	const struct action *x = a, *y = b;

	return x->at_ms - y->at_ms;
}

static void
print_plan(const struct plan *p)
{
	const struct action *a;

	for (a = p->action; a < p->action + p->n; a++)
		printf("%6d %s first=%d count=%d ms=%d\n", a->at_ms, a->name,
		    a->first, a->count, a->ms);
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

enum profile
plan_profile(guint32 seed)
{
	if (seed >= STOP_SEEDS)
		return PROFILE_STOP;
	if (seed >= KEPT_SEEDS)
		return PROFILE_KEPT;
	return seed >= STORE_SEEDS ? PROFILE_STORE
				   : (enum profile)(seed % PROFILES_BY_SEED);
}

GThread *
plan_start(struct rig *r)
{
	struct plan *p = g_new0(struct plan, 1);

	p->rig = r;
	p->rand = g_rand_new_with_seed(r->seed);
	draw_plan(p, &lists[r->profile]);
	draw_aimed(p, &lists[r->profile]);
	draw_kept(p);
	if (r->profile == PROFILE_STORE)
		draw_closing(p);
	qsort(p->action, (size_t)p->n, sizeof p->action[0], order_actions);
	print_plan(p);
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
