#include "check.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GRACE_MS_DEFAULT 4000
#define FILES_MAX 256
#define PAIRS_MAX 64
#define REPORTS_DEFAULT 3

struct arguments {
	struct arg_str *measure, *cold, *direct;
	struct arg_int *grace, *timeout, *reports_max;
	struct arg_lit *planned;
	struct arg_file *file;
	struct arg_end *end;
};

static void
arguments_init(struct arguments *a)
{
	a->measure = arg_strn(NULL, "measure", "SERVICE=N", 0, PAIRS_MAX,
	    "most measuring requests a second to a target");
	a->cold = arg_strn(NULL, "cold", "SERVICE=N", 0, PAIRS_MAX,
	    "most requests in flight on a cold target");
	a->grace = arg_int0(NULL, "grace-ms", "N",
	    "time until a change must be in effect (4000)");
	a->timeout = arg_int0(NULL, "timeout-ms", "N", "timeout of the calls");
	a->planned = arg_lit0(NULL, "planned",
	    "no daemon or target was cut off or killed");
	a->direct = arg_str0(NULL, "straight", "WHO",
	    "load tool that called a target directly");
	a->reports_max = arg_int0(NULL, "windows", "N",
	    "breaches printed for each property (3)");
	a->file = arg_filen(NULL, NULL, "FILE", 1, FILES_MAX, "history files");
	a->end = arg_end(8);
}

static GHashTable *
parse_pairs(const struct arg_str *a)
{
	GHashTable *t =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	const char *eq;
	double *v;
	int i;

	for (i = 0; i < a->count; i++) {
		eq = strchr(a->sval[i], '=');
		if (!eq)
			continue;
		v = g_new(double, 1);
		*v = g_ascii_strtod(eq + 1, NULL);
		g_hash_table_insert(t,
		    g_strndup(a->sval[i], (gsize)(eq - a->sval[i])), v);
	}
	return t;
}

static void
options_read(struct options *o, const struct arguments *a)
{
	o->budget = parse_pairs(a->measure);
	o->cold_limit = parse_pairs(a->cold);
	o->grace = INT64_C(1000) *
		   (a->grace->count ? a->grace->ival[0] : GRACE_MS_DEFAULT);
	o->timeout =
	    a->timeout->count ? INT64_C(1000) * a->timeout->ival[0] : 0;
	o->planned = a->planned->count;
	o->direct = a->direct->count ? a->direct->sval[0] : "";
	o->reports_max =
	    a->reports_max->count ? a->reports_max->ival[0] : REPORTS_DEFAULT;
}

static int
print_table(const struct check *c)
{
	int r, failed = 0;

	printf("%-36s %8s %8s\n", "property", "checked", "breaches");
	for (r = 0; r < RULES; r++) {
		printf("%-36s %8u %8u\n", rule_name((enum rule)r),
		    c->checked[r], c->breaches[r]);
		failed |= c->breaches[r] > 0;
	}
	return failed;
}

static int
check_files(const struct options *o, const struct arg_file *files)
{
	struct check c = { o, g_ptr_array_new(), { 0 }, { 0 } };
	struct kq_error err = { 0 };
	int i, failed;

	for (i = 0; i < files->count; i++)
		if (event_read_file(c.events, files->filename[i], &err)) {
			fprintf(stderr, "history-check: %s\n", err.text);
			return 2;
		}
	event_sort(c.events);
	rule_measure(&c);
	rule_cold(&c);
	rule_drained(&c);
	rule_keys(&c);
	rule_calls(&c);
	rule_config(&c);
	failed = print_table(&c);
	if (!c.events->len || !print_figures(&c)) {
		printf("no call came to an answer\n");
		failed = 1;
	}
	if (!failed)
		printf("what must always hold held\n");
	g_ptr_array_foreach(c.events, (GFunc)(void *)event_free, NULL);
	g_ptr_array_free(c.events, TRUE);
	return failed;
}

int
main(int argc, char **argv)
{
	struct arguments a;
	struct options o;
	int code;

	arguments_init(&a);
	if (arg_parse(argc, argv, (void **)&a)) {
		arg_print_errors(stderr, a.end, "history-check");
		fprintf(stderr, "usage: history-check");
		arg_print_syntax(stderr, (void **)&a, "\n");
		return 2;
	}
	options_read(&o, &a);
	code = check_files(&o, a.file);
	g_hash_table_destroy(o.budget);
	g_hash_table_destroy(o.cold_limit);
	arg_freetable((void **)&a, sizeof a / sizeof(void *));
	return code;
}
