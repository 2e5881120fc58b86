#include <string.h>

#include "io.h"
#include "plan.h"

#define SLOWED "straggle=8"
#define BUSY "straggle=3" /* its ports stay open */
#define BUSIER "straggle=24" /* also where its work is short */
#define SLOWED_MS 300 /* other targets turn slow before SIGTERM */
#define FRONTS_MS 2700 /* from SIGTERM: daemons of its callers stop */
#define FRONTS_APART_MS 300
#define ALIKE_MS 2000 /* of callers, before SIGTERM */
#define TAKES_LATE_MS 2600 /* from SIGTERM: other daemons know of it */
#define LATE_MS 1600 /* for which callers come that need longer */
#define APART_MS 240 /* between daemons; that of all fits in LATE_MS */
#define SERVICE_MAX 4 /* daemons of one that stop together */

static int
claim(struct machine *m)
{
	return g_atomic_int_get(&m->in) &&
	       g_atomic_int_compare_and_exchange(&m->claimed, 0, 1);
}

static void
release(struct machine *m)
{
	aim(m, AIM_NONE);
	machine_set_target(m, "straggle=1", "calm of=slow");
	g_atomic_int_set(&m->claimed, 0);
}

/* Those of a service that no other action uses; Return: how many */
static int
claim_service(const struct action *a, const char *service, struct machine **m)
{
	struct machine *all[SERVICE_MAX];
	int i, n = machines_of(a, service, SERVICE_MAX, all), k = 0;

	for (i = 0; i < n; i++)
		if (claim(all[i]))
			m[k++] = all[i];
	return k;
}

/* One of each data centre, not of a service; Return: how many */
static int
claim_fronts(const struct action *a, const char *service, struct machine **m)
{
	struct machine *all[MACHINES_MAX];
	int i, n = action_machines(a->rig, a->first, MACHINES_MAX, all), k = 0;
	int has[ZONES] = { 0 };

	for (i = 0; i < n; i++) {
		if (!strcmp(all[i]->service, service) ||
		    has[all[i]->zone - 1] || !claim(all[i]))
			continue;
		has[all[i]->zone - 1] = 1;
		m[k++] = all[i];
	}
	return k;
}

static void
set_pace(struct machine **m, int n, const char *knobs, const char *what)
{
	int i;

	for (i = 0; i < n; i++)
		machine_set_target(m[i], knobs, what);
}

/* Daemons that callers are led to stop while what they had sent on before runs
 * beside a daemon that stopped earlier. */
static void
stop_fronts(struct machine **m, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		aim(m[i], AIM_NONE);
		machine_stop(m[i]);
		pause_ms(FRONTS_APART_MS);
	}
}

/* A target turns slow as its daemon stops, while the others of its service
 * refuse requests that can go elsewhere. */
static void
stop_slowed(struct machine **m, int n, struct machine **front, int fronts)
{
	int64_t since;
	int i;

	set_pace(m + 1, n - 1, "pace=500", "pace");
	for (i = 0; i < fronts; i++)
		aim(front[i], AIM_LATE);
	pause_ms(SLOWED_MS);
	since = io_clock();
	machine_stop(m[0]);
	machine_set_target(m[0], SLOWED, "slow");
	pause_ms(FRONTS_MS);
	stop_fronts(front, fronts);
	machine_await_start(m[0], since);
	set_pace(m + 1, n - 1, "pace=100", "calm of=pace");
	for (i = 0; i < fronts; i++)
		machine_await_start(front[i], since);
}

void
act_stop_slowed(const struct action *a)
{
	const char *service = a->count % 2 ? "archive" : "cloner";
	struct machine *m[SERVICE_MAX], *front[ZONES];
	int i, n = claim_service(a, service, m), fronts = 0;

	if (n > 1) {
		fronts = claim_fronts(a, service, front);
		stop_slowed(m, n, front, fronts);
	}
	for (i = 0; i < n; i++)
		release(m[i]);
	for (i = 0; i < fronts; i++)
		release(front[i]);
}

static void
aim_each(struct machine **m, int n, enum aim how)
{
	int i;

	for (i = 0; i < n; i++) {
		aim(m[i], how);
		pause_ms(APART_MS);
	}
}

/* Daemons that know many answers, all alike, stop one after the other, and
 * callers with longer work go on to come. @busy has their targets take longer,
 * so that ports stay open. */
static void
stop_beside_callers(struct machine **m, int n, const char *busy)
{
	int64_t since;
	int i;

	for (i = 0; i < n; i++)
		aim(m[i], AIM_ALIKE);
	pause_ms(ALIKE_MS);
	since = io_clock();
	for (i = 0; i < n; i++) {
		machine_stop(m[i]);
		machine_set_target(m[i], busy, "slow");
		pause_ms(APART_MS);
	}
	pause_ms(TAKES_LATE_MS - n * APART_MS);
	aim_each(m, n, AIM_LONGER);
	pause_ms(LATE_MS - n * APART_MS);
	aim_each(m, n, AIM_AWAY);
	for (i = 0; i < n; i++) {
		machine_await_start(m[i], since);
		release(m[i]);
	}
}

void
act_stop_callers(const struct action *a)
{
	struct machine *m[MACHINES_MAX];
	int i, n = action_machines(a->rig, a->first, MACHINES_MAX, m);

	for (i = 0; i < n && !claim(m[i]); i++)
		;
	if (i < n)
		stop_beside_callers(&m[i], 1, BUSIER);
}

static void
stop_service(const struct action *a, const char *busy)
{
	struct machine *m[SERVICE_MAX];
	const char *service = a->count % 2 ? "archive" : "cloner";
	int n = claim_service(a, service, m);

	if (n)
		stop_beside_callers(m, n, busy);
}

void
act_stop_service(const struct action *a)
{
	stop_service(a, BUSY);
}

void
act_stop_service_slowed(const struct action *a)
{
	stop_service(a, SLOWED);
}
