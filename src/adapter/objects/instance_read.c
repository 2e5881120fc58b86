#include "adapter/objects/fields.h"
#include "objects.h"

#include <string.h>

#define INCARNATION_DIGITS 16

static int
read_incarnation(struct json *j, int object, uint64_t *incarnation,
    struct kq_error *e)
{
	const char *s;
	int i, node = json_require(j, object, "incarnation", e);

	if (node == JSON_NONE || json_check_type(j, node, JSON_STRING, e) == -1)
		return -1;
	s = json_text(j, node);
	*incarnation = 0;
	for (i = 0; g_ascii_isxdigit(s[i]) && !g_ascii_isupper(s[i]); i++)
		*incarnation =
		    *incarnation << 4 | (unsigned)g_ascii_xdigit_value(s[i]);
	if (i == INCARNATION_DIGITS && !s[i] && *incarnation != 0)
		return 0;
	return json_fail(j, node, e, JSON_E_VALUE,
	    "\"incarnation\" must be %d lower-case hex digits, not all 0",
	    INCARNATION_DIGITS);
}

static int
read_ports(struct json *j, int o, struct instance *i, struct kq_error *e)
{
	if (fields_port(j, o, "caller_port", &i->caller_port, e) == -1 ||
	    fields_port(j, o, "peer_port", &i->peer_port, e) == -1 ||
	    fields_port(j, o, "operator_port", &i->operator_port, e) == -1)
		return -1;
	return 0;
}

int
instance_read(struct instance *i, const char *text, size_t n,
    struct kq_error *e)
{
	struct json *j = fields_parse(text, n, e);
	int o, r = 0;

	memset(i, 0, sizeof *i);
	if (!j)
		return -1;
	o = json_root(j);
	if (read_incarnation(j, o, &i->incarnation, e) == -1 ||
	    fields_name_optional(j, o, "service", i->service, sizeof i->service,
		e) == -1 ||
	    fields_name(j, o, "datacentre", i->datacentre, sizeof i->datacentre,
		e) == -1 ||
	    fields_name_optional(j, o, "region", i->region, sizeof i->region,
		e) == -1 ||
	    fields_ip(j, o, "ip", i->ip, sizeof i->ip, e) == -1 ||
	    read_ports(j, o, i, e) == -1 || json_check_unused(j, o, e) == -1)
		r = -1;
	json_free(j);
	return r;
}
