#include <argtable2.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "objects.h"
#include "tool.h"

static void
print_file_error(const char *path, const struct kq_error *e)
{
	if (e->line)
		fprintf(stderr, "%s:%d:%d: %s\n", path, e->line, e->column,
		    e->text);
	else
		fprintf(stderr, "%s: %s\n", path, e->text);
}

static int
read_file(const char *path, struct service *s)
{
	struct kq_error e = { 0 };
	GError *err = NULL;
	char *text;
	gsize n;
	int r;

	if (!g_file_get_contents(path, &text, &n, &err)) {
		fprintf(stderr, "%s: %s\n", path, err->message);
		g_error_free(err);
		return -1;
	}
	r = service_read(s, text, n, &e);
	g_free(text);
	if (r)
		print_file_error(path, &e);
	return r;
}

static int
check_files(const struct tool *t, const struct arg_file *file)
{
	struct service s;
	int i, bad = 0;

	for (i = 0; i < file->count; i++) {
		if (read_file(file->filename[i], &s)) {
			bad = 1;
			continue;
		}
		if (!t->json)
			printf("%s: service %s, %d rules, valid\n",
			    file->filename[i], s.name, s.nrule);
	}
	return bad ? EXIT_BAD_FILE : EXIT_DONE;
}

int
command_check(struct tool *t, int argc, char **argv)
{
	struct arg_file *file =
	    arg_filen(NULL, NULL, "FILE", 1, 64, "service files");
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, help, end };
	int code, errors = arg_parse(argc, argv, table);

	if (help->count || errors) {
		fprintf(help->count ? stdout : stderr,
		    "usage: kumquatrock check FILE...\n"
		    "Checks service files and reports errors with their line "
		    "and column.\nexit: 0 valid, 2 usage, 3 invalid file\n");
		code = help->count ? EXIT_DONE : EXIT_USAGE;
	} else {
		code = check_files(t, file);
	}
	arg_freetable(table, sizeof table / sizeof *table);
	return code;
}

static void
random_id(char *id, size_t size)
{
	unsigned char b[8];

	randombytes_buf(b, sizeof b);
	sodium_bin2hex(id, size, b, sizeof b);
}

static int
publish_file(struct tool *t, const char *path, const char *id, uint64_t expect)
{
	struct publication p = { 0 };
	struct service s;
	GString *value, *retry_command;
	int r;

	if (read_file(path, &s))
		return EXIT_BAD_FILE;
	p.is_retry = id != NULL;
	if (id)
		g_strlcpy(p.id, id, sizeof p.id);
	else
		random_id(p.id, sizeof p.id);
	value = g_string_new(NULL);
	service_write(value, &s);
	publication_add(value, p.id);
	p.kind = CONFIG_SERVICE;
	p.name = s.name;
	p.value = value->str;
	p.expect = expect;
	tool_publish(t, &p);
	retry_command = g_string_new(NULL);
	g_string_printf(retry_command, "publish %s", path);
	r = tool_publish_report(t, &p, retry_command->str);
	g_string_free(retry_command, TRUE);
	g_string_free(value, TRUE);
	return r;
}

static int
publish_files(struct tool *t, const struct arg_file *file,
    const struct arg_str *id, const struct arg_str *expect)
{
	uint64_t version = PUBLISH_ANY;
	int i, r, worst = EXIT_DONE;

	if (!t->platform.port)
		return tool_error_no_platform();
	if (expect->count)
		version = g_ascii_strtoull(expect->sval[0], NULL, 10);
	for (i = 0; i < file->count; i++) {
		r = publish_file(t, file->filename[i],
		    id->count ? id->sval[0] : NULL, version);
		worst = MAX(worst, r);
	}
	return worst;
}

