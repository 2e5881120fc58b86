#include <stdio.h>
#include <string.h>

#include "json.h"
#include "tool.h"

/* Runs the command on one daemon; 0 or -1 with the error. */
typedef int
daemon_fn(const struct settings_address *, const char *path, struct kq_error *);

static int
for_each_daemon(struct tool *t, int argc, char **argv, daemon_fn *fn,
    const char *path, const char *usage)
{
	struct kq_error e;
	int i, bad = 0;

	if (argc > 1) {
		int help = !strcmp(argv[1], "--help") || !strcmp(argv[1], "-h");

		fputs(usage, help ? stdout : stderr);
		return help ? EXIT_DONE : EXIT_USAGE;
	}
	if (!t->ndaemon)
		return tool_error_no_daemon();
	for (i = 0; i < t->ndaemon; i++) {
		if (!fn(&t->daemon[i], path, &e))
			continue;
		tool_print_error(&e);
		bad = 1;
	}
	return bad ? EXIT_FAILED : EXIT_DONE;
}

static int
print_text(const struct settings_address *a, const char *path,
    struct kq_error *e)
{
	char *text = tool_get(a, path, e);

	if (!text)
		return -1;
	fputs(text, stdout);
	g_free(text);
	return 0;
}

static int
show(struct tool *t, int argc, char **argv, const char *path, const char *usage)
{
	return for_each_daemon(t, argc, argv, print_text, path, usage);
}

static int
post_empty(const struct settings_address *a, const char *path,
    struct kq_error *e)
{
	return tool_post(a, path, "{}", e);
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
	    "Lists the members that the named daemons know, as JSON.\n");
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
	    "Prints why each target is or is not picked by the daemons, and "
	    "what determines\nthe limit of their own targets, as JSON.\n");
}

int
command_drain(struct tool *t, int argc, char **argv)
{
	return for_each_daemon(t, argc, argv, post_empty, "/v1/drain",
	    "usage: kumquatrock drain\n"
	    "Stops new requests to the targets of the named daemons; returns "
	    "when no request\nis in flight there.\n");
}

int
command_undrain(struct tool *t, int argc, char **argv)
{
	return for_each_daemon(t, argc, argv, post_empty, "/v1/undrain",
	    "usage: kumquatrock undrain\n"
	    "Ends a drain: the targets get requests again once they announce "
	    "themselves.\n");
}

static int
print_status(const struct settings_address *a, const char *path,
    struct kq_error *e)
{
	static const char *const keys[] = { "name", "datacentre", "service",
		"incarnation", "complete", "rules", "members", "platform",
		"watching", "registered", "leaving", "may_act", "rollouts" };
	char *text = tool_get(a, path, e);
	struct json *j;
	GString *out;
	size_t i;
	int node;

	if (!text)
		return -1;
	j = json_read(text, strlen(text), e);
	g_free(text);
	if (!j)
		return -1;
	out = g_string_new(NULL);
	for (i = 0; i < sizeof keys / sizeof *keys; i++) {
		node = json_get(j, json_root(j), keys[i]);
		if (node == JSON_NONE)
			continue;
		g_string_append_printf(out, "%s=", keys[i]);
		json_append_node(out, j, node);
		g_string_append_c(out, ' ');
	}
	printf("%s\n", out->str);
	g_string_free(out, TRUE);
	json_free(j);
	return 0;
}

int
command_status(struct tool *t, int argc, char **argv)
{
	return for_each_daemon(t, argc, argv,
	    t->json ? print_text : print_status, "/v1/status",
	    "usage: kumquatrock status\n"
	    "Prints the identity, configuration version, membership and state "
	    "of each\nnamed daemon.\n");
}

int
command_settings(struct tool *t, int argc, char **argv)
{
	GString *text = g_string_new(NULL);

	settings_print_table(text);
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
	return EXIT_DONE;
}
