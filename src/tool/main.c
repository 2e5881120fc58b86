#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tool.h"
#include "version.h"

#define WAIT_DEFAULT_MS 10000

struct command {
	const char *name;
	command_fn *run;
	const char *help;
};

static const struct command commands[] = {
	{ "check", command_check, "check service files and report errors" },
	{ "publish", command_publish, "publish service files" },
	{ "dc", command_dc,
	    "take a data centre out of service or bring it back" },
	{ "status", command_status, "print the state of daemons" },
	{ "targets", command_targets,
	    "list the targets that daemons would pick" },
	{ "members", command_members, "list the members that daemons know" },
	{ "explain", command_explain,
	    "print why targets are picked or not and what limits them" },
	{ "drain", command_drain,
	    "stop new requests to a target and wait for those in flight" },
	{ "undrain", command_undrain, "let a target announce itself again" },
	{ "trace", command_trace, "receive spans and print them" },
	{ "metrics", command_metrics, "print the counters of daemons" },
	{ "settings", command_settings,
	    "print the table of the daemon's settings" },
};

static int
usage(FILE *f, int code)
{
	size_t i;

	fprintf(f,
	    "usage: kumquatrock [OPTION]... COMMAND [ARGUMENT]...\n\n"
	    "  --platform IP:PORT  platform (or KUMQUATROCK_PLATFORM)\n"
	    "  --daemon IP:PORT    operator port of a daemon, may be repeated\n"
	    "                      (or KUMQUATROCK_DAEMON)\n"
	    "  --wait[=MS]         wait until in force everywhere, default "
	    "%d ms\n"
	    "  --json              print JSON\n"
	    "  --version           print version, commit and libraries\n"
	    "  --help              print this text\n\ncommands:\n",
	    WAIT_DEFAULT_MS);
	for (i = 0; i < sizeof commands / sizeof *commands; i++)
		fprintf(f, "  %-10s %s\n", commands[i].name, commands[i].help);
	fprintf(f, "\nexit: 0 done, 1 failed, 2 usage, 3 invalid file, "
		   "5 conflict,\n      6 undecided, 7 not in force in time\n"
		   "See also kumquatrock COMMAND --help for more.\n");
	return code;
}

static int
add_daemon(struct tool *t, const char *text)
{
	if (t->ndaemon == DAEMONS_MAX)
		return -1;
	return tool_parse_address(text, &t->daemon[t->ndaemon])
		   ? -1
		   : (t->ndaemon++, 0);
}

static int
print_bad_address(const char *what)
{
	fprintf(stderr,
	    "kumquatrock: %s: expected IP:PORT, such as 127.0.0.1:8500\n",
	    what);
	return EXIT_USAGE;
}

static int
read_address_option(struct tool *t, const char *option, const char *value)
{
	if (!strcmp(option, "--platform"))
		return tool_parse_address(value, &t->platform);
	return strcmp(option, "--daemon") ? -1 : add_daemon(t, value);
}

/* Reads the options before the command; returns its index or -1. */
static int
read_options(struct tool *t, int argc, char **argv)
{
	int i;

	for (i = 1; i < argc && !strncmp(argv[i], "--", 2); i++) {
		if (!strcmp(argv[i], "--json"))
			t->json = 1;
		else if (!strcmp(argv[i], "--wait"))
			t->wait_ms = WAIT_DEFAULT_MS;
		else if (!strncmp(argv[i], "--wait=", 7))
			t->wait_ms = g_ascii_strtoull(argv[i] + 7, NULL, 10);
		else if (i + 1 < argc &&
			 !read_address_option(t, argv[i], argv[i + 1]))
			i++;
		else
			return -1;
	}
	return i;
}

static int
read_environment(struct tool *t)
{
	const char *p = getenv("KUMQUATROCK_PLATFORM");
	const char *d = getenv("KUMQUATROCK_DAEMON");

	if (p && *p && !t->platform.port && tool_parse_address(p, &t->platform))
		return print_bad_address("KUMQUATROCK_PLATFORM");
	if (d && *d && !t->ndaemon && add_daemon(t, d))
		return print_bad_address("KUMQUATROCK_DAEMON");
	return 0;
}

int
main(int argc, char **argv)
{
	struct tool t = { 0 };
	size_t i;
	int at;

	if (sodium_init() < 0)
		return EXIT_FAILED;
	if (argc > 1 &&
	    (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")))
		return usage(stdout, EXIT_DONE);
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		version_print("kumquatrock");
		return EXIT_DONE;
	}
	at = read_options(&t, argc, argv);
	if (at < 0 || at >= argc)
		return usage(stderr, EXIT_USAGE);
	if (read_environment(&t))
		return EXIT_USAGE;
	for (i = 0; i < sizeof commands / sizeof *commands; i++)
		if (!strcmp(commands[i].name, argv[at]))
			return commands[i].run(&t, argc - at, argv + at);
	fprintf(stderr,
	    "kumquatrock: no command \"%s\"; see: kumquatrock "
	    "--help\n",
	    argv[at]);
	return EXIT_USAGE;
}