int
command_publish(struct tool *t, int argc, char **argv)
{
	struct arg_file *file =
	    arg_filen(NULL, NULL, "FILE", 1, 64, "service files");
	struct arg_str *id = arg_str0(NULL, "publication", "ID",
	    "resolve or repeat an earlier publication");
	struct arg_str *expect = arg_str0(NULL, "expect", "VERSION",
	    "publish only if the object is at this version, 0 if absent");
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, id, expect, help, end };
	int code, errors = arg_parse(argc, argv, table);

	if (help->count || errors) {
		fprintf(help->count ? stdout : stderr,
		    "usage: kumquatrock publish [--publication ID] "
		    "[--expect VERSION] FILE...\n"
		    "Checks service files and publishes them.\n"
		    "exit: 0 accepted, 1 refused, 2 usage, 3 a file is invalid, "
		    "5 conflict,\n      6 undecided, 7 accepted but not in "
		    "force everywhere within --wait\n");
		code = help->count ? EXIT_DONE : EXIT_USAGE;
	} else {
		code = publish_files(t, file, id, expect);
	}
	arg_freetable(table, sizeof table / sizeof *table);
	return code;
}

/* Arguments of the command dc. */
struct dc_args {
	struct datacentre dc;
	const char *direction; /* "in" or "out" */
	const char *publication; /* NULL for a new one */
	uint64_t expect;
};

static int
publish_dc(struct tool *t, struct dc_args *o)
{
	struct publication p = { 0 };
	GString *value;
	char retry_command[128];
	int r;

	if (!t->platform.port)
		return tool_error_no_platform();
	p.is_retry = o->publication != NULL;
	if (o->publication)
		g_strlcpy(p.id, o->publication, sizeof p.id);
	else
		random_id(p.id, sizeof p.id);
	value = g_string_new(NULL);
	datacentre_write(value, &o->dc);
	publication_add(value, p.id);
	if (datacentre_read(&o->dc, value->str, value->len, &p.error)) {
		tool_print_error(&p.error);
		g_string_free(value, TRUE);
		return EXIT_USAGE;
	}
	p.kind = CONFIG_DATACENTRE;
	p.name = o->dc.name;
	p.value = value->str;
	p.expect = o->expect;
	tool_publish(t, &p);
	g_snprintf(retry_command, sizeof retry_command, "dc %s %s",
	    o->direction, o->dc.name);
	r = tool_publish_report(t, &p, retry_command);
	g_string_free(value, TRUE);
	return r;
}

int
command_dc(struct tool *t, int argc, char **argv)
{
	struct arg_str *what = arg_str1(NULL, NULL, "in|out",
	    "bring it back or take it out of service");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "data centre");
	struct arg_str *region = arg_str0(NULL, "region", "NAME", "its region");
	struct arg_int *ramp = arg_int0(NULL, "ramp-ms", "N",
	    "time from its return to its full share of calls");
	struct arg_str *id = arg_str0(NULL, "publication", "ID",
	    "resolve or repeat an earlier publication");
	struct arg_str *expect = arg_str0(NULL, "expect", "VERSION",
	    "only if the object is at this version, 0 if absent");
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_end *end = arg_end(8);
	void *table[] = { what, name, region, ramp, id, expect, help, end };
	int code, errors = arg_parse(argc, argv, table);
	struct dc_args o = { 0 };

	if (help->count || errors ||
	    (strcmp(what->sval[0], "in") && strcmp(what->sval[0], "out"))) {
		fprintf(help->count ? stdout : stderr,
		    "usage: kumquatrock dc in|out NAME [--region NAME] "
		    "[--ramp-ms N] [--publication ID] [--expect VERSION]\n"
		    "Takes a data centre out, or brings it back gradually.\n"
		    "exit: as in publish\n");
		code = help->count ? EXIT_DONE : EXIT_USAGE;
	} else {
		o.direction = what->sval[0];
		o.expect = expect->count
			       ? g_ascii_strtoull(expect->sval[0], NULL, 10)
			       : PUBLISH_ANY;
		o.publication = id->count ? id->sval[0] : NULL;
		g_strlcpy(o.dc.name, name->sval[0], sizeof o.dc.name);
		g_strlcpy(o.dc.region,
		    region->count ? region->sval[0] : "default",
		    sizeof o.dc.region);
		o.dc.state =
		    strcmp(o.direction, "in") ? DATACENTRE_OUT : DATACENTRE_IN;
		o.dc.ramp_ms = ramp->count ? ramp->ival[0] : DATACENTRE_RAMP_MS;
		code = publish_dc(t, &o);
	}
	arg_freetable(table, sizeof table / sizeof *table);
	return code;
}
