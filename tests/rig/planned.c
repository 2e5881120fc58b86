#include <signal.h>

#include "io.h"
#include "plan.h"

#define TOGETHER_MAX 3 /* daemons that stop at one moment */
#define NEW_MS 1500 /* a new machine runs before the old one ends */
#define TARGET_END_TRIES 80 /* of 100 ms */
#define YOUNG_STOPS 3
#define YOUNG_LEAST_MS 100 /* from a start to the next stop */
#define SERVICE_LEAST 2 /* machines of a service that are left */

void
act_restart_series(const struct action *a)
{
	int i;

	for (i = 0; i < a->count; i++) {
		machine_stop(action_machine(a->rig, a->first + i));
		pause_ms(a->ms);
	}
}

void
act_restart_together(const struct action *a)
{
	int i, n = 2 + a->count % (TOGETHER_MAX - 1);

	for (i = 0; i < n; i++) {
		machine_stop(action_machine(a->rig, a->first + i * a->count));
		pause_ms(a->ms / 10 % 60);
	}
}

void
act_restart_twice(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	machine_stop(m);
	pause_ms(a->ms);
	machine_stop(m);
}

void
act_reload_series(const struct action *a)
{
	struct machine *m;
	int i;

	for (i = 0; i < a->count * 2; i++) {
		m = action_machine(a->rig, a->first + i / 2);
		if (a->first % 2)
			machine_write_settings(m, 1);
		machine_signal(m, SIGHUP);
		pause_ms(a->ms / 5);
	}
}

/* SIGHUP over and over at several daemons, before one of them stops and
 * meanwhile. */
void
act_reload_and_stop(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);
	int i;

	for (i = 0; i < a->count; i++) {
		machine_write_settings(m, 1);
		machine_signal(m, SIGHUP);
		pause_ms(a->ms / 20 + 5);
	}
	machine_stop(m);
	for (i = 0; i < a->count; i++) {
		machine_signal(m, SIGHUP);
		machine_signal(action_machine(a->rig, a->first + i), SIGHUP);
		pause_ms(a->ms / 10 + 5);
	}
}

void
act_configure(const struct action *a)
{
	int i, changes = CHANGE_EXTRA;

	if (a->first % 2)
		changes |= CHANGE_TIMEOUT;
	if (a->first % 3 == 0)
		changes |= CHANGE_SPLIT;
	for (i = 0; i < a->count / 2 + 1; i++) {
		store_configure(a->rig, changes);
		pause_ms(a->ms / 3);
	}
}

void
act_configure_and_restart(const struct action *a)
{
	store_configure(a->rig, CHANGE_TIMEOUT);
	pause_ms(a->ms / 4);
	act_restart_series(a);
}

/* One data centre at a time is out. */
void
act_evacuate(const struct action *a)
{
	int zone = 1 + a->first % ZONES;

	if (!g_atomic_int_compare_and_exchange(&a->rig->evacuating, 0, 1))
		return;
	if (store_evacuate(a->rig, zone, 1))
		pause_ms(a->ms * 4);
	store_evacuate(a->rig, zone, 0);
	g_atomic_int_set(&a->rig->evacuating, 0);
}

/* Has the target of a machine drain and end, then the daemon. */
static void
take_away(struct machine *m)
{
	int i;

	if (!target_retire(m))
		return;
	note(m->rig, "target-drains at=%s", m->address);
	machine_signal_target(m, SIGTERM);
	for (i = 0; i < TARGET_END_TRIES && machine_signal_target(m, 0); i++)
		pause_ms(100);
	machine_retire(m);
}

void
act_release(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	if (!machine_add(a->rig, m->zone, m->service, 1)) {
		note(a->rig, "no-machine-left");
		return;
	}
	pause_ms(NEW_MS);
	take_away(m);
}

void
act_add(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	if (!machine_add(a->rig, m->zone, m->service, 1))
		note(a->rig, "no-machine-left");
}

/* Machines whose targets stay, of one service. */
static int
count_of_service(struct rig *r, const char *service)
{
	int i, n = 0;

	g_mutex_lock(&r->lock);
	for (i = 0; i < r->machine_count; i++)
		n += r->machine[i].target_wanted &&
		     r->machine[i].service == service;
	g_mutex_unlock(&r->lock);
	return n;
}

void
act_remove(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	if (count_of_service(a->rig, m->service) > SERVICE_LEAST)
		take_away(m);
}

/* Stops a daemon again soon after each start. */
void
act_restart_young(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);
	int64_t since = io_clock();
	int i;

	machine_stop(m);
	for (i = 0; i < YOUNG_STOPS && machine_await_start(m, since); i++) {
		since = io_clock();
		pause_ms(YOUNG_LEAST_MS + a->ms * (i + 1) / 2);
		machine_stop(m);
	}
}

/* Half of the daemons stop within a moment. */
void
act_restart_half(const struct action *a)
{
	int i, n = 2 * (a->count / 2 + 2);

	for (i = 0; i < n; i++) {
		machine_stop(action_machine(a->rig, a->first + 2 * i));
		pause_ms(a->ms / 8);
	}
}

/* A target drains and another one starts there; its daemon may stop meanwhile.
 */
void
act_replace_target(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	note(a->rig, "target-drains at=%s", m->address);
	machine_signal_target(m, SIGTERM);
	pause_ms(a->ms * 2);
	if (a->first % 2)
		machine_stop(m);
}
