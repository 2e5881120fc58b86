#include <signal.h>
#include <stdio.h>

#include "plan.h"

#define LISTS_SEED 0x6c697374
#define STALE_LEAST_MS 500
#define STALE_MOST_MS 6000
#define PAGE_LEAST 2 /* objects */
#define PAGE_MOST 9
#define AWAY_LEAST_MS 200 /* of a store that is restored */
#define AWAY_MOST_MS 1000
#define UNDONE_MOST 40 /* writes */
#define AGAIN_MOST_MS 2000 /* until the operator has written again */
#define WAYS 4 /* to be turned away */
#define STARTED_MS 800 /* from a kill: the next daemon has written */
#define LATE_LEAST_MS 500
#define LATE_MOST_MS 3500 /* below what the operator waits for */

void
lists_start(struct rig *r)
{
	GRand *rand = g_rand_new_with_seed(r->seed ^ LISTS_SEED);
	const char *at = g_rand_int_range(rand, 0, 2) ? "now" : "then";
	int objects = g_rand_int_range(rand, PAGE_LEAST, PAGE_MOST + 1);
	char *mode;

	r->stale_ms = g_rand_int_range(rand, STALE_LEAST_MS, STALE_MOST_MS + 1);
	if (g_rand_int_range(rand, 0, 2))
		objects = 0;
	printf("lists ms=%d at=%s objects=%d\n", r->stale_ms, at, objects);
	note(r, "store-lists ms=%d at=%s objects=%d", r->stale_ms, at, objects);
	mode = g_strdup_printf("stale&ms=%d&at=%s", r->stale_ms, at);
	store_set(r, mode);
	g_free(mode);
	mode = g_strdup_printf("pages&objects=%d", objects);
	store_set(r, mode);
	g_free(mode);
	g_rand_free(rand);
}

/* One action at a time says how the store acts; Return: 0 if another one does
 */
static int
take_turn(struct rig *r)
{
	return g_atomic_int_compare_and_exchange(&r->store_turn, 0, 1);
}

static void
end_turn(struct rig *r)
{
	g_atomic_int_set(&r->store_turn, 0);
}

/* The store comes back from an older copy, also just after a change. */
void
act_restore(const struct action *a)
{
	int away = AWAY_LEAST_MS + a->ms % (AWAY_MOST_MS - AWAY_LEAST_MS);

	if (!take_turn(a->rig))
		return;
	if (a->first % 2)
		store_configure(a->rig, CHANGE_EXTRA | CHANGE_SPLIT);
	store_restore(a->rig, 1 + a->first % UNDONE_MOST, away,
	    a->ms * 3 / 2 % AGAIN_MOST_MS);
	end_turn(a->rig);
}

/* Has the store turn some machines away in a way that @a chooses; Return: how
 * many */
static int
turn_away(const struct action *a, struct machine **m)
{
	static const char *const ways[WAYS] = { "503", "429", "reset",
		"silent" };
	int i, n;
	char *mode;

	n = action_machines(a->rig, a->first, a->first % 3 ? a->count : 1, m);
	mode = g_strdup_printf("turn-away&how=%s", ways[a->first % WAYS]);
	store_fault(a->rig, mode);
	for (i = 0; i < n; i++)
		link_set_store(m[i], LINK_TURNED_AWAY, 0);
	g_free(mode);
	return n;
}

static void
end_turn_away(const struct action *a, struct machine **m, int n)
{
	int i;

	for (i = 0; i < n; i++)
		link_set_store(m[i], LINK_OPEN, 0);
	store_fault(a->rig, "ok");
}

/* A change comes while the store turns some machines away; one of them may
 * start again after it. */
void
act_turn_away(const struct action *a)
{
	struct machine *m[MACHINES_MAX];
	int n;

	if (!take_turn(a->rig))
		return;
	n = turn_away(a, m);
	pause_ms(a->ms);
	store_configure(a->rig, CHANGE_EXTRA);
	if (a->first / WAYS % 2)
		machine_signal(m[0], SIGKILL);
	pause_ms(1000 + a->ms * 2);
	end_turn_away(a, m, n);
	end_turn(a->rig);
}

/* Machines that were turned away come back to a store that has discarded what
 * they missed. */
void
act_cut_history(const struct action *a)
{
	struct machine *m[MACHINES_MAX];
	int n;

	if (!take_turn(a->rig))
		return;
	n = turn_away(a, m);
	store_configure(a->rig, CHANGE_EXTRA);
	pause_ms(a->ms);
	store_fault(a->rig, "cut-history");
	end_turn_away(a, m, n);
	end_turn(a->rig);
}

void
act_deaf_watch(const struct action *a)
{
	if (!take_turn(a->rig))
		return;
	store_fault(a->rig, "deaf-watch");
	pause_ms(a->ms / 4);
	store_configure(a->rig, CHANGE_EXTRA | CHANGE_SPLIT);
	pause_ms(500 + a->ms * 2);
	store_fault(a->rig, "ok");
	end_turn(a->rig);
}

/* The writes of a daemon that starts, then one of the operator's, take effect
 * later and get no answer. */
void
act_late_write(const struct action *a)
{
	int ms = LATE_LEAST_MS + a->ms * 2 % (LATE_MOST_MS - LATE_LEAST_MS);
	char *mode;

	if (!take_turn(a->rig))
		return;
	mode = g_strdup_printf("late-write&count=%d&ms=%d", a->count, ms);
	store_fault(a->rig, mode);
	g_free(mode);
	machine_signal(action_machine(a->rig, a->first), SIGKILL);
	pause_ms(STARTED_MS);
	mode = g_strdup_printf("late-write&count=1&ms=%d", ms);
	store_set(a->rig, mode);
	g_free(mode);
	store_configure(a->rig, CHANGE_EXTRA);
	store_set(a->rig, "late-write&count=0");
	pause_ms(ms);
	store_fault(a->rig, "ok");
	end_turn(a->rig);
}
