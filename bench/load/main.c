#include "load.h"

#include <stdio.h>
#include <stdlib.h>

static int
start(struct load *l, struct kq_error *e)
{
	struct http_limits limits = HTTP_LIMITS_DEFAULT;
	char who[HISTORY_WHO_MAX];
	int i;

	g_snprintf(who, sizeof who, "load%u", l->opt.seed);
	if (history_open(&l->history, l->opt.history, who, e) < 0)
		return -1;
	l->rand = g_rand_new_with_seed(l->opt.seed);
	l->main = g_main_loop_new(NULL, FALSE);
	l->loop = io_loop_new(NULL);
	g_queue_init(&l->waiting);
	for (i = 0; i < l->opt.nto; i++)
		l->pool[i] = http_pool_new(l->loop, l->opt.to_ip[i],
		    l->opt.to_port[i], l->opt.connections, 0, &limits);
	arrive_start(l);
	return 0;
}

int
main(int argc, char **argv)
{
	static struct load l;
	struct kq_error e;

	if (options_parse(&l.opt, argc, argv) < 0)
		return EXIT_FAILURE;
	if (start(&l, &e) < 0) {
		fprintf(stderr, "bench-load: %s\n", e.text);
		return EXIT_FAILURE;
	}
	g_main_loop_run(l.main);
	report_print(&l);
	return l.outcomes[OUTCOME_BAD] ? EXIT_FAILURE : EXIT_SUCCESS;
}
