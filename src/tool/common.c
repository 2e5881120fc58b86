#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tool.h"

int
tool_parse_address(const char *text, struct settings_address *a)
{
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (!colon || colon == text || colon - text >= (long)sizeof a->ip)
		return -1;
	port = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || port < 1 || port > 65535)
		return -1;
	memcpy(a->ip, text, colon - text);
	a->ip[colon - text] = 0;
	a->port = port;
	return g_hostname_is_ip_address(a->ip) ? 0 : -1;
}

void
tool_print_error(const struct kq_error *e)
{
	fprintf(stderr, "kumquatrock: %s\n", e->text);
}

int
tool_error_no_daemon(void)
{
	fprintf(stderr, "kumquatrock: name a daemon's operator port with "
			"--daemon IP:PORT or KUMQUATROCK_DAEMON\n");
	return EXIT_USAGE;
}

int
tool_error_no_platform(void)
{
	fprintf(stderr,
	    "kumquatrock: name the platform with --platform IP:PORT or "
	    "KUMQUATROCK_PLATFORM\n");
	return EXIT_USAGE;
}

void
sync_request_done(void *ctx, struct platform_result *r)
{
	struct sync_request *a = ctx;

	a->result = *r;
	r->batch = NULL;
	r->value = NULL;
	g_main_loop_quit(a->loop);
}
