#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "io.h"
#include "rig.h"

#define AGAIN_US 300000 /* from the end of a daemon to its next start */
#define POLL_US 5000
#define ASK_US 1000000 /* between two questions for readiness */
#define ASK_MS 900
#define MISSES_OUT 2
#define MEMORY_KB (260 * 1024)
#define DESCRIPTORS 4100
#define STATUS_OK 200

static const char settings_format[] =
    "{\n\t\"name\": \"dc%d-%d\", \"ip\": \"%s\", \"datacentre\": \"dc%d\", "
    "\"region\": \"r1\",\n"
    "\t\"dialect\": \"platform\", \"service\": \"%s\", "
    "\"target\": \"%s:%d\",\n"
    "\t\"caller_port\": \"%s:%d\", \"peer_port\": %d, "
    "\"operator_port\": %d,\n"
    "\t\"ready_port\": \"%s:%d\", \"heartbeat_port\": \"%s:%d\",\n"
    "\t\"platform\": { \"address\": \"%s:%d\" }, \"grace_s\": %d, "
    "\"leave_ms\": 2600,\n"
    "\t\"limits\": { \"measure_per_s\": 60, \"cold_slack\": 5, "
    "\"cold_overshoot\": 1.5, \"connections\": %d },\n"
    "\t\"retries\": { \"ratio\": 0.15, \"slack\": 62, \"window_s\": 10 },\n"
    "\t\"log\": { \"level\": \"info\" },\n\t\"fleet_keys\": [ "
    "\"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\" "
    "]\n}\n";
#define CONNECTIONS 3000

char *
machine_file(struct machine *m, const char *ending)
{
	return g_strdup_printf("%s/dc%d-%d%s", m->rig->dir, m->zone, m->number,
	    ending);
}

void
machine_write_settings(struct machine *m, int change)
{
	char *path = machine_file(m, ".json"), *text;

	g_mutex_lock(&m->lock);
	m->settings += change;
	text = g_strdup_printf(settings_format, m->zone, m->number, m->ip,
	    m->zone, m->service, m->ip, PORT_TARGET, m->ip, PORT_CALLER,
	    PORT_PEER, PORT_OPERATOR, m->ip, PORT_READY, m->ip, PORT_HEARTBEAT,
	    m->ip, PORT_STORE_PROXY, GRACE_S, CONNECTIONS + m->settings);
	if (!g_file_set_contents(path, text, -1, NULL))
		fprintf(stderr, "rig: cannot write %s\n", path);
	g_mutex_unlock(&m->lock);
	g_free(text);
	g_free(path);
}

/* Environment in which connections to the peer port of a daemon lead to the
 * proxy before it. */
static char **
daemon_environment(struct rig *r)
{
	char **env = g_get_environ(), *path, *number;

	path = g_build_filename(r->build, "rig-redirect.so", NULL);
	number = g_strdup_printf("%d", PORT_PEER);
	env = g_environ_setenv(env, "LD_PRELOAD", path, TRUE);
	env = g_environ_setenv(env, "RIG_REDIRECT_FROM", number, TRUE);
	g_free(number);
	number = g_strdup_printf("%d", PORT_PEER_PROXY);
	env = g_environ_setenv(env, "RIG_REDIRECT_TO", number, TRUE);
	g_free(number);
	g_free(path);
	return env;
}

static GPid
start_daemon(struct machine *m)
{
	char *program = g_build_filename(m->rig->build, "kumquatrockd", NULL);
	char *settings = machine_file(m, ".json");
	char *log = g_strdup_printf("daemon-%d-%d.%s", m->zone, m->number,
	    m->log_reader ? "pipe" : "log");
	char *argv[] = { program, (char *)"--settings", settings, NULL };
	char **env = m->rig->proxied ? daemon_environment(m->rig) : NULL;
	const struct rlimit descriptors = { DESCRIPTORS, DESCRIPTORS };
	GPid pid;

	note(m->rig, "start at=%s", m->address);
	pid = process_start(m->rig, log, argv, env);
	if (pid)
		prlimit(pid, RLIMIT_NOFILE, &descriptors, NULL);
	g_strfreev(env);
	g_free(log);
	g_free(settings);
	g_free(program);
	return pid;
}

