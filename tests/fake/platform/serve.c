#include "platform.h"

#include <stdlib.h>
#include <string.h>

#include "io.h"
#include <yajl/yajl_tree.h>

#define OBJECTS "/v1/objects"
#define LOGGED_VALUE_MAX 256 /* bytes of a value in the history */
#define ETAG_MAX 24 /* bytes with the final NUL */
#define STATUS_TOO_MANY_REQUESTS 429

void
serve_json(SoupServerMessage *msg, int status, char *text)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, "application/json",
	    SOUP_MEMORY_TAKE, text, strlen(text));
}

void
serve_abort(SoupServerMessage *msg)
{
	GSocket *s = soup_server_message_get_socket(msg);

	soup_server_message_set_status(msg, SOUP_STATUS_SERVICE_UNAVAILABLE,
	    NULL);
	if (s)
		g_socket_shutdown(s, TRUE, TRUE, NULL);
}

static void
set_etag(SoupServerMessage *msg, uint64_t version)
{
	char b[ETAG_MAX];

	g_snprintf(b, sizeof b, "\"%" G_GUINT64_FORMAT "\"", version);
	soup_message_headers_replace(soup_server_message_get_response_headers(
					 msg),
	    "ETag", b);
}

static void
read_object(struct platform *p, SoupServerMessage *msg, const char *key)
{
	const struct event *o = store_get(&p->store, key);

	if (!o) {
		soup_server_message_set_status(msg, SOUP_STATUS_NOT_FOUND,
		    NULL);
		return;
	}
	set_etag(msg, o->version);
	serve_json(msg, SOUP_STATUS_OK, g_strdup(o->value));
}

/* Checks If-Match or If-None-Match of a write. Returns 200 if the write may be
 * done, otherwise the status to answer with. */
static int
check_condition(SoupServerMessage *msg, const struct event *o, int removal)
{
	SoupMessageHeaders *h = soup_server_message_get_request_headers(msg);
	const char *match = soup_message_headers_get_one(h, "If-Match");
	const char *none = soup_message_headers_get_one(h, "If-None-Match");

	if (removal && !o)
		return SOUP_STATUS_NOT_FOUND;
	if (none && !removal && strcmp(none, "*") == 0)
		return o ? SOUP_STATUS_PRECONDITION_FAILED : SOUP_STATUS_OK;
	if (!match || *match != '"')
		return SOUP_STATUS_BAD_REQUEST;
	if (!o || strtoull(match + 1, NULL, 10) != o->version)
		return SOUP_STATUS_PRECONDITION_FAILED;
	return SOUP_STATUS_OK;
}

static int
check_value(const char *text, size_t n)
{
	yajl_val v;

	if (n > VALUE_MAX)
		return SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
	v = yajl_tree_parse(text, NULL, 0);
	if (!v)
		return SOUP_STATUS_BAD_REQUEST;
	yajl_tree_free(v);
	return SOUP_STATUS_OK;
}

static void
log_write(struct platform *p, const char *key, int status, uint64_t version,
    const char *value)
{
	char b[LOGGED_VALUE_MAX];

	g_strlcpy(b, value ? value : "null", sizeof b);
	g_strdelimit(b, " \t\r\n", '_');
	history_write(&p->history, io_clock(),
	    "write name=%s status=%d version=%" G_GUINT64_FORMAT " value=%s",
	    key, status, version, b);
}

static void
write_object(struct platform *p, SoupServerMessage *msg, const char *key,
    int removal)
{
	const struct event *o = store_get(&p->store, key);
	SoupMessageBody *b = soup_server_message_get_request_body(msg);
	char *value = NULL;
	uint64_t v = 0;
	int status;

	status = check_condition(msg, o, removal);
	if (!removal) {
		value = g_strndup(b->data ? b->data : "", (gsize)b->length);
		if (status == SOUP_STATUS_OK)
			status = check_value(value, (size_t)b->length);
	}
	if (status == SOUP_STATUS_OK)
		v = store_put(&p->store, key, value);
	else if (o)
		v = o->version;
	log_write(p, key, status, v, value);
	g_free(value);
	soup_server_message_set_status(msg, status, NULL);
	if (v)
		set_etag(msg, v);
	if (status != SOUP_STATUS_OK)
		return;
	if (p->lose_answers > 0) {
		p->lose_answers--;
		serve_abort(msg);
	}
	watch_answer_all(p);
}

