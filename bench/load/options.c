#include "load.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
parse_mix(struct mix_entry *m, const char *text)
{
	char **p = g_strsplit(text, ":", 4);
	int ok = g_strv_length(p) == 4;

	if (ok) {
		m->method = g_strdup(p[0]);
		m->path = g_strdup(p[1]);
		m->weight = g_ascii_strtod(p[2], NULL);
		m->once = strcmp(p[3], "once") == 0;
		ok = m->once || strcmp(p[3], "repeat") == 0;
	}
	g_strfreev(p);
	return ok && m->weight > 0 ? 0 : -1;
}

static int
parse_to(struct options *o, const char *text)
{
	const char *colon = strrchr(text, ':');

	if (!colon)
		return -1;
	o->to_ip[o->nto] = g_strndup(text, (gsize)(colon - text));
	o->to_port[o->nto] = (int)strtol(colon + 1, NULL, 10);
	return o->to_port[o->nto++] > 0 ? 0 : -1;
}

static int
parse_lists(struct options *o, const struct arg_str *to,
    const struct arg_str *mix)
{
	int i;

	for (i = 0; i < to->count; i++) {
		if (parse_to(o, to->sval[i]) == 0)
			continue;
		fprintf(stderr, "--to %s: not IP:PORT\n", to->sval[i]);
		return -1;
	}
	for (i = 0; i < mix->count; i++) {
		if (parse_mix(&o->mix[o->nmix++], mix->sval[i]) == 0)
			continue;
		fprintf(stderr,
		    "--call %s: not METHOD:PATH:WEIGHT:once|repeat\n",
		    mix->sval[i]);
		return -1;
	}
	return 0;
}

static int
int_or_default(const struct arg_int *a, int fallback)
{
	return a->count ? a->ival[0] : fallback;
}

int
options_parse(struct options *o, int argc, char **argv)
{
	struct arg_str *to =
	    arg_strn(NULL, "to", "IP:PORT", 1, DAEMONS_MAX, "daemon or target");
	struct arg_str *mix =
	    arg_strn(NULL, "call", "METHOD:PATH:WEIGHT:once|repeat", 1, MIX_MAX,
		"kind of call and its weight in the mix");
	struct arg_str *service =
	    arg_str1(NULL, "service", "NAME", "service to call");
	struct arg_dbl *rate = arg_dbl1(NULL, "rate", "N", "calls a second");
	struct arg_dbl *seconds = arg_dbl1(NULL, "seconds", "N", "duration");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "default 1");
	struct arg_int *timeout = arg_int0(NULL, "timeout-ms", "N",
	    "timeout of a call, default 1000");
	struct arg_int *bytes =
	    arg_int0(NULL, "body-bytes", "N", "request body, default 64");
	struct arg_int *conns = arg_int0(NULL, "connections", "N",
	    "maximum to one address, default 256");
	struct arg_lit *fixed =
	    arg_lit0(NULL, "fixed", "constant gaps between calls");
	struct arg_lit *straight =
	    arg_lit0(NULL, "straight", "the addresses are targets");
	struct arg_lit *repeat_unknown = arg_lit0(NULL, "repeat-unknown",
	    "repeat once calls of unknown outcome at another daemon");
	struct arg_lit *figures =
	    arg_lit0(NULL, "figures", "print name, value, unit");
	struct arg_str *file =
	    arg_str0(NULL, "history", "FILE", "append history lines");
	struct arg_str *dialect = arg_str0(NULL, "dialect", "NAME",
	    "names of the header fields, default own");
	struct arg_end *end = arg_end(5);
	void *table[] = { to, mix, service, rate, seconds, seed, timeout, bytes,
		conns, fixed, straight, repeat_unknown, figures, file, dialect,
		end };

	int r = -1;

	memset(o, 0, sizeof *o);
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, NULL);
	} else {
		o->service = g_strdup(service->sval[0]);
		o->rate = rate->dval[0];
		o->seconds = seconds->dval[0];
		o->seed = (guint32)int_or_default(seed, 1);
		o->timeout_ms = int_or_default(timeout, 1000);
		o->body_bytes = int_or_default(bytes, 64);
		o->connections = int_or_default(conns, 256);
		o->fixed = fixed->count;
		o->straight = straight->count;
		o->repeat_unknown = repeat_unknown->count;
		o->figures = figures->count;
		o->history = file->count ? g_strdup(file->sval[0]) : NULL;
		o->dialect =
		    dialect_find(dialect->count ? dialect->sval[0] : "own");
		if (!o->dialect)
			fprintf(stderr, "--dialect: unknown\n");
		else
			r = parse_lists(o, to, mix);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return r;
}