/* Starts the daemon if it is to run; Return: its process, 0 if it is not */
static GPid
start_wanted(struct machine *m)
{
	GPid pid = 0;

	g_mutex_lock(&m->lock);
	m->holders = 0;
	if (m->wanted && !g_atomic_int_get(&m->rig->ending))
		pid = m->pid = start_daemon(m);
	if (pid)
		m->started = io_clock();
	g_mutex_unlock(&m->lock);
	return pid;
}

static gpointer
keep_daemon(gpointer arg)
{
	struct machine *m = arg;
	GPid pid;
	int status;

	while ((pid = start_wanted(m))) {
		status = process_await(pid);
		g_mutex_lock(&m->lock);
		m->pid = 0;
		note(m->rig, "end at=%s status=%d", m->address, status);
		g_mutex_unlock(&m->lock);
		g_usleep(AGAIN_US);
	}
	return NULL;
}

static void
prepare_caller(struct machine *m)
{
	struct caller *c = &m->caller;

	c->to.sin_family = AF_INET;
	c->to.sin_addr.s_addr = inet_addr(m->ip);
	c->to.sin_port = htons(PORT_CALLER);
	c->address = m->address;
	c->host = RIG_HOST;
	c->name = g_strdup_printf("c%d.%d", m->zone, m->number);
	c->mesh = 1;
	c->history = m->rig->history;
	g_strlcpy(c->history.who, c->name, sizeof c->history.who);
}

struct machine *
machine_add(struct rig *r, int zone, const char *service, int cold)
{
	struct machine *m;
	int i, number = 1;

	g_mutex_lock(&r->lock);
	if (r->machine_count == MACHINES_MAX) {
		g_mutex_unlock(&r->lock);
		return NULL;
	}
	m = &r->machine[r->machine_count];
	for (i = 0; i < r->machine_count; i++)
		number += r->machine[i].zone == zone;
	m->rig = r;
	m->zone = zone;
	m->number = number;
	m->service = service;
	g_snprintf(m->ip, sizeof m->ip, "%s.%d.%d", r->net, zone, number);
	g_snprintf(m->address, sizeof m->address, "%s:%d", m->ip, PORT_CALLER);
	g_mutex_init(&m->lock);
	g_mutex_init(&m->pool_lock);
	g_queue_init(&m->pool);
	prepare_caller(m);
	m->wanted = m->target_wanted = 1;
	g_atomic_int_set(&m->connect_us, CONNECT_US);
	if (r->piped_logs)
		log_open(m);
	machine_write_settings(m, 0);
	link_start(m, PORT_PEER_PROXY, m->ip, PORT_PEER);
	link_start(m, PORT_STORE_PROXY, NULL, PORT_STORE);
	m->daemon_keeper = g_thread_new("daemon", keep_daemon, m);
	target_keep(m);
	m->ready_asker = NULL;
	r->machine_count++;
	g_mutex_unlock(&r->lock);
	machine_start_asking(m);
	return m;
}

static const char *
name_of_signal(int signal)
{
	switch (signal) {
	case SIGTERM:
		return "term";
	case SIGHUP:
		return "hup";
	case SIGSTOP:
		return "stop";
	case SIGCONT:
		return "cont";
	default:
		return "kill";
	}
}

/* Sends a signal to the daemon, under its lock. It goes on once nobody holds
 * it. */
static void
pass_signal(struct machine *m, int signal)
{
	if (signal == SIGSTOP)
		m->holders++;
	if (signal == SIGCONT && (!m->holders || --m->holders))
		return;
	kill(m->pid, signal);
}

GPid
machine_signal(struct machine *m, int signal)
{
	GPid pid;

	g_mutex_lock(&m->lock);
	pid = m->pid;
	if (pid) {
		note(m->rig, "%s at=%s", name_of_signal(signal), m->address);
		pass_signal(m, signal);
	}
	g_mutex_unlock(&m->lock);
	return pid;
}

