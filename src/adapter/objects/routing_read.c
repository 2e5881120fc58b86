#include "routing.h"

#include <float.h>
#include <string.h>

#include "adapter/objects/fields.h"
#include "adapter/objects/organisation_read.h"

#define MS_MAX 3600000
#define WEIGHT_MAX 1e100 /* the sum of any number of them is finite */
#define ATTEMPTS_MAX 100
#define PRIORITY_MAX 1000
#define CONNECTIONS_MAX 1000000
#define RATE_MAX 1e6
#define DEFAULT_TIMEOUT_MS 1000
#define DEFAULT_ATTEMPTS 2

/* State of the parser: the routing being read, and the first error in it. */
struct reader {
	struct json *j;
	struct routing *r;
	struct kq_error *e;
};

/* Where the error of an entry is to be stored: only the first one is kept. */
static struct kq_error *
entry_error(struct reader *p)
{
	return p->r->ninvalid ? NULL : p->e;
}

/* Reads a required string of any length; 0 or -1. */
static int
read_text(struct reader *p, int object, const char *key, const char **text)
{
	struct kq_error *e = entry_error(p);
	int node = json_require(p->j, object, key, e);

	if (node == JSON_NONE ||
	    json_check_type(p->j, node, JSON_STRING, e) == -1)
		return -1;
	if (!json_text(p->j, node)[0])
		return json_fail(p->j, node, e, JSON_E_RANGE, "\"%s\" is empty",
		    key);
	*text =
	    g_string_chunk_insert_const(p->r->strings, json_text(p->j, node));
	return 0;
}

/* Reads a service name, which is also the key of tables elsewhere; 0 or -1. */
static int
read_name(struct reader *p, int object, const char **text)
{
	char name[SERVICE_NAME_MAX];

	if (fields_name(p->j, object, "service", name, sizeof name,
		entry_error(p)) == -1)
		return -1;
	*text = g_string_chunk_insert_const(p->r->strings, name);
	return 0;
}

/* Reads a number that may have a fraction; one above the maximum counts as the
 * maximum. 1, 0 if the key is absent, or -1. */
static int
read_number(struct reader *p, int object, const struct int_field *f, int *value)
{
	double v;
	int r = json_get_real(p->j, object, f->key, f->min, DBL_MAX, &v,
	    entry_error(p));

	if (r == 1)
		*value = (int)MIN(v, f->max);
	return r;
}

static int
read_part(struct reader *p, int item, struct route_part *part)
{
	struct kq_error *e = entry_error(p);

	part->weight = 1;
	if (json_check_type(p->j, item, JSON_OBJECT, e) == -1 ||
	    read_name(p, item, &part->service) == -1 ||
	    json_get_real(p->j, item, "weight", 0, WEIGHT_MAX, &part->weight,
		e) == -1)
		return -1;
	return json_check_unused(p->j, item, e);
}

/* Reads the services of a route into @parts; their number, or -1. */
static int
read_parts(struct reader *p, int object, struct route_part **parts)
{
	struct kq_error *e = entry_error(p);
	double sum = 0;
	int i, n, list;

	if (json_get_array(p->j, object, "services", &list, e) != 1)
		return json_fail(p->j, object, e, JSON_E_MISSING,
		    "a route needs a list of \"services\"");
	n = json_count(p->j, list);
	*parts = g_new0(struct route_part, n + 1);
	for (i = 0; i < n; i++) {
		if (read_part(p, json_item(p->j, list, i), &(*parts)[i]))
			return -1;
		sum += (*parts)[i].weight;
	}
	if (sum > 0)
		return n;
	return json_fail(p->j, list, e, JSON_E_VALUE,
	    "the sum of the weights is 0");
}

static int
read_prefix(struct reader *p, int object, struct route *r)
{
	size_t n;

	if (read_text(p, object, "prefix", &r->prefix))
		return -1;
	n = strlen(r->prefix);
	if (r->prefix[0] == '/' && r->prefix[n - 1] == '/')
		return 0;
	return json_fail(p->j, json_get(p->j, object, "prefix"), entry_error(p),
	    JSON_E_VALUE, "\"prefix\" must begin and end with a slash");
}

static int
read_terms(struct reader *p, int object, struct route *r)
{
	static const struct int_field timeout = { "timeout_ms", 1, MS_MAX };
	static const struct int_field objective = { "objective_ms", 1, MS_MAX };
	static const struct int_field priority = { "priority", 0,
		PRIORITY_MAX };
	static const struct int_field attempts = { "attempts", 1,
		ATTEMPTS_MAX };

	r->timeout_ms = DEFAULT_TIMEOUT_MS;
	r->max_attempts = DEFAULT_ATTEMPTS;
	if (json_get_bool(p->j, object, "idempotent", &r->idempotent,
		entry_error(p)) == -1 ||
	    json_get_bool(p->j, object, "anonymous", &r->anonymous,
		entry_error(p)) == -1 ||
	    read_number(p, object, &timeout, &r->timeout_ms) == -1)
		return -1;
	r->objective_ms = r->timeout_ms;
	if (read_number(p, object, &objective, &r->objective_ms) == -1 ||
	    read_number(p, object, &priority, &r->priority) == -1 ||
	    read_number(p, object, &attempts, &r->max_attempts) == -1)
		return -1;
	return 0;
}