static void
serve_watch(struct platform *p, SoupServerMessage *msg)
{
	const char *q = g_uri_get_query(soup_server_message_get_uri(msg));
	GHashTable *t = soup_form_decode(q ? q : "");
	const char *from = g_hash_table_lookup(t, "from");
	const char *ms = g_hash_table_lookup(t, "wait_ms");

	history_write(&p->history, io_clock(), "watch from=%s",
	    from ? from : "0");
	watch_start(p, msg, from ? strtoull(from, NULL, 10) : 0,
	    ms ? (unsigned)strtoul(ms, NULL, 10) : 0);
	g_hash_table_destroy(t);
}

static void
serve_objects(struct platform *p, SoupServerMessage *msg, const char *path)
{
	const char *m = soup_server_message_get_method(msg);
	const char *key = path + strlen(OBJECTS);
	int reading = strcmp(m, "GET") == 0;

	if (!rates_take(&p->rates, reading ? CALL_READ : CALL_WRITE,
		io_clock())) {
		soup_server_message_set_status(msg, STATUS_TOO_MANY_REQUESTS,
		    NULL);
		return;
	}
	if (reading)
		history_write(&p->history, io_clock(), "read name=%s",
		    *key ? key + 1 : "*");
	if (*key == '\0' && reading)
		serve_json(msg, SOUP_STATUS_OK, store_list(&p->store));
	else if (*key != '/' || !strchr(key + 1, '/'))
		soup_server_message_set_status(msg, SOUP_STATUS_NOT_FOUND,
		    NULL);
	else if (reading)
		read_object(p, msg, key + 1);
	else if (strcmp(m, "PUT") == 0 || strcmp(m, "DELETE") == 0)
		write_object(p, msg, key + 1, *m == 'D');
	else
		soup_server_message_set_status(msg,
		    SOUP_STATUS_METHOD_NOT_ALLOWED, NULL);
}

/** struct late_write - a write that is done later, without an answer */
struct late_write {
	struct platform *platform;
	SoupServerMessage *msg;
};

static gboolean
write_late(void *ctx)
{
	struct late_write *w = ctx;

	users_serve(w->platform, w->msg,
	    g_uri_get_path(soup_server_message_get_uri(w->msg)));
	serve_abort(w->msg);
	soup_server_message_unpause(w->msg);
	g_object_unref(w->msg);
	g_free(w);
	return G_SOURCE_REMOVE;
}

/* Takes a write that is to be late; 0 if it is not. */
static int
take_late_write(struct platform *p, SoupServerMessage *msg)
{
	struct late_write *w;

	if (p->late_writes <= 0)
		return 0;
	p->late_writes--;
	w = g_new0(struct late_write, 1);
	w->platform = p;
	w->msg = g_object_ref(msg);
	soup_server_message_pause(msg);
	g_timeout_add((guint)p->late_ms, write_late, w);
	return 1;
}

static void
serve_users_api(struct platform *p, SoupServerMessage *msg, const char *path)
{
	const char *m = soup_server_message_get_method(msg);
	const char *q = g_uri_get_query(soup_server_message_get_uri(msg));
	enum call_kind k = strcmp(m, "GET")	      ? CALL_WRITE
			   : q && strstr(q, "watch=") ? CALL_WATCH
						      : CALL_READ;

	if (!rates_take(&p->rates, k, io_clock()))
		soup_server_message_set_status(msg, STATUS_TOO_MANY_REQUESTS,
		    NULL);
	else if (!g_str_has_prefix(path, OBJECTS "/"))
		soup_server_message_set_status(msg, SOUP_STATUS_NOT_FOUND,
		    NULL);
	else if (k != CALL_WRITE || !take_late_write(p, msg))
		users_serve(p, msg, path);
}

int
serve_is_turned_away(const struct platform *p, SoupServerMessage *msg)
{
	GSocketAddress *a = soup_server_message_get_local_address(msg);
	char *ip;
	int is_second;

	if (p->turn_away == TURN_AWAY_NONE || !p->second_ip || !a)
		return 0;
	ip = g_inet_address_to_string(
	    g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(a)));
	is_second = g_str_equal(ip, p->second_ip);
	g_free(ip);
	return is_second;
}

static void
turn_away(struct platform *p, SoupServerMessage *msg)
{
	if (p->turn_away == TURN_AWAY_SILENT)
		soup_server_message_pause(msg);
	else if (p->turn_away == TURN_AWAY_RESET)
		serve_abort(msg);
	else
		soup_server_message_set_status(msg, (guint)p->turn_away_status,
		    NULL);
}

