#ifndef RIG_PLAN_H
#define RIG_PLAN_H

#include "rig.h"

/**
 * struct action - something that is brought about at one moment of a run
 * @act: does it, in a thread of its own
 * @at_ms: from the begin of traffic
 * @first: number that chooses a machine, or what @act makes of it
 * @count: of steps
 * @ms: duration or pause
 */
struct action {
	struct rig *rig;
	const char *name;
	void (*act)(const struct action *);
	int at_ms;
	int first;
	int count;
	int ms;
};

/** action_machine() - a machine that is kept running; the same @turn may choose
 * another one as machines come and go */
struct machine *action_machine(struct rig *, int turn);
/** action_machines() - several of them, from @turn on; Return: how many */
int action_machines(struct rig *, int turn, int n, struct machine **);
/** pause_ms() - sleep */
void pause_ms(int);

/* Planned work: planned.c. */
void act_restart_series(const struct action *);
void act_restart_together(const struct action *);
void act_restart_twice(const struct action *);
void act_restart_young(const struct action *);
void act_restart_half(const struct action *);
void act_reload_series(const struct action *);
void act_reload_and_stop(const struct action *);
void act_configure(const struct action *);
void act_configure_and_restart(const struct action *);
void act_evacuate(const struct action *);
void act_release(const struct action *);
void act_add(const struct action *);
void act_remove(const struct action *);
void act_replace_target(const struct action *);

/* Targets and callers in trouble: trouble.c. */
void act_slow_targets(const struct action *);
void act_fail_targets(const struct action *);
void act_kill_target(const struct action *);
void act_pause_target(const struct action *);
void act_burst(const struct action *);
void act_impatience(const struct action *);
void act_fill_targets(const struct action *);
void act_cold_targets(const struct action *);
void act_late_targets(const struct action *);
void act_lie(const struct action *);
void act_abuse(const struct action *);

/* Stops, and connections, with requests that are chosen for them: aimed.c. */
void act_stop_young(const struct action *);
void act_stop_limits(const struct action *);
void act_stop_unread(const struct action *);
void act_press_kept(const struct action *);
/** aim() - lead callers to a machine or away from it */
void aim(struct machine *, enum aim);
/** machines_of() - up to @n running machines of a service, from the action's
 * turn on; Return: how many */
int machines_of(const struct action *, const char *service, int n,
    struct machine **found);

/* Stops beside callers that a stop can't serve any more: stops.c. */
void act_stop_slowed(const struct action *);
void act_stop_callers(const struct action *);
void act_stop_service(const struct action *);
void act_stop_service_slowed(const struct action *);

/* Settings and logs that are held up: disk.c. */
void act_hold_settings(const struct action *);
void act_hold_log(const struct action *);

/* Daemons, links and the store in trouble: daemons.c. */
void act_starve(const struct action *);
void act_pause(const struct action *);
void act_pause_at_stop(const struct action *);
void act_pause_over_end(const struct action *);
void act_link(const struct action *);
void act_link_at_stop(const struct action *);
void act_kill(const struct action *);
void act_kill_beside(const struct action *);
void act_kill_many(const struct action *);
void act_kill_all(const struct action *);
void act_lose_zone(const struct action *);
void act_reuse(const struct action *);
void act_store(const struct action *);
void act_store_links(const struct action *);

/* Daemons that start beside a change: change.c. */
void act_change_kill(const struct action *);
void act_change_kill_all(const struct action *);
void act_change_start(const struct action *);
void act_change_add(const struct action *);
void act_evacuated_kill_all(const struct action *);
void act_returned_kill_all(const struct action *);

/* What the store's lists and watches tell: lists.c. */
/** lists_start() - draw how lists act in the whole run, and have them act so */
void lists_start(struct rig *);
void act_restore(const struct action *);
void act_turn_away(const struct action *);
void act_cut_history(const struct action *);
void act_deaf_watch(const struct action *);
void act_late_write(const struct action *);

#endif