void
machine_hold(struct machine *m, int hold)
{
	g_mutex_lock(&m->lock);
	if (m->pid)
		pass_signal(m, hold ? SIGSTOP : SIGCONT);
	g_mutex_unlock(&m->lock);
}

int
machine_await_start(struct machine *m, int64_t since)
{
	int64_t end = io_clock() + (GRACE_S + 1) * G_USEC_PER_SEC;
	int is_new = 0;

	while (!is_new && io_clock() < end) {
		g_usleep(POLL_US);
		g_mutex_lock(&m->lock);
		is_new = m->started > since;
		g_mutex_unlock(&m->lock);
	}
	return is_new;
}

/** struct overdue - a daemon that was told to stop */
struct overdue {
	struct machine *machine;
	GPid pid;
};

/* Kills a daemon that still runs when its grace is over. */
static gpointer
end_grace(gpointer arg)
{
	struct overdue *o = arg;
	struct machine *m = o->machine;

	g_usleep(GRACE_S * G_USEC_PER_SEC);
	g_mutex_lock(&m->lock);
	if (m->pid == o->pid) {
		note(m->rig, "overrun at=%s", m->address);
		kill(o->pid, SIGKILL);
	}
	g_mutex_unlock(&m->lock);
	g_free(o);
	return NULL;
}

void
machine_stop(struct machine *m)
{
	struct overdue *o = g_new0(struct overdue, 1);

	o->machine = m;
	o->pid = machine_signal(m, SIGTERM);
	if (o->pid)
		g_thread_unref(g_thread_new("grace", end_grace, o));
	else
		g_free(o);
}

void
machine_retire(struct machine *m)
{
	g_mutex_lock(&m->lock);
	m->wanted = 0;
	g_mutex_unlock(&m->lock);
	machine_stop(m);
}

int
machine_is_wanted(struct machine *m)
{
	int wanted;

	g_mutex_lock(&m->lock);
	wanted = m->wanted;
	g_mutex_unlock(&m->lock);
	return wanted;
}

void
machine_give_service(struct machine *m, const char *service)
{
	g_mutex_lock(&m->lock);
	m->service = service;
	g_mutex_unlock(&m->lock);
	machine_write_settings(m, 0);
}

/* Memory of a process that is in use now, in kB. */
static long
resident_kb(GPid pid)
{
	char path[40], *text = NULL, *at;
	long kb = 0;

	g_snprintf(path, sizeof path, "/proc/%d/status", (int)pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	at = strstr(text, "VmRSS:");
	if (at)
		kb = strtol(at + 6, NULL, 10);
	g_free(text);
	return kb;
}

static void
check_memory(struct machine *m)
{
	g_mutex_lock(&m->lock);
	if (m->pid && resident_kb(m->pid) > MEMORY_KB) {
		note(m->rig, "memory at=%s", m->address);
		kill(m->pid, SIGKILL);
	}
	g_mutex_unlock(&m->lock);
}

static void
set_in(struct machine *m, int in)
{
	if (g_atomic_int_get(&m->in) == in)
		return;
	g_atomic_int_set(&m->in, in);
	note(m->rig, "%s at=%s", in ? "ready" : "unready", m->address);
}

static gpointer
ask_ready(gpointer arg)
{
	struct machine *m = arg;
	int64_t due = io_clock();

	while (!g_atomic_int_get(&m->rig->ending)) {
		if (rig_http(m->ip, PORT_READY, ASK_MS, "GET", "/v1/readiness",
			NULL) == STATUS_OK)
			m->misses = 0;
		else
			m->misses++;
		set_in(m, m->misses < MISSES_OUT);
		check_memory(m);
		due += ASK_US;
		g_usleep((gulong)MAX(0, due - io_clock()));
	}
	return NULL;
}

void
machine_start_asking(struct machine *m)
{
	m->misses = MISSES_OUT;
	m->ready_asker = g_thread_new("ready", ask_ready, m);
}

void
machine_close(struct machine *m)
{
	g_thread_join(m->daemon_keeper);
	machine_signal_target(m, SIGKILL);
	g_thread_join(m->target_keeper);
	g_thread_join(m->ready_asker);
	if (m->log_reader)
		log_close(m);
}
