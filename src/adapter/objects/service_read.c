#include "adapter/objects/fields.h"
#include "adapter/objects/rules.h"
#include "objects.h"

#include <string.h>

#define TIMEOUT_MS_MAX 600000
#define IDLE_MS_MAX 86400000
#define COUNT_MAX 100000
#define MEASURE_PER_S_MAX 1000.0

static int
read_cold(struct json *j, int object, struct service *s, struct kq_error *e)
{
	static const struct int_field limit = { "limit", 1, COUNT_MAX };
	static const struct int_field calls = { "calls", 0, COUNT_MAX };
	static const struct int_field idle = { "idle_ms", 1, IDLE_MS_MAX };
	const struct int_field good = { "good_ms", 1, s->timeout_ms };
	int node, r = json_get_object(j, object, "cold", &node, e);

	if (r != 1)
		return r;
	if (fields_int(j, node, &limit, &s->cold_limit, e) == -1 ||
	    fields_int(j, node, &calls, &s->cold_calls, e) == -1 ||
	    fields_int(j, node, &good, &s->cold_good_ms, e) == -1 ||
	    fields_int(j, node, &idle, &s->cold_idle_ms, e) == -1)
		return -1;
	return json_check_unused(j, node, e);
}

static int
read_service(struct json *j, struct service *s, struct kq_error *e)
{
	static const struct int_field timeout = { "timeout_ms", 1,
		TIMEOUT_MS_MAX };
	static const struct int_field queue = { "queue_max", 0, COUNT_MAX };
	char publication[PUBLICATION_MAX];
	int o = json_root(j);

	if (fields_publication(j, o, publication, e) == -1 ||
	    fields_name(j, o, "service", s->name, sizeof s->name, e) == -1 ||
	    rules_read(j, o, s, e) == -1 ||
	    fields_int(j, o, &timeout, &s->timeout_ms, e) == -1 ||
	    json_get_real(j, o, "measure_per_s", 0, MEASURE_PER_S_MAX,
		&s->measure_per_s, e) == -1)
		return -1;
	s->cold_good_ms = MIN(SERVICE_COLD_GOOD_MS, s->timeout_ms);
	if (read_cold(j, o, s, e) == -1 ||
	    fields_int(j, o, &queue, &s->queue_max, e) == -1 ||
	    json_get_real(j, o, "retry_ratio", 0, 1, &s->retry_ratio, e) ==
		-1 ||
	    json_get_bool(j, o, "hedge", &s->hedge, e) == -1)
		return -1;
	return json_check_unused(j, o, e);
}

int
service_read(struct service *s, const char *text, size_t n, struct kq_error *e)
{
	struct json *j = fields_parse(text, n, e);
	int r;

	memset(s, 0, sizeof *s);
	if (!j)
		return -1;
	s->timeout_ms = SERVICE_TIMEOUT_MS;
	s->measure_per_s = SERVICE_MEASURE_PER_S;
	s->cold_limit = SERVICE_COLD_LIMIT;
	s->cold_calls = SERVICE_COLD_CALLS;
	s->cold_idle_ms = SERVICE_COLD_IDLE_MS;
	s->queue_max = SERVICE_QUEUE_MAX;
	s->retry_ratio = SERVICE_RETRY_RATIO;
	s->hedge = SERVICE_HEDGE;
	r = read_service(j, s, e);
	json_free(j);
	return r;
}
