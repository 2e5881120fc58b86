#include "adapter/objects/fields.h"
#include "objects.h"

#include <string.h>

#define RAMP_MS_MAX 3600000

static int
read_state(struct json *j, int object, enum datacentre_state *state,
    struct kq_error *e)
{
	char text[8];
	int node = json_require(j, object, "state", e);

	if (node == JSON_NONE ||
	    json_get_string(j, object, "state", text, sizeof text, e) == -1)
		return -1;
	if (strcmp(text, "in") == 0)
		*state = DATACENTRE_IN;
	else if (strcmp(text, "out") == 0)
		*state = DATACENTRE_OUT;
	else
		return json_fail(j, node, e, JSON_E_VALUE,
		    "\"state\" must be \"in\" or \"out\"");
	return 0;
}

int
datacentre_read(struct datacentre *d, const char *text, size_t n,
    struct kq_error *e)
{
	static const struct int_field ramp = { "ramp_ms", 0, RAMP_MS_MAX };
	struct json *j = fields_parse(text, n, e);
	char publication[PUBLICATION_MAX];
	int o, r = 0;

	memset(d, 0, sizeof *d);
	if (!j)
		return -1;
	o = json_root(j);
	d->ramp_ms = DATACENTRE_RAMP_MS;
	if (fields_publication(j, o, publication, e) == -1 ||
	    fields_name(j, o, "datacentre", d->name, sizeof d->name, e) == -1 ||
	    fields_name_optional(j, o, "region", d->region, sizeof d->region,
		e) == -1 ||
	    read_state(j, o, &d->state, e) == -1 ||
	    fields_int(j, o, &ramp, &d->ramp_ms, e) == -1 ||
	    json_check_unused(j, o, e) == -1)
		r = -1;
	json_free(j);
	return r;
}