/* Appends a route. One that is invalid apart from its host and prefix has no
 * services; one of which these are invalid is left out. */
static void
read_route(struct reader *p, int object)
{
	struct route *r = &p->r->route[p->r->nroute];
	struct route_part *parts = NULL;
	int n;

	if (json_check_type(p->j, object, JSON_OBJECT, entry_error(p)) == -1 ||
	    read_text(p, object, "host", &r->host) ||
	    read_prefix(p, object, r)) {
		p->r->ninvalid++;
		return;
	}
	n = read_terms(p, object, r) ? -1 : read_parts(p, object, &parts);
	if (n < 0 || json_check_unused(p->j, object, entry_error(p)) == -1) {
		g_free(parts);
		p->r->ninvalid++;
	} else {
		r->part = parts;
		r->npart = n;
	}
	p->r->nroute++;
}

static int
read_routes(struct reader *p, int object)
{
	int i, list, got = json_get_array(p->j, object, "routes", &list, p->e);

	if (got != 1)
		return got;
	p->r->route = g_new0(struct route, json_count(p->j, list) + 1);
	for (i = 0; i < json_count(p->j, list); i++)
		read_route(p, json_item(p->j, list, i));
	return 0;
}

/* Appends a service if it is valid. */
static void
read_service(struct reader *p, int object)
{
	static const struct int_field connections = { "connections", 1,
		CONNECTIONS_MAX };
	static const struct int_field cold = { "cold_ms", 0, MS_MAX };
	struct routing_service s = { .health_path = "" };
	struct kq_error *e = entry_error(p);
	char path[HEALTH_PATH_MAX] = "";

	if (json_check_type(p->j, object, JSON_OBJECT, e) == -1 ||
	    read_name(p, object, &s.name) ||
	    json_get_string(p->j, object, "health_path", path, sizeof path,
		e) == -1 ||
	    read_number(p, object, &connections, &s.connections) == -1 ||
	    read_number(p, object, &cold, &s.cold_ms) == -1 ||
	    json_get_real(p->j, object, "cold_per_s", 0, DBL_MAX, &s.cold_per_s,
		e) == -1 ||
	    json_check_unused(p->j, object, e) == -1) {
		p->r->ninvalid++;
		return;
	}
	s.health_path = g_string_chunk_insert_const(p->r->strings, path);
	s.cold_per_s = MIN(s.cold_per_s, RATE_MAX);
	p->r->service[p->r->nservice++] = s;
}

static int
read_services(struct reader *p, int object)
{
	int i, list,
	    got = json_get_array(p->j, object, "services", &list, p->e);

	if (got != 1)
		return got;
	p->r->service =
	    g_new0(struct routing_service, json_count(p->j, list) + 1);
	for (i = 0; i < json_count(p->j, list); i++)
		read_service(p, json_item(p->j, list, i));
	return 0;
}

/* Invalid limits count as not given. */
static void
read_limits(struct reader *p, int object)
{
	static const struct int_field head = { "head_bytes", 256, 1 << 24 };
	static const struct int_field head_ms = { "head_ms", 1, MS_MAX };
	static const struct int_field idle_ms = { "idle_ms", 1, MS_MAX };
	struct routing_limits l = { 0 };
	struct kq_error *e = entry_error(p);
	int node, got = json_get_object(p->j, object, "limits", &node, e);

	if (!got)
		return;
	if (got == -1 || read_number(p, node, &head, &l.head_bytes) == -1 ||
	    json_get_int(p->j, node, "body_bytes", 0, INT64_MAX, &l.body_bytes,
		e) == -1 ||
	    read_number(p, node, &head_ms, &l.head_ms) == -1 ||
	    read_number(p, node, &idle_ms, &l.idle_ms) == -1 ||
	    json_check_unused(p->j, node, e) == -1)
		p->r->ninvalid++;
	else
		p->r->limits = l;
}

struct routing *
routing_read(const char *text, size_t n, struct kq_error *e)
{
	struct reader p = { .j = fields_parse(text, n, e), .e = e };
	int o, bad;

	if (!p.j)
		return NULL;
	o = json_root(p.j);
	p.r = routing_new();
	bad = read_routes(&p, o) == -1 || read_services(&p, o) == -1 ||
	      organisations_read(p.j, o, p.r, e) == -1;
	if (!bad) {
		read_limits(&p, o);
		bad = json_check_unused(p.j, o, p.e) == -1;
	}
	json_free(p.j);
	if (bad) {
		routing_unref(p.r);
		return NULL;
	}
	routing_sort(p.r);
	return p.r;
}
