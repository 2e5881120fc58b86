#ifndef RIG_H
#define RIG_H

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

#include "../fake/planned/planned.h"
#include "history.h"

/**
 * DOC: The users' side of a mesh, on real processes.
 *
 * One program starts the stand-in of the platform and, for each machine, a
 * daemon and the stand-in of its target; it plays the callers of the machines,
 * draws planned and unplanned trouble by a seed, and writes what happened to
 * history files, from which judge.c tells which requests were lost.
 *
 * mesh.c is the deployment: machines and kinds of request. process.c starts
 * programs, machine.c keeps a machine's daemon and asks whether it is ready,
 * target.c keeps its target, store.c writes configurations and evacuations,
 *traffic.c draws requests, attempt.c plays them, probe.c asks each daemon
 *what it has in force, plan.c draws trouble,
 *trouble.c, daemons.c, aimed.c, stops.c, disk.c, change.c and lists.c bring it
 *about, link.c is a proxy between daemons and the store.
 *
 * Lines of the history, besides those of tests/fake/planned and
 * tests/fake/target; all are written by "plan":
 *
 *	start, term, hup, kill, stop, cont, end (status=) at=DAEMON
 *	overrun at=DAEMON	SIGKILL, since it outlived its grace
 *	memory at=DAEMON	SIGKILL, since it exceeded its memory
 *	ready, unready at=DAEMON	what callers of the machine are told
 *	slow, unslow at=DAEMON	it gets a part of its processor's time
 *	link, store-link at=DAEMON mode= ms=	its connections from other
 *				daemons or to the store, "open" ends it
 *				"turned-away" by the store, see its mode
 *	service at=DAEMON name=	another one has its address from now on
 *	store mode=		how the platform acts, "ok" ends it; after
 *				"restore" once the operator has written again
 *	store-lists ms= at= objects=	all the while: age and version of lists
 *				that may be stale, objects in a page
 *	config-sent version= timeout_ROUTE=... to_ROUTE=...	services, with
 *				weights after colons where there are several
 *	config-acked version= code=
 *	evacuated, back dc=
 *	target-start, target-drains, target-kill, target-end at=DAEMON
 *	target-set at=DAEMON what=	a knob of the target, "calm of=" ends it
 *	disk at=DAEMON mode=	"held": reads of its settings are held up
 *	log at=DAEMON mode=	"held": nobody reads its log
 */

#define MACHINES_MAX 40
#define ZONES 3
#define PORT_CALLER 8400
#define PORT_PEER 8410
#define PORT_PEER_PROXY 8411
#define PORT_OPERATOR 8420
#define PORT_READY 8430
#define PORT_HEARTBEAT 8440
#define PORT_TARGET 9001
#define PORT_STORE 20200
#define PORT_STORE_PROXY 20201
#define RIG_HOST "h.example"
#define GRACE_S 6
#define NOISY_MS 150 /* of a target's noisy neighbour */
#define CONNECT_US 1000 /* delay of a new connection at a target */

/** enum habit - how the callers of a kind use connections */
enum habit { HABIT_PIPELINE, HABIT_POOL, HABIT_FRESH };

/** struct kind - a kind of request; sizes in bytes */
struct kind {
	const char *name;
	const char *route;
	const char *service;
	const char *method;
	const char *call; /* route of the calls that its target makes */
	int once; /* nonzero: it is not idempotent */
	enum habit habit;
	int priority;
	int timeout_ms; /* of its route, 0: its deadline */
	int deadline_ms;
	int work_ms, work_max_ms;
	int body_bytes, answer_bytes; /* means */
	int calls; /* 0 or how many its target makes */
	int together;
	double fail_share;
	double per_s; /* in all data centres; 0: only called */
};

extern const struct kind kinds[];
extern const int kind_count;

/** struct place - where the machines of the first moment are */
struct place {
	int zone; /* from 1 */
	const char *service;
};

extern const struct place places[];
extern const int place_count;
/** mesh_services - names, the last one NULL */
extern const char *const mesh_services[];
/** mesh_zone_share - of the requests, by zone - 1 */
extern const double mesh_zone_share[ZONES];

/** enum profile - which troubles a run has */
enum profile {
	PROFILE_PLANNED, /* planned work only */
	PROFILE_TARGETS, /* beside it, targets in trouble */
	PROFILE_STARVED, /* and daemons that are slow or stand still */
	PROFILE_LINKS, /* and connections that are delayed, reset or silent */
	PROFILE_KILLS, /* and daemons that are killed, and the store */
	PROFILES_BY_SEED, /* those above are drawn by seed % this */
	PROFILE_STORE = PROFILES_BY_SEED, /* lists that may be stale, and
					     daemons that start beside changes
					   */
	PROFILE_KEPT, /* little planned work, so that most machines are in
			 touch, and targets that refuse first attempts */
	PROFILE_STOP, /* stops beside callers that they can't serve any more,
			 under long time limits */
	PROFILES
};

