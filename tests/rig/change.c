#include <signal.h>

#include "io.h"
#include "plan.h"

#define JUST_AFTER 10 /* part of an action's time: from a change to a kill */
#define NEXT_START_MS 150 /* from a kill, before the daemon starts again */
#define SEEN_MS 500 /* besides the age of lists: they show a change */

static void
change(const struct action *a)
{
	store_configure(a->rig,
	    CHANGE_EXTRA | (a->first % 2 ? CHANGE_SPLIT : 0));
}

void
act_change_kill(const struct action *a)
{
	struct machine *m[MACHINES_MAX];
	int i, n;

	n = action_machines(a->rig, a->first, a->first % 3 ? 1 : a->count, m);
	change(a);
	pause_ms(a->ms / JUST_AFTER);
	for (i = 0; i < n; i++)
		machine_signal(m[i], SIGKILL);
}

void
act_change_kill_all(const struct action *a)
{
	change(a);
	pause_ms(a->ms / JUST_AFTER);
	act_kill_all(a);
}

/* A daemon that has ended starts just after a change. */
void
act_change_start(const struct action *a)
{
	machine_signal(action_machine(a->rig, a->first), SIGKILL);
	pause_ms(NEXT_START_MS);
	change(a);
}

void
act_change_add(const struct action *a)
{
	change(a);
	act_add(a);
}

/* One data centre at a time is out. */
void
act_evacuated_kill_all(const struct action *a)
{
	int zone = 1 + a->first % ZONES;

	if (!g_atomic_int_compare_and_exchange(&a->rig->evacuating, 0, 1))
		return;
	if (store_evacuate(a->rig, zone, 1)) {
		pause_ms(a->ms / JUST_AFTER);
		act_kill_all(a);
		pause_ms(a->ms * 4);
	}
	store_evacuate(a->rig, zone, 0);
	g_atomic_int_set(&a->rig->evacuating, 0);
}

/* The evacuation lasts until lists that may be stale show it. */
void
act_returned_kill_all(const struct action *a)
{
	int zone = 1 + a->first % ZONES, is_back;

	if (!g_atomic_int_compare_and_exchange(&a->rig->evacuating, 0, 1))
		return;
	if (store_evacuate(a->rig, zone, 1))
		pause_ms(a->rig->stale_ms + SEEN_MS);
	is_back = store_evacuate(a->rig, zone, 0);
	g_atomic_int_set(&a->rig->evacuating, 0);
	if (!is_back)
		return;
	pause_ms(a->ms / JUST_AFTER);
	act_kill_all(a);
}
