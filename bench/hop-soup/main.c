#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * A forwarding proxy from SoupServer to SoupSession, the baseline for hop-http:
 * it forwards whole bodies, runs in one thread and filters the same fields.
 */

#define POOL_MAX 1024

struct hop {
	SoupSession *session;
	const char *ip;
	int port;
};

struct transfer {
	SoupServerMessage *request;
	SoupMessage *call;
};

static gboolean
is_forwarded(const char *name)
{
	static const char *const hop_by_hop[] = { "Connection",
		"Content-Length", "Expect", "Keep-Alive", "Proxy-Connection",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (!g_ascii_strcasecmp(name, hop_by_hop[i]))
			return FALSE;
	return TRUE;
}

static void
copy_field(const char *name, const char *value, gpointer to)
{
	if (is_forwarded(name))
		soup_message_headers_append(to, name, value);
}

static void
on_answer(GObject *session, GAsyncResult *result, gpointer ctx)
{
	struct transfer *t = ctx;
	SoupServerMessage *m = t->request;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(session),
	    result, NULL);

	if (body) {
		soup_server_message_set_status(m,
		    soup_message_get_status(t->call), NULL);
		soup_message_headers_foreach(soup_message_get_response_headers(
						 t->call),
		    copy_field, soup_server_message_get_response_headers(m));
		soup_message_body_append_bytes(
		    soup_server_message_get_response_body(m), body);
		g_bytes_unref(body);
	} else {
		soup_server_message_set_status(m, SOUP_STATUS_BAD_GATEWAY,
		    NULL);
	}
	soup_server_message_unpause(m);
	g_object_unref(m);
	g_object_unref(t->call);
	g_free(t);
}

static void
on_request(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *query, gpointer ctx)
{
	struct hop *hop = ctx;
	struct transfer *t = g_new0(struct transfer, 1);
	SoupMessageBody *body = soup_server_message_get_request_body(m);
	char *uri = g_strdup_printf("http://%s:%d%s", hop->ip, hop->port, path);

	(void)server;
	(void)query;
	t->request = g_object_ref(m);
	t->call = soup_message_new(soup_server_message_get_method(m), uri);
	g_free(uri);
	/* Lets non-idempotent methods reuse connections, too. */
	soup_message_add_flags(t->call, SOUP_MESSAGE_IDEMPOTENT);
	soup_message_headers_foreach(soup_server_message_get_request_headers(m),
	    copy_field, soup_message_get_request_headers(t->call));
	if (body->length > 0) {
		GBytes *bytes = soup_message_body_flatten(body);

		soup_message_set_request_body_from_bytes(t->call, NULL, bytes);
		g_bytes_unref(bytes);
	}
	soup_server_message_pause(m);
	soup_session_send_and_read_async(hop->session, t->call,
	    G_PRIORITY_DEFAULT, NULL, on_answer, t);
}

int
main(int argc, char **argv)
{
	GMainLoop *main_loop = g_main_loop_new(NULL, FALSE);
	SoupServer *server = soup_server_new(NULL, NULL);
	GInetAddress *ip;
	GSocketAddress *address;
	GError *err = NULL;
	struct hop hop;

	if (argc != 5) {
		fprintf(stderr, "usage: %s IP PORT TARGET-IP TARGET-PORT\n",
		    argv[0]);
		return EXIT_FAILURE;
	}
	hop.ip = argv[3];
	hop.port = (int)strtol(argv[4], NULL, 10);
	hop.session = soup_session_new_with_options("max-conns", POOL_MAX,
	    "max-conns-per-host", POOL_MAX, "timeout", 60, NULL);
	soup_server_add_handler(server, NULL, on_request, &hop, NULL);
	ip = g_inet_address_new_from_string(argv[1]);
	address = g_inet_socket_address_new(ip,
	    (guint16)(int)strtol(argv[2], NULL, 10));
	if (!soup_server_listen(server, address, 0, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return EXIT_FAILURE;
	}
	g_main_loop_run(main_loop);
	return EXIT_SUCCESS;
}
