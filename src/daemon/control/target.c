#include <string.h>

#include "daemon/control/impl.h"
#include "json.h"

static int
read_target(struct control *c, struct json *j, struct data_target *t,
    struct kq_error *e)
{
	int root = json_root(j);
	int64_t port = 0, slots = 0, connections = 0;

	if (json_check_type(j, root, JSON_OBJECT, e))
		return -1;
	g_strlcpy(t->ip, c->settings.ip, sizeof t->ip);
	if (json_require(j, root, "service", e) == JSON_NONE ||
	    json_get_string(j, root, "service", t->service, sizeof t->service,
		e) != 1 ||
	    json_require(j, root, "port", e) == JSON_NONE ||
	    json_get_int(j, root, "port", 1, 65535, &port, e) != 1 ||
	    json_require(j, root, "slots", e) == JSON_NONE ||
	    json_get_int(j, root, "slots", 1, 100000, &slots, e) != 1 ||
	    json_require(j, root, "connections", e) == JSON_NONE ||
	    json_get_int(j, root, "connections", 1, 100000, &connections, e) !=
		1 ||
	    json_require(j, root, "start", e) == JSON_NONE ||
	    json_get_string(j, root, "start", t->start_id, sizeof t->start_id,
		e) != 1 ||
	    json_get_string(j, root, "ip", t->ip, sizeof t->ip, e) < 0)
		return -1;
	t->port = port;
	t->slots = slots;
	t->connections = connections;
	return json_check_unused(j, root, e);
}

static void
empty_answer(SoupServerMessage *msg, int status)
{
	control_answer(msg, status, "application/json", g_string_new("{}\n"));
}

static int
same_target(const struct data_target *a, const struct data_target *b)
{
	return !strcmp(a->service, b->service) && !strcmp(a->ip, b->ip) &&
	       a->port == b->port && a->slots == b->slots &&
	       a->connections == b->connections &&
	       !strcmp(a->start_id, b->start_id) && !strcmp(a->id, b->id) &&
	       a->cold_until == b->cold_until;
}

static void
put_target(struct control *c, SoupServerMessage *msg)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct data_target t = { 0 };
	struct kq_error e = { 0 };
	struct json *j;
	int bad;

	j = json_read(body->data ? body->data : "", body->length, &e);
	bad = !j || read_target(c, j, &t, &e);
	if (j)
		json_free(j);
	if (bad) {
		control_answer_error(msg, 400, &e);
		return;
	}
	if (c->leaving || c->operator_drain) {
		kq_error_set(&e, KQ_LAYER_DAEMON, 1,
		    c->operator_drain ? "this target is drained by an operator"
				      : "this daemon is stopping");
		control_answer_error(msg, 503, &e);
		return;
	}
	data_set_target(c->data, &t);
	if (!c->has_target || strcmp(t.service, c->target.service)) {
		memset(&c->target, 0, sizeof c->target);
		g_strlcpy(c->target.service, t.service,
		    sizeof c->target.service);
		c->has_target = 1;
		control_publish_service(c);
		control_register_instance(c);
	}
	if (same_target(&t, &c->target)) {
		empty_answer(msg, 200);
		return;
	}
	c->target = t;
	log_event(EVENT_TARGET_ANNOUNCED, G_LOG_LEVEL_INFO, control_now(c),
	    "target service=%s ip=%s port=%d slots=%d connections=%d start=%s",
	    t.service, t.ip, t.port, t.slots, t.connections, t.start_id);
	control_answer(msg, 200, "application/json", g_string_new("{}\n"));
}

/* Connections beyond twice the slots, for those being closed or kept open in
 * advance. */
#define CONNECTIONS_SPARE 16

static void
set_target(struct control *c, const struct heartbeat *b)
{
	struct data_target t = { 0 };

	g_strlcpy(t.service, b->service, sizeof t.service);
	g_strlcpy(t.ip, b->ip, sizeof t.ip);
	t.port = b->port;
	t.slots = b->slots;
	t.connections = 2 * b->slots + CONNECTIONS_SPARE;
	g_strlcpy(t.id, b->id, sizeof t.id);
	g_strlcpy(t.version, b->version, sizeof t.version);
	g_snprintf(t.start_id, sizeof t.start_id, "%s@%" G_GINT64_FORMAT, b->id,
	    b->started_ms);
	if (b->cold_ms)
		t.cold_until = control_now(c) + b->cold_ms * 1000;
	data_set_target(c->data, &t);
	c->target = t;
}

