#include <argtable2.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#include "io.h"
#include "planned.h"

#define RETRY_US 50000 /* after a connection that could not be opened */
#define THREADS_MAX 200

struct thread {
	struct caller *caller;
	enum way way;
	int number;
	guint32 seed;
	GThread *thread;
};

static gpointer
run(gpointer arg)
{
	struct thread *t = arg;
	GRand *rand = g_rand_new_with_seed(t->seed);

	while (io_clock() < t->caller->end)
		if (connection_play(t->caller, t->way, t->number, rand))
			g_usleep(RETRY_US);
	g_rand_free(rand);
	return NULL;
}

static int
parse_address(const char *text, struct sockaddr_in *a)
{
	char **part = g_strsplit(text, ":", 2);
	int bad = !part[0] || !part[1] ||
		  inet_pton(AF_INET, part[0], &a->sin_addr) != 1;

	a->sin_family = AF_INET;
	if (!bad)
		a->sin_port =
		    htons((uint16_t)g_ascii_strtoull(part[1], NULL, 10));
	g_strfreev(part);
	return bad ? -1 : 0;
}

static void
play(struct caller *c, int threads, guint32 seed)
{
	struct thread t[THREADS_MAX];
	int i;

	for (i = 0; i < threads; i++) {
		t[i].caller = c;
		t[i].way = c->mesh ? mesh_way(i) : (enum way)(i % WAYS);
		t[i].number = i;
		t[i].seed = seed * THREADS_MAX + (guint32)i;
		t[i].thread = g_thread_new("caller", run, &t[i]);
	}
	for (i = 0; i < threads; i++)
		g_thread_join(t[i].thread);
}

int
main(int argc, char **argv)
{
	struct arg_str *to = arg_str1(NULL, "to", "IP:PORT", "daemon");
	struct arg_str *host = arg_str1(NULL, "host", "NAME", "Host field");
	struct arg_str *name = arg_str1(NULL, "name", "NAME", "start of ids");
	struct arg_str *history = arg_str1(NULL, "history", "FILE",
	    "file to append history lines to");
	struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "duration");
	struct arg_int *threads =
	    arg_int1(NULL, "threads", "N", "connections at a time");
	struct arg_int *seed = arg_int1(NULL, "seed", "N", "seed");
	struct arg_lit *mesh =
	    arg_lit0(NULL, "mesh", "send the requests of the users' mesh");
	struct arg_lit *chunked = arg_lit0(NULL, "chunked",
	    "send half of the bodies of the mesh in chunks");
	struct arg_end *end = arg_end(5);
	void *table[] = { to, host, name, history, seconds, threads, seed, mesh,
		chunked, end };
	struct caller c = { 0 };
	struct kq_error e;

	if (arg_parse(argc, argv, table) > 0 ||
	    parse_address(to->sval[0], &c.to) ||
	    threads->ival[0] > THREADS_MAX) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, NULL);
		return EXIT_FAILURE;
	}
	c.address = to->sval[0];
	c.host = host->sval[0];
	c.name = name->sval[0];
	c.mesh = mesh->count;
	c.chunked = chunked->count;
	c.end = io_clock() + seconds->ival[0] * G_USEC_PER_SEC;
	if (history_open(&c.history, history->sval[0], c.name, &e) < 0) {
		fprintf(stderr, "fake-planned: %s\n", e.text);
		return EXIT_FAILURE;
	}
	play(&c, threads->ival[0], (guint32)seed->ival[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return EXIT_SUCCESS;
}
