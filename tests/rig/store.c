#include <string.h>

#include "rig.h"

#define STORE_MS 5000
#define FAULT_MS 900
#define AGAIN_US 200000 /* after an answer that is no success */
#define TRIES 60
#define STATUS_OK 200
#define STATUS_CREATED 201
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define SHORTENED_MOST_MS 2000 /* limits that limits_percent changes */
#define EXTRA_SERVICE "codebook"
#define EXTRA_MS 1000 /* time limit of routes that come and go */
#define SPLIT_WEIGHT 3 /* of cloner, where codebook has 1 */

static char *
store_ip(struct rig *r)
{
	return g_strdup_printf("%s.0.10", r->net);
}

/* Time limit of a route in the present version. */
static int
timeout_of(const struct rig *r, const struct kind *k)
{
	int limit = k->timeout_ms ? k->timeout_ms : k->deadline_ms;

	if (limit <= SHORTENED_MOST_MS)
		limit = limit * g_atomic_int_get(&r->limits_percent) / 100;
	return limit * (4 + r->timeout_turn % 3) / 5;
}

/* Services of a route in the present version, as in the history. */
static char *
services_of(const struct rig *r, const struct kind *k)
{
	if (strcmp(k->route, MOVED_ROUTE) != 0 || r->split_turn % 3 == 0)
		return g_strdup(k->service);
	if (r->split_turn % 3 == 1)
		return g_strdup_printf("cloner:%d,codebook:1", SPLIT_WEIGHT);
	return g_strdup("codebook");
}

static void
append_route(const struct rig *r, GString *t, const struct kind *k)
{
	char *to;

	if (strcmp(k->route, MOVED_ROUTE) != 0 || r->split_turn % 3 == 0)
		to = g_strdup_printf("\"service\":\"%s\"", k->service);
	else if (r->split_turn % 3 == 1)
		to = g_strdup_printf("\"traffic_split\":[{\"service\":"
				     "\"cloner\",\"weight\":%d},{\"service\":"
				     "\"codebook\",\"weight\":1}]",
		    SPLIT_WEIGHT);
	else
		to = g_strdup("\"service\":\"codebook\"");
	g_string_append_printf(t,
	    "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"%s\"},"
	    "\"specification\":{\"host\":\"%s\",\"path_prefix\":\"/%s/\","
	    "\"kind\":\"%s\",\"timeout_ms\":%d,\"target_latency_ms\":500,"
	    "\"priority\":%d,%s,\"max_attempts\":2}},\n",
	    k->route, RIG_HOST, k->route, k->once ? "non_idempotent" : "safe",
	    timeout_of(r, k), k->priority, to);
	g_free(to);
}

static void
append_resources(const struct rig *r, GString *t)
{
	int i;

	for (i = 0; i < kind_count; i++)
		append_route(r, t, &kinds[i]);
	g_string_append_printf(t,
	    "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"extra%d\"},"
	    "\"specification\":{\"host\":\"%s\",\"path_prefix\":\"/extra%d/\","
	    "\"kind\":\"safe\",\"timeout_ms\":%d,\"target_latency_ms\":500,"
	    "\"priority\":2,\"service\":\"%s\",\"max_attempts\":2}},\n",
	    r->extra_turn % ROUTE_EXTRAS, RIG_HOST,
	    r->extra_turn % ROUTE_EXTRAS, EXTRA_MS, EXTRA_SERVICE);
	for (i = 0; mesh_services[i]; i++)
		g_string_append_printf(t,
		    "{\"resource_kind\":\"services\",\"metadata\":{\"name\":"
		    "\"%s\"},\"specification\":{\"health_path\":\"/health\","
		    "\"max_connections\":260,\"cold_start_s\":3.0,"
		    "\"cold_per_s\":19.0}},\n",
		    mesh_services[i]);
	g_string_append(t,
	    "{\"resource_kind\":\"limits\",\"metadata\":{\"name\":\"limits\"},"
	    "\"specification\":{\"max_header_bytes\":16384,"
	    "\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,"
	    "\"idle_timeout_ms\":5000}}");
}

static void
note_routes(struct rig *r)
{
	GString *t = g_string_new(NULL);
	int i, extra = r->extra_turn % ROUTE_EXTRAS;
	char *to;

	for (i = 0; i < kind_count; i++) {
		to = services_of(r, &kinds[i]);
		g_string_append_printf(t, " timeout_%s=%d to_%s=%s",
		    kinds[i].route, timeout_of(r, &kinds[i]), kinds[i].route,
		    to);
		g_free(to);
	}
	g_string_append_printf(t, " timeout_extra%d=%d to_extra%d=%s", extra,
	    EXTRA_MS, extra, EXTRA_SERVICE);
	note(r, "config-sent version=%d%s", r->version, t->str);
	g_string_free(t, TRUE);
}

