#include "target.h"

#include <argtable2.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define OPTIONS 10 /* besides the knobs */
#define KNOBS_MAX 64
#define NAME_MAX_BYTES 32

/** struct options - command line; one number for each knob */
struct options {
	struct arg_str *ip, *service, *dc, *announce, *history, *calls_to,
	    *calls_host;
	struct arg_int *port;
	struct arg_lit *users;
	struct arg_end *end;
	void **table;
	char name[KNOBS_MAX][NAME_MAX_BYTES];
};

static void
options_init(struct options *o)
{
	int i, n = 0;

	o->ip = arg_str1(NULL, "ip", "IP", "address to listen on");
	o->port = arg_int1(NULL, "port", "N", "port");
	o->service = arg_str1(NULL, "service", "NAME", "service");
	o->dc = arg_str1(NULL, "dc", "NAME", "data centre that it is in");
	o->announce = arg_str0(NULL, "announce", "IP:PORT",
	    "operator port of the target's daemon");
	o->calls_to = arg_str0(NULL, "calls-to", "IP:PORT",
	    "daemon through which requests with calls=N make calls");
	o->calls_host =
	    arg_str0(NULL, "calls-host", "NAME", "Host field of these calls");
	o->history = arg_str0(NULL, "history", "FILE",
	    "file to append history lines to");
	o->users = arg_lit0(NULL, "users", "speak the users' dialect");
	o->end = arg_end(5);
	o->table = g_new0(void *, knob_count + OPTIONS);
	for (i = 0; i < knob_count; i++) {
		g_strlcpy(o->name[i], knob_table[i].name, sizeof o->name[i]);
		g_strdelimit(o->name[i], "_", '-');
		o->table[n++] =
		    arg_int0(NULL, o->name[i], "N", knob_table[i].glossary);
	}
	o->table[n++] = o->ip;
	o->table[n++] = o->port;
	o->table[n++] = o->service;
	o->table[n++] = o->dc;
	o->table[n++] = o->announce;
	o->table[n++] = o->calls_to;
	o->table[n++] = o->calls_host;
	o->table[n++] = o->history;
	o->table[n++] = o->users;
	o->table[n] = o->end;
}

static int
options_parse(struct options *o, struct knobs *k, int argc, char **argv)
{
	struct arg_int *a;
	int i;

	options_init(o);
	if (arg_parse(argc, argv, o->table) > 0) {
		arg_print_errors(stderr, o->end, argv[0]);
		arg_print_glossary(stderr, o->table, NULL);
		return -1;
	}
	knobs_init(k);
	for (i = 0; i < knob_count; i++) {
		a = o->table[i];
		if (a->count)
			knobs_set(k, knob_table[i].name, a->ival[0]);
	}
	return 0;
}

static gboolean
on_term(void *ctx)
{
	announce_leave(ctx);
	return G_SOURCE_CONTINUE;
}

static int
start(struct target *t, const struct options *o, struct kq_error *e)
{
	const char *file = o->history->count ? o->history->sval[0] : NULL;
	char who[HISTORY_WHO_MAX];

	g_snprintf(who, sizeof who, "%s:%d", t->ip, t->port);
	if (history_open(&t->history, file, who, e) < 0)
		return -1;
	g_snprintf(t->start_id, sizeof t->start_id,
	    "%08x%08" G_GINT64_MODIFIER "x", (unsigned)getpid(),
	    io_clock() & G_MAXUINT32);
	t->rand = g_rand_new_with_seed((guint32)t->knobs.seed);
	t->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->main = g_main_loop_new(NULL, FALSE);
	t->loop = io_loop_new(NULL);
	if (conn_listen(t, e) < 0)
		return -1;
	if (o->calls_to->count &&
	    calls_start(t, o->calls_to->sval[0],
		o->calls_host->count ? o->calls_host->sval[0] : "") < 0)
		return kq_error_set(e, KQ_LAYER_HTTP, HTTP_E_CONNECT,
		    "--calls-to is no address");
	job_noise_start(t);
	admin_report_start(t);
	history_write(&t->history, io_clock(),
	    "start service=%s dc=%s start=%s", t->service, t->dc, t->start_id);
	return announce_start(t,
	    o->announce->count ? o->announce->sval[0] : NULL, e);
}

int
main(int argc, char **argv)
{
	static struct target t;
	static struct options o;
	struct kq_error e;

	if (options_parse(&o, &t.knobs, argc, argv) < 0)
		return EXIT_FAILURE;
	t.ip = o.ip->sval[0];
	t.port = o.port->ival[0];
	t.service = o.service->sval[0];
	t.dc = o.dc->sval[0];
	t.users = o.users->count;
	t.born = g_get_real_time() / 1000;
	if (start(&t, &o, &e) < 0) {
		fprintf(stderr, "fake-target: %s\n", e.text);
		return EXIT_FAILURE;
	}
	g_unix_signal_add(SIGTERM, on_term, &t);
	g_unix_signal_add(SIGINT, on_term, &t);
	g_main_loop_run(t.main);
	arg_freetable(o.table, knob_count + OPTIONS);
	return EXIT_SUCCESS;
}
