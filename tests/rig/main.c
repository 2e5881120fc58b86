#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "io.h"
#include "plan.h"

#define SECONDS 25
#define LEAD_S 4 /* from the start of the machines to traffic */
#define DESCRIPTORS 60000
#define STOP_LIMITS_PERCENT 400
#define STOP_TIMEOUT_TURN 2 /* the longest time limits */

static void
raise_descriptors(void)
{
	struct rlimit l;

	if (getrlimit(RLIMIT_NOFILE, &l))
		return;
	l.rlim_cur = MIN(l.rlim_max, DESCRIPTORS);
	setrlimit(RLIMIT_NOFILE, &l);
}

static int
start_platform(struct rig *r)
{
	char *program = g_build_filename(r->build, "fake-platform", NULL);
	char *history = g_build_filename(r->dir, "platform.history", NULL);
	char *ip = g_strdup_printf("%s.0.10", r->net);
	char *second = g_strdup_printf("%s.0.11", r->net);
	char *argv[] = { program, (char *)"--users", (char *)"--ip", ip,
		(char *)"--second-ip", second, (char *)"--port",
		(char *)G_STRINGIFY(PORT_STORE), (char *)"--history", history,
		NULL };
	int tries = 100;

	r->platform = process_start(r, "platform.log", argv, NULL);
	while (r->platform && tries-- &&
	       !rig_http(ip, PORT_STORE, 500, "GET", "/fake/counts", NULL))
		g_usleep(50000);
	g_free(second);
	g_free(ip);
	g_free(history);
	g_free(program);
	return r->platform && tries > 0 ? 0 : -1;
}

static void
start_machines(struct rig *r)
{
	int i;

	for (i = 0; i < place_count; i++)
		machine_add(r, places[i].zone, places[i].service, 0);
}

static void
run(struct rig *r)
{
	struct traffic *t;
	struct probe *probe;
	GThread *plan;
	int i;

	if (r->profile == PROFILE_STORE)
		lists_start(r);
	store_configure(r, 0);
	start_machines(r);
	g_usleep(LEAD_S * G_USEC_PER_SEC);
	r->begin = io_clock();
	r->end = r->begin + r->seconds * G_USEC_PER_SEC;
	plan = plan_start(r);
	t = traffic_start(r);
	probe = probe_start(r);
	traffic_join(t);
	probe_join(probe);
	g_thread_join(plan);
	g_atomic_int_set(&r->ending, 1);
	for (i = 0; i < r->machine_count; i++)
		machine_stop(&r->machine[i]);
	for (i = 0; i < r->machine_count; i++)
		machine_close(&r->machine[i]);
}

static void
set_profile(struct rig *r)
{
	r->burst = 100;
	r->limits_percent = 100;
	r->noisy_ms = NOISY_MS;
	r->profile = plan_profile(r->seed);
	r->harsh = r->seed / PROFILES_BY_SEED % 2;
	r->piped_logs = r->profile == PROFILE_STARVED;
	r->proxied = r->profile == PROFILE_LINKS;
	if (r->profile != PROFILE_STOP)
		return;
	r->limits_percent = STOP_LIMITS_PERCENT;
	r->timeout_turn = STOP_TIMEOUT_TURN;
	r->noisy_ms = 0;
}

static int
judge_directory(const char *dir)
{
	GPtrArray *files = g_ptr_array_new_with_free_func(g_free);
	GDir *d = g_dir_open(dir, 0, NULL);
	const char *name;
	int bad;

	while (d && (name = g_dir_read_name(d)))
		if (g_str_has_suffix(name, ".history"))
			g_ptr_array_add(files,
			    g_build_filename(dir, name, NULL));
	if (d)
		g_dir_close(d);
	bad = judge((char **)files->pdata, (int)files->len);
	g_ptr_array_free(files, TRUE);
	return bad;
}

int
main(int argc, char **argv)
{
	static struct rig r;
	struct arg_str *build =
	    arg_str0(NULL, "build", "DIRECTORY", "programs, default build");
	struct arg_str *dir = arg_str1(NULL, "dir", "DIRECTORY",
	    "empty, for settings, logs and histories");
	struct arg_str *net = arg_str0(NULL, "net", "A.B",
	    "first two numbers of addresses, default 127.0");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed, default 1");
	struct arg_int *seconds =
	    arg_int0(NULL, "seconds", "N", "of traffic, default 25");
	struct arg_dbl *load =
	    arg_dbl0(NULL, "load", "X", "factor of the requests, default 1");
	struct arg_lit *judge_only =
	    arg_lit0(NULL, "judge", "judge the histories that are there");
	struct arg_end *end = arg_end(5);
	void *table[] = { build, dir, net, seed, seconds, load, judge_only,
		end };
	char *history;
	struct kq_error e;

	seed->ival[0] = 1;
	seconds->ival[0] = SECONDS;
	load->dval[0] = 1;
	build->sval[0] = "build";
	net->sval[0] = "127.0";
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, NULL);
		return EXIT_FAILURE;
	}
	if (judge_only->count)
		return judge_directory(dir->sval[0]) ? EXIT_FAILURE
						     : EXIT_SUCCESS;
	signal(SIGPIPE, SIG_IGN);
	raise_descriptors();
	r.build = build->sval[0];
	r.dir = dir->sval[0];
	r.net = net->sval[0];
	r.seed = (guint32)seed->ival[0];
	r.seconds = seconds->ival[0];
	r.load = load->dval[0];
	set_profile(&r);
	g_mutex_init(&r.lock);
	g_mutex_init(&r.store_lock);
	g_mutex_init(&r.evacuation_lock);
	history = g_build_filename(r.dir, "rig.history", NULL);
	if (history_open(&r.history, history, "plan", &e) < 0 ||
	    start_platform(&r)) {
		fprintf(stderr, "rig: cannot start in %s\n", r.dir);
		return EXIT_FAILURE;
	}
	run(&r);
	kill(r.platform, SIGTERM);
	process_await(r.platform);
	g_free(history);
	return judge_directory(r.dir) ? EXIT_FAILURE : EXIT_SUCCESS;
}