/* Publishes the service to the members while the target takes work, and no
 * service otherwise. */
static void
set_serving(struct control *c, int serving)
{
	if (c->has_target == serving && !c->service_changed)
		return;
	c->service_changed = 0;
	c->has_target = serving;
	control_publish_service(c);
	if (!control_many_feeds(c))
		control_register_instance(c);
}

static void
log_report(struct control *c, enum event ev, const struct heartbeat *b,
    const char *what)
{
	log_event(ev, G_LOG_LEVEL_INFO, control_now(c),
	    "target %s id=%s service=%s ip=%s port=%d slots=%d "
	    "born=%" G_GINT64_FORMAT " sequence=%" G_GINT64_FORMAT
	    " cold_ms=%" G_GINT64_FORMAT,
	    what, b->id, b->service, b->ip, b->port, b->slots, b->started_ms,
	    b->sequence, b->cold_ms);
}

static void
drain_target(struct control *c)
{
	data_drain_target(c->data);
	set_serving(c, 0);
}

/* Whether the members have to be told of another version. */
static int
version_changed(const struct control *c, const struct heartbeat *b)
{
	return c->settings.rollout_share > 0 &&
	       strcmp(b->version, c->target.version);
}

/* Whether the members have to be told of another service or version. */
static int
announces_other(const struct control *c, const struct heartbeat *b)
{
	return strcmp(b->service, c->target.service) || version_changed(c, b);
}

/* A target that was found by a health check tells its version only now. */
static void
update_target(struct control *c, const struct heartbeat *b)
{
	int other = version_changed(c, b);

	set_target(c, b);
	if (other && c->has_target)
		control_publish_service(c);
}

static void
handle_heartbeat(struct control *c, const struct heartbeat *b)
{
	switch (track_heartbeat(&c->track, b, control_now(c))) {
	case TRACK_START:
		log_report(c, EVENT_TARGET_ANNOUNCED, b, "started");
		c->service_changed = announces_other(c, b);
		set_target(c, b);
		if (b->draining || c->leaving || c->operator_drain)
			drain_target(c);
		else
			set_serving(c, 1);
		break;
	case TRACK_DRAINS:
		log_report(c, EVENT_TARGET_LEFT, b, "drains");
		drain_target(c);
		break;
	case TRACK_UPDATED:
		if (c->track.state == TRACK_READY && !c->leaving &&
		    !c->operator_drain)
			update_target(c, b);
		break;
	case TRACK_UNCONFIRMED:
		log_report(c, EVENT_TARGET_UNCONFIRMED, b,
		    "heartbeat awaits a health check or a second one");
		control_repeat_health_check(c);
		break;
	default:
		log_report(c, EVENT_TARGET_REPORT_STALE, b,
		    "heartbeat is outdated");
	}
}

/* The target's first heartbeat replaces what its health check told. */
void
control_target_healthy(struct control *c, const struct heartbeat *b)
{
	log_report(c, EVENT_TARGET_ANNOUNCED, b, "found");
	track_health_check(&c->track, b, control_now(c));
	c->service_changed = announces_other(c, b);
	set_target(c, b);
	set_serving(c, !c->operator_drain);
}

void
control_target_says_leaving(void *ctx, void *message)
{
	struct control *c = ctx;
	char *id = message;

	if (track_says_leaving(&c->track, id, control_now(c)) == TRACK_DRAINS) {
		log_report(c, EVENT_TARGET_LEFT, &c->track.last,
		    "says that it leaves");
		drain_target(c);
	}
	g_free(id);
}

static void
handle_leave(struct control *c, const struct heartbeat *b)
{
	if (track_leave(&c->track, b->id, control_now(c)) == TRACK_LEAVES) {
		log_report(c, EVENT_TARGET_LEFT, &c->track.last, "leaves");
		drain_target(c);
	} else {
		log_report(c, EVENT_TARGET_REPORT_STALE, b,
		    "leave is outdated");
	}
}

/* A target's start can lie this far ahead of this machine's time of day, which
 * may be wrong. */
#define START_AHEAD_MAX_MS 3600000