static void
serve_api(struct platform *p, SoupServerMessage *msg)
{
	const char *path = g_uri_get_path(soup_server_message_get_uri(msg));

	if (serve_is_turned_away(p, msg)) {
		turn_away(p, msg);
	} else if (p->mode == FAULT_DOWN) {
		serve_abort(msg);
	} else if (p->users) {
		serve_users_api(p, msg, path);
	} else if (strcmp(path, "/v1/watch") == 0) {
		if (rates_take(&p->rates, CALL_WATCH, io_clock()))
			serve_watch(p, msg);
		else
			soup_server_message_set_status(msg,
			    STATUS_TOO_MANY_REQUESTS, NULL);
	} else if (g_str_has_prefix(path, OBJECTS)) {
		serve_objects(p, msg, path);
	} else {
		soup_server_message_set_status(msg, SOUP_STATUS_NOT_FOUND,
		    NULL);
	}
}

/** struct delayed_request - request held back under FAULT_SLOW */
struct delayed_request {
	struct platform *platform;
	SoupServerMessage *msg;
};

static gboolean
serve_delayed(void *ctx)
{
	struct delayed_request *d = ctx;

	/* unpaused first, since serve_api() may pause the message again */
	soup_server_message_unpause(d->msg);
	serve_api(d->platform, d->msg);
	g_object_unref(d->msg);
	g_free(d);
	return G_SOURCE_REMOVE;
}

static void
serve_counts(struct platform *p, SoupServerMessage *msg)
{
	static const char *const name[] = { "reads", "writes", "watches",
		"refusals" };
	GString *t = g_string_new(NULL);
	int i;

	for (i = 0; i < CALL_KINDS; i++)
		g_string_append_printf(t,
		    "%s %" G_GUINT64_FORMAT "\n%s_peak %d\n", name[i],
		    p->rates.total[i], name[i], p->rates.peak[i]);
	g_string_append_printf(t,
	    "waiting %u\nversion %" G_GUINT64_FORMAT "\nobjects %u\n",
	    g_list_length(p->pending), p->store.version,
	    g_hash_table_size(p->store.objects));
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_TAKE,
	    t->str, t->len);
	g_string_free(t, FALSE);
}

/* Stores the body of a request as the value of an object, whatever it is. */
static void
store_raw(struct platform *p, SoupServerMessage *msg, GHashTable *query)
{
	SoupMessageBody *b = soup_server_message_get_request_body(msg);
	const char *key = query ? g_hash_table_lookup(query, "key") : NULL;
	char *value;

	if (!key || !strchr(key, '/')) {
		soup_server_message_set_status(msg, SOUP_STATUS_BAD_REQUEST,
		    NULL);
		return;
	}
	value = g_strndup(b->data ? b->data : "", (gsize)b->length);
	store_put(&p->store, key, value);
	g_free(value);
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	users_answer_watches(p);
}

static void
on_request(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct platform *p = ctx;
	struct delayed_request *d;

	(void)s;
	if (strcmp(path, "/fake/fault") == 0) {
		soup_server_message_set_status(msg, fault_set(p, query), NULL);
	} else if (strcmp(path, "/fake/raw") == 0) {
		store_raw(p, msg, query);
	} else if (strcmp(path, "/fake/counts") == 0) {
		serve_counts(p, msg);
	} else if (p->mode == FAULT_SLOW) {
		d = g_new0(struct delayed_request, 1);
		d->platform = p;
		d->msg = g_object_ref(msg);
		soup_server_message_pause(msg);
		g_timeout_add((guint)p->slow_ms, serve_delayed, d);
	} else {
		serve_api(p, msg);
	}
}

static int
listen_on(SoupServer *s, const char *ip, int port, struct kq_error *e)
{
	GSocketAddress *a = g_inet_socket_address_new_from_string(ip, port);
	GError *g = NULL;

	if (!a)
		return kq_error_set(e, KQ_LAYER_HTTP, 1,
		    "%s: not an IP address", ip);
	if (!soup_server_listen(s, a, 0, &g)) {
		kq_error_set(e, KQ_LAYER_HTTP, 1, "%s:%d: %s", ip, port,
		    g->message);
		g_error_free(g);
		g_object_unref(a);
		return -1;
	}
	g_object_unref(a);
	return 0;
}

int
serve_start(struct platform *p, SoupServer *s, const char *ip, int port,
    struct kq_error *e)
{
	soup_server_add_handler(s, NULL, on_request, p, NULL);
	if (listen_on(s, ip, port, e))
		return -1;
	return p->second_ip ? listen_on(s, p->second_ip, port, e) : 0;
}
