#include <stdio.h>
#include <string.h>

#include "json.h"
#include "tool.h"

static int
show(struct tool *t, int argc, char **argv, const char *path, const char *usage)
{
	struct kq_error e;
	char *text;
	int i, bad = 0;

	if (argc > 1) {
		int help = !strcmp(argv[1], "--help") || !strcmp(argv[1], "-h");

		fputs(usage, help ? stdout : stderr);
		return help ? EXIT_DONE : EXIT_USAGE;
	}
	if (!t->ndaemon)
		return tool_no_daemon();
	for (i = 0; i < t->ndaemon; i++) {
		text = tool_get(&t->daemon[i], path, &e);
		if (!text) {
			tool_error(&e);
			bad = 1;
			continue;
		}
		fputs(text, stdout);
		g_free(text);
	}
	return bad ? EXIT_FAULT : EXIT_DONE;
}

int
command_targets(struct tool *t, int argc, char **argv)
{
	return show(t, argc, argv, "/v1/targets",
	    "usage: kumquatrock targets\n"
	    "Lists the targets that the daemons would pick, as JSON.\n");
}

int
command_members(struct tool *t, int argc, char **argv)
{
	return show(t, argc, argv, "/v1/members",
	    "usage: kumquatrock members\n"
	    "Lists the daemons that the named ones know, as JSON.\n");
}

int
command_metrics(struct tool *t, int argc, char **argv)
{
	return show(t, argc, argv, "/metrics",
	    "usage: kumquatrock metrics\n"
	    "Prints the counters of the daemons.\n");
}

int
command_explain(struct tool *t, int argc, char **argv)
{
	return show(t, argc, argv, "/v1/explain",
	    "usage: kumquatrock explain\n"
	    "Says why each target is or is not picked by the daemons, and what "
	    "holds the\nlimit of their own targets, as JSON.\n");
}

static int
order(struct tool *t, int argc, char **argv, const char *path,
    const char *usage)
{
	struct kq_error e;
	int i, bad = 0;

	if (argc > 1) {
		int help = !strcmp(argv[1], "--help") || !strcmp(argv[1], "-h");

		fputs(usage, help ? stdout : stderr);
		return help ? EXIT_DONE : EXIT_USAGE;
	}
	if (!t->ndaemon)
		return tool_no_daemon();
	for (i = 0; i < t->ndaemon; i++) {
		if (!tool_post(&t->daemon[i], path, "{}", &e))
			continue;
		tool_error(&e);
		bad = 1;
	}
	return bad ? EXIT_FAULT : EXIT_DONE;
}

int
command_drain(struct tool *t, int argc, char **argv)
{
	return order(t, argc, argv, "/v1/drain",
	    "usage: kumquatrock drain\n"
	    "The targets of the named daemons get no new work; returns when "
	    "nothing is in flight.\n");
}

int
command_undrain(struct tool *t, int argc, char **argv)
{
	return order(t, argc, argv, "/v1/undrain",
	    "usage: kumquatrock undrain\n"
	    "Ends a drain: the targets come back when they announce "
	    "themselves.\n");
}

static void
print_status(const char *text)
{
	static const char *const keys[] = { "name", "datacentre", "service",
		"incarnation", "complete", "rules", "members", "platform",
		"watching", "registered", "leaving", "may_act" };
	struct json *j = json_read(text, strlen(text), NULL);
	GString *out = g_string_new(NULL);
	size_t i;
	int node;

	if (!j)
		return;
	for (i = 0; i < sizeof keys / sizeof *keys; i++) {
		node = json_get(j, json_root(j), keys[i]);
		if (node == JSON_NONE)
			continue;
		g_string_append_printf(out, "%s=", keys[i]);
		json_append(out, j, node);
		g_string_append_c(out, ' ');
	}
	printf("%s\n", out->str);
	g_string_free(out, TRUE);
	json_free(j);
}

int
command_status(struct tool *t, int argc, char **argv)
{
	struct kq_error e;
	char *text;
	int i, bad = 0;

	if (t->json || argc > 1 || !t->ndaemon)
		return show(t, argc, argv, "/v1/status",
		    "usage: kumquatrock status\n"
		    "Says what each named daemon is, holds in force and "
		    "knows.\n");
	for (i = 0; i < t->ndaemon; i++) {
		text = tool_get(&t->daemon[i], "/v1/status", &e);
		if (!text) {
			tool_error(&e);
			bad = 1;
			continue;
		}
		print_status(text);
		g_free(text);
	}
	return bad ? EXIT_FAULT : EXIT_DONE;
}

int
command_settings(struct tool *t, int argc, char **argv)
{
	GString *text = g_string_new(NULL);

	settings_document(text);
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
	return EXIT_DONE;
}