/* Refuses a heartbeat that can't be of the target beside this daemon: it names
 * another address, a service that neither the settings nor the routes name, or
 * a start in the future, after which no heartbeat of the target itself would
 * count. 0, or nonzero with the error. */
static int
check_origin(struct control *c, const struct heartbeat *b, struct kq_error *e)
{
	if (strcmp(b->ip, c->settings.ip))
		return kq_error_set(e, KQ_LAYER_DAEMON, 1,
		    "target %s is at %s, not at this daemon's address", b->id,
		    b->ip);
	if (b->started_ms - g_get_real_time() / 1000 > START_AHEAD_MAX_MS)
		return kq_error_set(e, KQ_LAYER_DAEMON, 1,
		    "target %s names a start in the future", b->id);
	if (!c->settings.service[0] ||
	    !strcmp(b->service, c->settings.service) ||
	    control_is_routed_service(c, b->service))
		return 0;
	return kq_error_set(e, KQ_LAYER_DAEMON, 1,
	    "target %s names the unknown service %s", b->id, b->service);
}

static void
refuse_report(struct control *c, SoupServerMessage *msg,
    const struct kq_error *e)
{
	c->counters.reports_refused++;
	log_event(EVENT_TARGET_REPORT_REFUSED, G_LOG_LEVEL_WARNING,
	    control_now(c), "report of a target refused error=\"%s\"", e->text);
	control_answer_error(msg, 400, e);
}

/* Handles a target's report, a heartbeat or a leave. The target relies on the
 * answer, so this daemon must act on each report that it acknowledges. */
void
control_report_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct control *c = ctx;
	struct heartbeat b;
	struct kq_error e = { 0 };

	if (strcmp(soup_server_message_get_method(msg), "POST")) {
		soup_server_message_set_status(msg, 405, NULL);
		return;
	}
	switch (c->dialect->read_report(&b,
	    g_uri_get_query(soup_server_message_get_uri(msg)),
	    body->data ? body->data : "", body->length, &e)) {
	case TARGET_HEARTBEAT:
		if (check_origin(c, &b, &e)) {
			refuse_report(c, msg, &e);
			return;
		}
		handle_heartbeat(c, &b);
		empty_answer(msg, 200);
		break;
	case TARGET_LEAVE:
		handle_leave(c, &b);
		empty_answer(msg, 200);
		break;
	default:
		refuse_report(c, msg, &e);
	}
}

/* Drains the target; answers the message once nothing is in flight there. */
static void
drain_and_answer(struct control *c, SoupServerMessage *msg)
{
	log_event(EVENT_TARGET_LEFT, G_LOG_LEVEL_INFO, control_now(c),
	    "target leaves service=%s", c->target.service);
	if (c->has_target) {
		c->has_target = 0;
		control_publish_service(c);
		control_register_instance(c);
	}
	g_ptr_array_add(c->drain_waiters, g_object_ref(msg));
	soup_server_message_pause(msg);
	data_drain_target(c->data);
}

void
control_answer_drains(struct control *c)
{
	SoupServerMessage *msg;
	guint i;

	for (i = 0; i < c->drain_waiters->len; i++) {
		msg = g_ptr_array_index(c->drain_waiters, i);
		control_answer(msg, 200, "application/json",
		    g_string_new("{}\n"));
		soup_server_message_unpause(msg);
		g_object_unref(msg);
	}
	g_ptr_array_set_size(c->drain_waiters, 0);
}

void
control_target_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	const char *method = soup_server_message_get_method(msg);
	struct control *c = ctx;

	if (!strcmp(method, "PUT"))
		put_target(c, msg);
	else if (!strcmp(method, "DELETE"))
		drain_and_answer(c, msg);
	else
		soup_server_message_set_status(msg, 405, NULL);
}

/* An operator's drain lasts until /v1/undrain; announcements of the target
 * don't end it. */
void
control_drain_handler(SoupServer *s, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	struct control *c = ctx;

	if (strcmp(soup_server_message_get_method(msg), "POST")) {
		soup_server_message_set_status(msg, 405, NULL);
		return;
	}
	if (!strcmp(path, "/v1/undrain")) {
		c->operator_drain = 0;
		control_answer(msg, 200, "application/json",
		    g_string_new("{}\n"));
		return;
	}
	c->operator_drain = 1;
	drain_and_answer(c, msg);
}