/* Nonzero if the store may be asked once more. */
static int
goes_on(struct rig *r, int *code, int tries)
{
	if (*code == STATUS_OK || *code == STATUS_CREATED || tries >= TRIES)
		return 0;
	if (tries)
		g_usleep(AGAIN_US);
	return !g_atomic_int_get(&r->ending);
}

/* The present version as the operator writes it. */
static char *
config_text(const struct rig *r)
{
	GString *t = g_string_new(NULL);

	g_string_append_printf(t,
	    "{\"metadata\":{\"name\":\"main\"},\"specification\":{\"version\":"
	    "%d,\"resources\":[",
	    r->version);
	append_resources(r, t);
	g_string_append(t, "]}}");
	return g_string_free(t, FALSE);
}

/* Creates or replaces the configuration; Return: the status */
static int
put_config(struct rig *r, const char *text, int create)
{
	char *ip = store_ip(r);
	int code = rig_http(ip, PORT_STORE, STORE_MS, create ? "POST" : "PUT",
	    create ? "/v1/objects/config" : "/v1/objects/config/main", text);

	g_free(ip);
	return code;
}

void
store_configure(struct rig *r, int changes)
{
	int first, version, tries, code = 0;
	char *text;

	g_mutex_lock(&r->store_lock);
	r->timeout_turn += !!(changes & CHANGE_TIMEOUT);
	r->split_turn += !!(changes & CHANGE_SPLIT);
	g_atomic_int_add(&r->extra_turn, !!(changes & CHANGE_EXTRA));
	first = !r->version;
	version = ++r->version;
	text = config_text(r);
	note_routes(r);
	for (tries = 0; goes_on(r, &code, tries); tries++) {
		code = put_config(r, text, first);
		note(r, "config-acked version=%d code=%d", version, code);
	}
	g_mutex_unlock(&r->store_lock);
	g_free(text);
}

/* Writes the present version again, into a store that may lack it. */
static void
configure_again(struct rig *r)
{
	char *text = config_text(r);
	int tries, create = 0, code = 0;

	for (tries = 0; goes_on(r, &code, tries); tries++) {
		code = put_config(r, text, create);
		create = code == STATUS_NOT_FOUND;
		note(r, "config-acked version=%d code=%d", r->version, code);
	}
	g_free(text);
}

/* Begins or ends an evacuation, under its lock; Return: the last status */
static int
write_evacuation(struct rig *r, int zone, int begins)
{
	char *ip = store_ip(r), *path, *body;
	int tries, code = 0;

	path = begins ? g_strdup("/v1/objects/evacuations")
		      : g_strdup_printf("/v1/objects/evacuations/dc%d", zone);
	body = g_strdup_printf("{\"metadata\":{\"name\":\"dc%d\"},"
			       "\"specification\":{}}",
	    zone);
	for (tries = 0; goes_on(r, &code, tries); tries++) {
		code = rig_http(ip, PORT_STORE, STORE_MS,
		    begins ? "POST" : "DELETE", path, begins ? body : NULL);
		if (code == (begins ? STATUS_CONFLICT : STATUS_NOT_FOUND))
			code = STATUS_OK; /* an earlier try took effect */
	}
	g_free(body);
	g_free(path);
	g_free(ip);
	return code;
}

int
store_evacuate(struct rig *r, int zone, int begins)
{
	int code;

	g_mutex_lock(&r->evacuation_lock);
	r->out[zone - 1] = begins;
	note(r, "%s dc=dc%d", begins ? "evacuated" : "back", zone);
	code = write_evacuation(r, zone, begins);
	note(r, "%s dc=dc%d code=%d",
	    begins ? "evacuation-acked" : "back-acked", zone, code);
	g_mutex_unlock(&r->evacuation_lock);
	return code == STATUS_OK || code == STATUS_CREATED;
}

void
store_set(struct rig *r, const char *mode)
{
	char *ip = store_ip(r);
	char *path = g_strdup_printf("/fake/fault?mode=%s", mode);

	rig_http(ip, PORT_STORE, FAULT_MS, "POST", path, NULL);
	g_free(path);
	g_free(ip);
}

void
store_fault(struct rig *r, const char *mode)
{
	note(r, "store mode=%s", mode);
	store_set(r, mode);
}

void
store_restore(struct rig *r, int by, int away_ms, int again_ms)
{
	char *mode = g_strdup_printf("restore&by=%d", by);
	int zone;

	g_mutex_lock(&r->store_lock);
	g_mutex_lock(&r->evacuation_lock);
	store_fault(r, "down");
	g_usleep((gulong)away_ms * 1000);
	store_fault(r, mode);
	store_set(r, "ok");
	g_usleep((gulong)again_ms * 1000);
	configure_again(r);
	for (zone = 1; zone <= ZONES; zone++)
		write_evacuation(r, zone, r->out[zone - 1]);
	store_fault(r, "ok");
	g_mutex_unlock(&r->evacuation_lock);
	g_mutex_unlock(&r->store_lock);
	g_free(mode);
}
