#include <signal.h>

#include "plan.h"

#define BURST_MORE 70 /* percent of the usual requests */
#define IMPATIENT_PERCENT 20
#define ABUSIVE_PERCENT 30
#define LATE_LEAST_US 200000 /* first answer of a new target */
#define SEVERAL 3 /* targets in trouble at a time, at most */

/* Changes knobs of some targets for a time. */
static void
set_for(const struct action *a, const char *knobs, const char *usual,
    const char *what)
{
	struct machine *m[SEVERAL];
	int i, n = action_machines(a->rig, a->first, 1 + a->count % SEVERAL, m);
	char *calm = g_strdup_printf("calm of=%s", what);

	for (i = 0; i < n; i++)
		machine_set_target(m[i], knobs, what);
	pause_ms(1000 + a->ms * 2);
	for (i = 0; i < n; i++)
		machine_set_target(m[i], usual, calm);
	g_free(calm);
}

void
act_slow_targets(const struct action *a)
{
	set_for(a, "straggle=4", "straggle=1", "slow");
}

void
act_fill_targets(const struct action *a)
{
	set_for(a, "slots=3&queue=6", "slots=18&queue=36", "full");
}

/* They say that they are well, and fail. */
void
act_lie(const struct action *a)
{
	if (a->first % 2)
		set_for(a, "report_lie=0&hang=6", "report_lie=-1&hang=0",
		    "lies");
	else
		set_for(a, "report_lie=0&reset_after_read=3",
		    "report_lie=-1&reset_after_read=0", "reset");
}

/* The targets of a data centre end and come back cold together. */
void
act_cold_targets(const struct action *a)
{
	struct machine *m[MACHINES_MAX];
	int i, n = action_machines(a->rig, 0, MACHINES_MAX, m);
	int zone = 1 + a->first % ZONES;

	for (i = 0; i < n; i++) {
		if (m[i]->zone != zone)
			continue;
		note(a->rig, "target-kill at=%s", m[i]->address);
		machine_signal_target(m[i], SIGKILL);
	}
	pause_ms(600); /* until they run again */
	for (i = 0; i < n; i++)
		if (m[i]->zone == zone)
			machine_set_target(m[i], "cold=1&cold_ms=3000", "cold");
	pause_ms(3000);
	for (i = 0; i < n; i++)
		if (m[i]->zone == zone)
			machine_set_target(m[i], "cold=0&cold_ms=0",
			    "calm of=cold");
}

void
act_abuse(const struct action *a)
{
	note(a->rig, "abuse percent=%d", ABUSIVE_PERCENT);
	g_atomic_int_add(&a->rig->abusive, ABUSIVE_PERCENT);
	pause_ms(1000 + a->ms * 2);
	g_atomic_int_add(&a->rig->abusive, -ABUSIVE_PERCENT);
	note(a->rig, "abuse percent=0");
}

void
act_fail_targets(const struct action *a)
{
	static const char *const knobs[] = { "cut=3", "reset_after_read=3",
		"hang=2", "stop_next=3&stop_at=60", "second=3&second_kind=1",
		"unsigned_next=2", "other_id=2" };
	static const char *const what[] = { "cut", "reset", "hang", "stop",
		"second", "unsigned", "other-id" };
	size_t i = (size_t)a->first % G_N_ELEMENTS(knobs);

	machine_set_target(action_machine(a->rig, a->first), knobs[i], what[i]);
}

void
act_kill_target(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	note(a->rig, "target-kill at=%s", m->address);
	machine_signal_target(m, SIGKILL);
}

void
act_pause_target(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);

	note(a->rig, "target-set at=%s what=pause", m->address);
	machine_signal_target(m, SIGSTOP);
	pause_ms(a->ms * 2);
	machine_signal_target(m, SIGCONT);
	note(a->rig, "target-set at=%s what=calm of=pause", m->address);
}

void
act_burst(const struct action *a)
{
	g_atomic_int_add(&a->rig->burst, BURST_MORE);
	note(a->rig, "burst percent=%d", g_atomic_int_get(&a->rig->burst));
	pause_ms(a->ms * 2);
	g_atomic_int_add(&a->rig->burst, -BURST_MORE);
	note(a->rig, "burst percent=%d", g_atomic_int_get(&a->rig->burst));
}

void
act_impatience(const struct action *a)
{
	g_atomic_int_add(&a->rig->impatient, IMPATIENT_PERCENT);
	pause_ms(a->ms * 3);
	g_atomic_int_add(&a->rig->impatient, -IMPATIENT_PERCENT);
}

/* A target ends, and the one that comes in its place is slow to answer on new
 * connections. */
void
act_late_targets(const struct action *a)
{
	struct machine *m = action_machine(a->rig, a->first);
	char knobs[40];

	g_atomic_int_set(&m->connect_us, LATE_LEAST_US + a->ms * 1000);
	note(a->rig, "target-kill at=%s", m->address);
	machine_signal_target(m, SIGKILL);
	pause_ms(2000 + a->count * 500);
	g_atomic_int_set(&m->connect_us, CONNECT_US);
	g_snprintf(knobs, sizeof knobs, "connect_us=%d", CONNECT_US);
	machine_set_target(m, knobs, "calm of=late");
}
