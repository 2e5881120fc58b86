#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "json.h"
#include "tool.h"

struct collector {
	GMainLoop *loop;
	int left; /* spans still to be printed, -1 without end */
};

static void
text_of(struct json *j, int node, const char *key, char *out, size_t size)
{
	out[0] = 0;
	json_get_string(j, node, key, out, size, NULL);
}

static void
print_attributes(struct json *j, int span)
{
	int list = json_get(j, span, "attributes"), i, node, value;
	char key[64], text[128];

	if (list == JSON_NONE)
		return;
	for (i = 0; i < json_count(j, list); i++) {
		node = json_item(j, list, i);
		text_of(j, node, "key", key, sizeof key);
		value = json_get(j, node, "value");
		text[0] = 0;
		if (value != JSON_NONE)
			text_of(j, value, "stringValue", text, sizeof text);
		printf(" %s=%s",
		    strrchr(key, '.') ? strrchr(key, '.') + 1 : key, text);
	}
}

static void
print_span(struct collector *c, struct json *j, int span)
{
	char trace[40], id[20], parent[20], name[32], start[24], end[24];
	int64_t took;

	if (!c->left)
		return;
	text_of(j, span, "traceId", trace, sizeof trace);
	text_of(j, span, "spanId", id, sizeof id);
	text_of(j, span, "parentSpanId", parent, sizeof parent);
	text_of(j, span, "name", name, sizeof name);
	text_of(j, span, "startTimeUnixNano", start, sizeof start);
	text_of(j, span, "endTimeUnixNano", end, sizeof end);
	took =
	    g_ascii_strtoll(end, NULL, 10) - g_ascii_strtoll(start, NULL, 10);
	printf("%s %s %-16s %-8s %10.3f ms", trace, id,
	    parent[0] ? parent : "-", name, took / 1e6);
	print_attributes(j, span);
	printf("\n");
	fflush(stdout);
	if (c->left > 0 && !--c->left)
		g_main_loop_quit(c->loop);
}

/* Walks down one list after the other. */
static void
print_spans(struct collector *c, struct json *j, int node, int depth)
{
	static const char *const lists[] = { "resourceSpans", "scopeSpans",
		"spans" };
	int list = json_get(j, node, lists[depth]), i;

	if (list == JSON_NONE)
		return;
	for (i = 0; i < json_count(j, list); i++) {
		if (depth == 2)
			print_span(c, j, json_item(j, list, i));
		else
			print_spans(c, j, json_item(j, list, i), depth + 1);
	}
}

static void
received(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	SoupMessageBody *b = soup_server_message_get_request_body(msg);
	struct collector *c = ctx;
	struct kq_error e = { 0 };
	struct json *j = json_read(b->data ? b->data : "", b->length, &e);

	soup_server_message_set_status(msg, j ? 200 : 400, NULL);
	if (!j) {
		tool_error(&e);
		return;
	}
	if (json_type(j, json_root(j)) == JSON_OBJECT)
		print_spans(c, j, json_root(j), 0);
	json_free(j);
}

static int
usage(FILE *f, int code)
{
	fprintf(f,
	    "usage: kumquatrock trace IP:PORT [COUNT]\n"
	    "Receives spans there (set trace of the daemons to it) and prints a "
	    "line for\neach: trace, span, parent, name, time taken, attributes. "
	    "Ends after COUNT spans.\n");
	return code;
}

int
command_trace(struct tool *t, int argc, char **argv)
{
	struct settings_address at = { 0 };
	struct collector c = { 0 };
	GError *err = NULL;
	GSocketAddress *a;
	SoupServer *s;

	if (argc > 1 && !strcmp(argv[1], "--help"))
		return usage(stdout, EXIT_DONE);
	if (argc < 2 || argc > 3 || tool_address(argv[1], &at))
		return usage(stderr, EXIT_USAGE);
	c.left = argc == 3 ? (int)g_ascii_strtoll(argv[2], NULL, 10) : -1;
	c.loop = g_main_loop_new(NULL, FALSE);
	s = soup_server_new(NULL, NULL);
	soup_server_add_handler(s, "/v1/traces", received, &c, NULL);
	a = g_inet_socket_address_new_from_string(at.ip, at.port);
	if (!soup_server_listen(s, a, 0, &err)) {
		fprintf(stderr, "kumquatrock: %s: %s\n", argv[1], err->message);
		return EXIT_FAULT;
	}
	g_main_loop_run(c.loop);
	soup_server_disconnect(s);
	g_object_unref(s);
	g_object_unref(a);
	g_main_loop_unref(c.loop);
	return EXIT_DONE;
}