struct rig;

/** enum aim - how callers of its data centre use a machine, ready or not */
enum aim {
	AIM_NONE, /* as any other */
	AIM_AWAY, /* not at all */
	AIM_MORE, /* with many of their requests */
	AIM_LONG, /* with these, of which half have long work */
	AIM_OVER, /* with these, of more work than shortened limits allow */
	AIM_KEPT, /* with these, on connections of which half end their sending
		     side after them */
	AIM_ALIKE, /* with these, of a kind's mean work */
	AIM_LATE, /* with these, of which patient ones have more work and time
		   */
	AIM_LONGER /* with these, of which all with a time limit have long work
		      and a late deadline */
};

/**
 * struct machine - a daemon and its target; what is marked with an asterisk is
 * guarded by @lock
 * @number: from 1, among those of its zone
 * @wanted: * nonzero while the daemon is started again when it ends
 * @pid: * of the daemon, 0 between two
 * @started: * when it was started last, io_clock()
 * @target_wanted: * the same for its target
 * @target_pid: * of the target
 * @holders: * how many suspend the daemon
 * @service: * given to another one at times
 * @in: nonzero while callers of the machine give it new work
 * @misses: answers other than 200 in a row to the question for readiness
 * @settings: * how often they were changed
 * @aim: see enum aim; @claimed: nonzero while an action uses it alone
 * @connect_us: delay of new connections at targets that start from now on
 * @log_held: nonzero while nobody reads the log; @log_ends: the run ends
 * @link: how its connections from other daemons act, see enum link_mode
 * @store_link: the same for those to the store; @link_ms is the delay of both
 */
struct machine {
	struct rig *rig;
	int zone;
	int number;
	const char *service;
	char ip[16];
	char address[24]; /* of the daemon, for callers */
	GMutex lock;
	int wanted;
	GPid pid;
	int64_t started;
	int target_wanted;
	GPid target_pid;
	int holders;
	gint in;
	int misses;
	gint link;
	gint store_link;
	gint link_ms;
	int settings;
	gint aim;
	gint claimed;
	gint connect_us;
	gint log_held;
	gint log_ends;
	struct caller caller;
	GMutex pool_lock;
	GQueue pool; /* struct idle, connections that no request uses */
	GThread *daemon_keeper;
	GThread *target_keeper;
	GThread *ready_asker;
	GThread *log_reader; /* NULL: the daemon writes to a file */
};

/** struct rig - a run */
struct rig {
	const char *build; /* directory with the programs */
	const char *dir; /* of settings, logs and histories */
	const char *net; /* first two numbers of all addresses */
	guint32 seed;
	int seconds;
	double load; /* factor of the requests */
	int noisy_ms; /* of each target's noisy neighbour, 0 for none */
	int harsh; /* nonzero: callers in ways that daemons stumble over */
	int proxied; /* nonzero: connections between daemons have a proxy */
	int64_t begin; /* of traffic, io_clock() */
	int64_t end;
	gint ending; /* nonzero: nothing is started again */
	struct history history;
	GPid platform;
	GMutex lock; /* of @machine_count */
	GMutex store_lock; /* of the configuration */
	GMutex evacuation_lock; /* of @out, taken after @store_lock */
	int out[ZONES]; /* nonzero: the operator wants the zone out */
	enum profile profile;
	int stale_ms; /* age of lists that may be stale, 0 for none */
	gint store_turn; /* nonzero: an action changes how the store acts */
	int piped_logs; /* nonzero: daemons write logs to pipes */
	gint evacuating; /* nonzero: a data centre is out */
	gint limits_turn; /* nonzero: an action changes @limits_percent */
	gint limits_percent; /* of the usual time limits, of all but long work
			      */
	struct machine machine[MACHINES_MAX];
	int machine_count;
	int version; /* of the last configuration sent */
	int timeout_turn; /* chooses its time limits */
	int split_turn; /* chooses where batch goes */
	gint extra_turn; /* chooses the routes that come and go */
	gint long_percent; /* of the requests of long kinds, work long */
	gint burst; /* percent of the usual requests */
	gint impatient; /* percent of callers that give up early */
	gint abusive; /* percent of callers that repeat often and at once */
};

