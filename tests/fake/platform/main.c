#include "io.h"
#include "platform.h"

#include <argtable2.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>

#define WRITES_PER_S 300
#define READS_PER_S 2000

static gboolean
on_term(void *ctx)
{
	g_main_loop_quit(ctx);
	return G_SOURCE_REMOVE;
}

static int
run(struct platform *p, const char *ip, int port)
{
	GMainLoop *m = g_main_loop_new(NULL, FALSE);
	SoupServer *s = soup_server_new(NULL, NULL);
	struct kq_error e;

	if (serve_start(p, s, ip, port, &e) < 0) {
		fprintf(stderr, "fake-platform: %s\n", e.text);
		return EXIT_FAILURE;
	}
	g_unix_signal_add(SIGTERM, on_term, m);
	g_unix_signal_add(SIGINT, on_term, m);
	g_main_loop_run(m);
	soup_server_disconnect(s);
	return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
	struct arg_str *ip = arg_str1(NULL, "ip", "IP", "address to listen on");
	struct arg_int *port = arg_int1(NULL, "port", "N", "port");
	struct arg_dbl *writes = arg_dbl0(NULL, "writes", "N",
	    "writes allowed per second, default 300");
	struct arg_dbl *reads = arg_dbl0(NULL, "reads", "N",
	    "reads and watches allowed per second, default 2000");
	struct arg_str *file = arg_str0(NULL, "history", "FILE",
	    "file to append history lines to");
	struct arg_lit *users = arg_lit0(NULL, "users",
	    "serve the object API of the users' platform");
	struct arg_str *second = arg_str0(NULL, "second-ip", "IP",
	    "second address to listen on, for the fault turn-away");
	struct arg_end *end = arg_end(5);
	void *table[] = { ip, port, writes, reads, file, users, second, end };
	static struct platform p;
	struct kq_error e;
	int r;

	writes->dval[0] = WRITES_PER_S;
	reads->dval[0] = READS_PER_S;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, NULL);
		return EXIT_FAILURE;
	}
	p.users = users->count;
	p.second_ip = second->count ? second->sval[0] : NULL;
	store_init(&p.store);
	rates_init(&p.rates, reads->dval[0], writes->dval[0], io_clock());
	if (history_open(&p.history, file->count ? file->sval[0] : NULL,
		"platform", &e) < 0) {
		fprintf(stderr, "fake-platform: %s\n", e.text);
		return EXIT_FAILURE;
	}
	r = run(&p, ip->sval[0], port->ival[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return r;
}
