#include <signal.h>

#include "io.h"
#include "plan.h"

#define STARVE_STEP_MS 50 /* a starved daemon runs for a part of each */
#define FREEZE_MOST_MS 3000
#define STILL 3 /* daemons that stand still while one ends */
#define SERVICES 4 /* in mesh_services */

/* Lets a daemon run for a part of each step only. */
static void
starve(struct machine *m, int run_percent, int ms)
{
	int run = STARVE_STEP_MS * run_percent / 100, t;

	note(m->rig, "slow at=%s", m->address);
	for (t = 0; t < ms; t += STARVE_STEP_MS) {
		machine_hold(m, 1);
		pause_ms(STARVE_STEP_MS - run);
		machine_hold(m, 0);
		pause_ms(run);
	}
	note(m->rig, "unslow at=%s", m->address);
}

void
act_starve(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	if (a->first % 2)
		machine_stop(m);
	starve(m, 10 + a->count * 5, 2000 + a->ms * 2);
}

static void
freeze(struct machine *m, int ms)
{
	machine_signal(m, SIGSTOP);
	pause_ms(ms);
	machine_signal(m, SIGCONT);
}

void
act_pause(const struct action *a)
{
	freeze(action_machine(a->rig, a->first),
	    a->first % 3 ? a->ms : MIN(a->ms * 2, FREEZE_MOST_MS));
}

/* Two daemons stop within a moment of each other; one of them, or another one,
 * stands still meanwhile. */
void
act_pause_at_stop(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	machine_stop(m);
	pause_ms(a->ms / 4);
	machine_stop(action_machine(a->rig, a->first + a->count));
	freeze(action_machine(a->rig, a->first + a->first % 3), a->ms);
}

/* A daemon stops, and others stand still until it has ended. */
void
act_pause_over_end(const struct action *a)
{
	struct machine *m[1 + STILL];
	int i, n = action_machines(a->rig, a->first, 1 + STILL, m);
	int64_t since = io_clock();

	machine_stop(m[0]);
	pause_ms(a->ms + a->count * 300);
	for (i = 1; i < n; i++)
		machine_signal(m[i], SIGSTOP);
	machine_await_start(m[0], since);
	for (i = 1; i < n; i++)
		machine_signal(m[i], SIGCONT);
}

void
act_link(const struct action *a)
{
	static const enum link_mode modes[] = { LINK_DELAY, LINK_SILENT,
		LINK_ONE_WAY, LINK_RESET, LINK_DELAY };
	enum link_mode mode = modes[(size_t)a->first % G_N_ELEMENTS(modes)];
	struct machine *m = action_machine(a->rig, a->first);

	link_set(m, mode, a->ms / 5);
	pause_ms(mode == LINK_RESET ? 50 : 500 + a->ms * 2);
	link_set(m, LINK_OPEN, 0);
}

void
act_link_at_stop(const struct action *a)
{
	machine_stop(action_machine(a->rig, a->first + a->count % 2));
	act_link(a);
}

void
act_kill(const struct action *a)
{
	machine_signal(action_machine(a->rig, a->first), SIGKILL);
}

/* Kills a daemon a moment before or after another one is told to stop. */
void
act_kill_beside(const struct action *a)
{
	struct machine *victim = action_machine(a->rig, a->first + a->count);

	if (a->first % 2)
		machine_signal(victim, SIGKILL);
	machine_stop(action_machine(a->rig, a->first));
	pause_ms(a->ms / 2);
	if (a->first % 2 == 0)
		machine_signal(victim, SIGKILL);
}

void
act_kill_many(const struct action *a)
{
	int i;

	for (i = 0; i < a->count; i++)
		machine_signal(action_machine(a->rig, a->first + i), SIGKILL);
}

void
act_kill_all(const struct action *a)
{
	struct machine *m[MACHINES_MAX];
	int i, n = action_machines(a->rig, 0, MACHINES_MAX, m);

	for (i = 0; i < n; i++)
		machine_signal(m[i], SIGKILL);
}

/* Daemons and targets of a data centre end at one moment. */
void
act_lose_zone(const struct action *a)
{
	struct machine *m[MACHINES_MAX];
	int i, n = action_machines(a->rig, 0, MACHINES_MAX, m);

	for (i = 0; i < n; i++) {
		if (m[i]->zone != 1 + a->first % ZONES)
			continue;
		machine_signal(m[i], SIGKILL);
		note(a->rig, "target-kill at=%s", m[i]->address);
		machine_signal_target(m[i], SIGKILL);
	}
}

/* A target crashes with its daemon, and another service has its address. */
void
act_reuse(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);
	const char *service = mesh_services[a->count % SERVICES];

	machine_give_service(m, service);
	note(a->rig, "service at=%s name=%s", m->address, service);
	note(a->rig, "target-kill at=%s", m->address);
	machine_signal_target(m, SIGKILL);
	machine_signal(m, SIGKILL);
}

/* A part of the daemons has no store, or a slow one. */
void
act_store_links(const struct action *a)
{
	static const enum link_mode modes[] = { LINK_SILENT, LINK_RESET,
		LINK_DELAY, LINK_ONE_WAY };
	enum link_mode mode = modes[(size_t)a->first % G_N_ELEMENTS(modes)];
	struct machine *m[MACHINES_MAX];
	int i, n = action_machines(a->rig, a->first, a->count, m);

	for (i = 0; i < n; i++)
		link_set_store(m[i], mode, a->ms / 3);
	pause_ms(1000 + a->ms * 4);
	for (i = 0; i < n; i++)
		link_set_store(m[i], LINK_OPEN, 0);
}

void
act_store(const struct action *a)
{
	static const char *const modes[] = { "down", "slow&ms=300",
		"lose-answer&count=2", "break-watch", "deaf-watch" };

	store_fault(a->rig, modes[(size_t)a->first % G_N_ELEMENTS(modes)]);
	pause_ms(500 + a->ms * 2);
	store_fault(a->rig, "ok");
}
