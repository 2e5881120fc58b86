#include "adapter/settings/table.h"

#include <string.h>

#include "adapter/objects/fields.h"

static int
read_peer(struct settings_address *a, struct json *j, int node,
    struct kq_error *e)
{
	if (json_check_type(j, node, JSON_OBJECT, e) == -1 ||
	    fields_ip(j, node, "ip", a->ip, sizeof a->ip, e) == -1 ||
	    fields_port(j, node, "port", &a->port, e) == -1)
		return -1;
	return json_check_unused(j, node, e);
}

static int
peer_listed(const struct settings *s, const struct settings_address *a)
{
	int i;

	for (i = 0; i < s->npeer; i++) {
		if (s->peer[i].port == a->port &&
		    strcmp(s->peer[i].ip, a->ip) == 0)
			return 1;
	}
	return 0;
}

int
settings_peers_read(struct settings *s, struct json *j, int object,
    struct kq_error *e)
{
	int i, list, r = json_get_array(j, object, "peers", &list, e);

	if (r != 1)
		return r;
	if (json_count(j, list) > SETTINGS_PEERS_MAX)
		return json_fail(j, json_item(j, list, SETTINGS_PEERS_MAX), e,
		    JSON_E_RANGE, "more than %d peers", SETTINGS_PEERS_MAX);
	for (i = 0; i < json_count(j, list); i++) {
		int node = json_item(j, list, i);

		if (read_peer(&s->peer[i], j, node, e) == -1)
			return -1;
		if (peer_listed(s, &s->peer[i]))
			return json_fail(j, node, e, JSON_E_VALUE,
			    "peer is listed twice");
		s->npeer++;
	}
	return 0;
}