/** note() - write an event to the history */
void
note(struct rig *, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/** process_start() - run a program with its output appended to a file in the
 * run's directory; @env is NULL or an environment. Return: 0 if it could not be
 * started */
GPid process_start(struct rig *, const char *log, char **argv, char **env);
/** process_await() - wait for its end; Return: as a shell's $? */
int process_await(GPid);

/** machine_add() - start a machine's processes; Return: NULL if there are too
 * many */
struct machine *
machine_add(struct rig *, int zone, const char *service, int cold);
/** machine_file() - name of a file of the machine in the run's directory */
char *machine_file(struct machine *, const char *ending);
/** machine_write_settings() - write the daemon's settings, changed ones if
 * @change */
void machine_write_settings(struct machine *, int change);
/** machine_signal() - signal the daemon, and note it; Return: its process, 0 if
 * it does not run */
GPid machine_signal(struct machine *, int signal);
/** machine_hold() - suspend the daemon, or let it go on unless another one
 * holds it; without a note */
void machine_hold(struct machine *, int hold);
/** machine_await_start() - wait until a daemon was started there later than at
 * a time; Return: 0 if that takes longer than a stop may */
int machine_await_start(struct machine *, int64_t since);
/** machine_stop() - SIGTERM, and SIGKILL once the grace is over */
void machine_stop(struct machine *);
/** machine_retire() - machine_stop(), and no daemon is started there again */
void machine_retire(struct machine *);
int machine_is_wanted(struct machine *);
/** machine_give_service() - from the next start of daemon and target on */
void machine_give_service(struct machine *, const char *service);
/** target_keep() - start the target, and again each time it ends */
void target_keep(struct machine *);
/** target_retire() - no target is started there again; Return: nonzero if that
 * was not so before */
int target_retire(struct machine *);
/** machine_signal_target() - the same for its target, without a note */
GPid machine_signal_target(struct machine *, int signal);
/** machine_set_target() - change knobs of its target; @what is for the note */
void machine_set_target(struct machine *, const char *knobs, const char *what);
/** machine_close() - wait until its daemon has ended, and end the rest */
void machine_close(struct machine *);
/** machine_start_asking() - keep asking whether the daemon is ready */
void machine_start_asking(struct machine *);

/** rig_http() - send a request and read the answer; Return: its status, 0 if
 * there is none within @ms */
int rig_http(const char *ip, int port, int ms, const char *method,
    const char *path, const char *body);

/** enum change - what differs in the next version of the configuration */
enum change {
	CHANGE_TIMEOUT = 1, /* time limits of all routes */
	CHANGE_SPLIT = 2, /* where a route goes */
	CHANGE_EXTRA = 4 /* a route comes, one goes */
};

/** store_configure() - send the next version of the configuration, with a set
 * of changes */
void store_configure(struct rig *, int changes);
/** store_evacuate() - begin or end an evacuation; Return: nonzero if the store
 * took it */
int store_evacuate(struct rig *, int zone, int begins);
/** store_fault() - have the platform act as @mode from now on */
void store_fault(struct rig *, const char *mode);
/** store_set() - the same without a note, for what is no trouble */
void store_set(struct rig *, const char *mode);
/** store_restore() - have the store come back from a copy that lacks the last
 * @by writes after @away_ms, and write again after @again_ms what the operator
 * wrote */
void store_restore(struct rig *, int by, int away_ms, int again_ms);

/** traffic_start() - start the callers of all data centres; they end at
 * rig->end */
struct traffic *traffic_start(struct rig *);
void traffic_join(struct traffic *);

/** struct task - requests that arrive at once */
struct task {
	const struct kind *kind;
	int zone;
	int n; /* BATCH_MAX at most */
	guint32 seed;
};

/** attempt_play() - play the requests of a task and their repeats */
void attempt_play(struct rig *, struct task *);
/** attempt_open() - open a connection to a machine; Return: NULL if there is
 * none in time */
struct conn *attempt_open(struct machine *);
void attempt_close(struct conn *);
/** attempt_exchange() - send requests and read their answers; Return: nonzero
 * if the connection is of further use */
int attempt_exchange(struct conn *, struct request *, struct answer *, int n);

#define ROUTE_EXTRAS 4 /* routes that come and go, one at a time */
#define MOVED_ROUTE "batch" /* the one that goes to other services */

/** probe_start() - keep sending requests to each daemon on routes that come,
 * go, move or never were, until the run ends */
struct probe *probe_start(struct rig *);
void probe_join(struct probe *);

/** enum link_mode - how a proxy treats bytes */
enum link_mode {
	LINK_OPEN,
	LINK_DELAY,
	LINK_SILENT,
	LINK_ONE_WAY,
	LINK_RESET,
	LINK_TURNED_AWAY /* to the store's address for these */
};

/** log_open() - begin to copy what the daemon writes to a pipe to its log */
void log_open(struct machine *);
/** log_close() - no more, once all was copied that had been written */
void log_close(struct machine *);

/** link_start() - have a proxy forward connections to @port of the machine, or
 * from the machine to the store if @to_ip */
void link_start(struct machine *, int listen_port, const char *to_ip, int port);
void link_set(struct machine *, enum link_mode, int ms);
/** link_set_store() - the same for its connections to the store */
void link_set_store(struct machine *, enum link_mode, int ms);

/** plan_profile() - the profile of a seed */
enum profile plan_profile(guint32 seed);
/** plan_start() - draw the run's trouble and bring it about in time */
GThread *plan_start(struct rig *);

/** judge() - judge history files, merged by time, and print the findings;
 * Return: 0 if there are none */
int judge(char **files, int n);

#endif
