#include "routing.h"

#include <string.h>

#include "adapter/objects/fields.h"

#define MS_MAX 3600000
#define WEIGHT_MAX 1000000
#define ATTEMPTS_MAX 100
#define PRIORITY_MAX 1000
#define CONNECTIONS_MAX 1000000
#define RATE_MAX 1e6
#define DEFAULT_TIMEOUT_MS 1000
#define DEFAULT_ATTEMPTS 2

static int
read_parts(struct json *j, int object, struct route *r, struct kq_error *e)
{
	int i, list, item, weight, sum = 0;
	struct route_part *p;
	const struct int_field f = { "weight", 0, WEIGHT_MAX };

	if (json_get_array(j, object, "services", &list, e) != 1)
		return json_fail(j, object, e, JSON_E_MISSING,
		    "a route needs \"services\"");
	for (i = 0; i < json_count(j, list); i++) {
		if (r->npart == ROUTE_PARTS_MAX)
			return json_fail(j, list, e, JSON_E_RANGE,
			    "more than %d services", ROUTE_PARTS_MAX);
		item = json_item(j, list, i);
		p = &r->part[r->npart++];
		weight = 1;
		if (json_check_type(j, item, JSON_OBJECT, e) == -1 ||
		    fields_name(j, item, "service", p->service,
			sizeof p->service, e) == -1 ||
		    fields_int(j, item, &f, &weight, e) == -1 ||
		    json_check_unused(j, item, e) == -1)
			return -1;
		p->weight = weight;
		sum += weight;
	}
	if (sum > 0)
		return 0;
	return json_fail(j, list, e, JSON_E_VALUE,
	    "the sum of the weights is 0");
}

static int
read_prefix(struct json *j, int object, struct route *r, struct kq_error *e)
{
	size_t n;

	if (json_require(j, object, "prefix", e) == JSON_NONE ||
	    json_get_string(j, object, "prefix", r->prefix, sizeof r->prefix,
		e) == -1)
		return -1;
	n = strlen(r->prefix);
	if (r->prefix[0] == '/' && r->prefix[n - 1] == '/')
		return 0;
	return json_fail(j, json_get(j, object, "prefix"), e, JSON_E_VALUE,
	    "\"prefix\" must begin and end with a slash");
}

static int
read_route(struct json *j, int object, struct route *r, struct kq_error *e)
{
	static const struct int_field timeout = { "timeout_ms", 1, MS_MAX };
	static const struct int_field objective = { "objective_ms", 1, MS_MAX };
	static const struct int_field priority = { "priority", 0,
		PRIORITY_MAX };
	static const struct int_field attempts = { "attempts", 1,
		ATTEMPTS_MAX };

	r->timeout_ms = DEFAULT_TIMEOUT_MS;
	r->max_attempts = DEFAULT_ATTEMPTS;
	if (json_check_type(j, object, JSON_OBJECT, e) == -1 ||
	    json_require(j, object, "host", e) == JSON_NONE ||
	    json_get_string(j, object, "host", r->host, sizeof r->host, e) ==
		-1 ||
	    read_prefix(j, object, r, e) == -1 ||
	    json_get_bool(j, object, "idempotent", &r->idempotent, e) == -1 ||
	    fields_int(j, object, &timeout, &r->timeout_ms, e) == -1)
		return -1;
	r->objective_ms = r->timeout_ms;
	if (fields_int(j, object, &objective, &r->objective_ms, e) == -1 ||
	    fields_int(j, object, &priority, &r->priority, e) == -1 ||
	    fields_int(j, object, &attempts, &r->max_attempts, e) == -1 ||
	    read_parts(j, object, r, e) == -1)
		return -1;
	return json_check_unused(j, object, e);
}

static int
read_routes(struct json *j, int object, struct routing *r, struct kq_error *e)
{
	int i, list, got = json_get_array(j, object, "routes", &list, e);

	if (got != 1)
		return got;
	r->route = g_new0(struct route, json_count(j, list) + 1);
	for (i = 0; i < json_count(j, list); i++)
		if (read_route(j, json_item(j, list, i), &r->route[r->nroute++],
			e) == -1)
			return -1;
	return 0;
}

static int
read_service(struct json *j, int object, struct routing_service *s,
    struct kq_error *e)
{
	static const struct int_field connections = { "connections", 1,
		CONNECTIONS_MAX };
	static const struct int_field cold = { "cold_ms", 0, MS_MAX };

	if (json_check_type(j, object, JSON_OBJECT, e) == -1 ||
	    fields_name(j, object, "service", s->name, sizeof s->name, e) ==
		-1 ||
	    json_get_string(j, object, "health_path", s->health_path,
		sizeof s->health_path, e) == -1 ||
	    fields_int(j, object, &connections, &s->connections, e) == -1 ||
	    fields_int(j, object, &cold, &s->cold_ms, e) == -1 ||
	    json_get_real(j, object, "cold_per_s", 0, RATE_MAX, &s->cold_per_s,
		e) == -1)
		return -1;
	return json_check_unused(j, object, e);
}

static int
read_services(struct json *j, int object, struct routing *r, struct kq_error *e)
{
	int i, list, got = json_get_array(j, object, "services", &list, e);

	if (got != 1)
		return got;
	r->service = g_new0(struct routing_service, json_count(j, list) + 1);
	for (i = 0; i < json_count(j, list); i++)
		if (read_service(j, json_item(j, list, i),
			&r->service[r->nservice++], e) == -1)
			return -1;
	return 0;
}

static int
read_limits(struct json *j, int object, struct routing_limits *l,
    struct kq_error *e)
{
	static const struct int_field head = { "head_bytes", 256, 1 << 24 };
	static const struct int_field head_ms = { "head_ms", 1, MS_MAX };
	static const struct int_field idle_ms = { "idle_ms", 1, MS_MAX };
	int node, got = json_get_object(j, object, "limits", &node, e);

	if (got != 1)
		return got;
	if (fields_int(j, node, &head, &l->head_bytes, e) == -1 ||
	    json_get_int(j, node, "body_bytes", 0, INT64_MAX, &l->body_bytes,
		e) == -1 ||
	    fields_int(j, node, &head_ms, &l->head_ms, e) == -1 ||
	    fields_int(j, node, &idle_ms, &l->idle_ms, e) == -1)
		return -1;
	return json_check_unused(j, node, e);
}

struct routing *
routing_read(const char *text, size_t n, struct kq_error *e)
{
	struct json *j = fields_parse(text, n, e);
	struct routing *r;
	int o, bad;

	if (!j)
		return NULL;
	o = json_root(j);
	r = routing_new();
	bad = read_routes(j, o, r, e) == -1 ||
	      read_services(j, o, r, e) == -1 ||
	      read_limits(j, o, &r->limits, e) == -1 ||
	      json_check_unused(j, o, e) == -1;
	json_free(j);
	if (bad) {
		routing_unref(r);
		return NULL;
	}
	routing_sort(r);
	return r;
}
