#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "json.h"
#include "tool.h"

struct collector {
	GMainLoop *loop;
	int remaining; /* spans still to be printed, -1 for no limit */
};

static void
get_text(struct json *j, int node, const char *key, char *out, size_t size)
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
		get_text(j, node, "key", key, sizeof key);
		value = json_get(j, node, "value");
		text[0] = 0;
		if (value != JSON_NONE)
			get_text(j, value, "stringValue", text, sizeof text);
		printf(" %s=%s",
		    strrchr(key, '.') ? strrchr(key, '.') + 1 : key, text);
	}
}

static void
print_span(struct collector *c, struct json *j, int span)
{
	char trace[40], id[20], parent[20], name[32], start[24], end[24];
	int64_t took;

	if (!c->remaining)
		return;
	get_text(j, span, "traceId", trace, sizeof trace);
	get_text(j, span, "spanId", id, sizeof id);
	get_text(j, span, "parentSpanId", parent, sizeof parent);
	get_text(j, span, "name", name, sizeof name);
	get_text(j, span, "startTimeUnixNano", start, sizeof start);
	get_text(j, span, "endTimeUnixNano", end, sizeof end);
	took =
	    g_ascii_strtoll(end, NULL, 10) - g_ascii_strtoll(start, NULL, 10);
	printf("%s %s %-16s %-8s %10.3f ms", trace, id,
	    parent[0] ? parent : "-", name, took / 1e6);
	print_attributes(j, span);
	printf("\n");
	fflush(stdout);
	if (c->remaining > 0 && !--c->remaining)
		g_main_loop_quit(c->loop);
}

/* Descends into the nested lists and prints the spans of the innermost one. */
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
on_spans(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	SoupMessageBody *b = soup_server_message_get_request_body(msg);
	struct collector *c = ctx;
	struct kq_error e = { 0 };
	struct json *j = json_read(b->data ? b->data : "", b->length, &e);

	soup_server_message_set_status(msg, j ? 200 : 400, NULL);
	if (!j) {
		tool_print_error(&e);
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
	    "Receives spans there (see the daemons' setting \"trace\") and "
	    "prints a line\nfor each: trace, span, parent, name, duration, "
	    "attributes. Ends after COUNT spans.\n");
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
	if (argc < 2 || argc > 3 || tool_parse_address(argv[1], &at))
		return usage(stderr, EXIT_USAGE);
	c.remaining = argc == 3 ? (int)g_ascii_strtoll(argv[2], NULL, 10) : -1;
	c.loop = g_main_loop_new(NULL, FALSE);
	s = soup_server_new(NULL, NULL);
	soup_server_add_handler(s, "/v1/traces", on_spans, &c, NULL);
	a = g_inet_socket_address_new_from_string(at.ip, at.port);
	if (!soup_server_listen(s, a, 0, &err)) {
		fprintf(stderr, "kumquatrock: %s: %s\n", argv[1], err->message);
		return EXIT_FAILED;
	}
	g_main_loop_run(c.loop);
	soup_server_disconnect(s);
	g_object_unref(s);
	g_object_unref(a);
	g_main_loop_unref(c.loop);
	return EXIT_DONE;
}
