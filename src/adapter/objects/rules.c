#include "adapter/objects/rules.h"

#include <string.h>

#include "rule.h"

static int
read_method(struct json *j, int object, struct service_rule *r,
    struct kq_error *e)
{
	static const char upper[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
	int node = json_require(j, object, "method", e);

	if (node == JSON_NONE || json_get_string(j, object, "method", r->method,
				     sizeof r->method, e) == -1)
		return -1;
	if (strcmp(r->method, "*") == 0 ||
	    r->method[strspn(r->method, upper)] == '\0')
		return 0;
	return json_fail(j, node, e, JSON_E_VALUE,
	    "\"method\" must be upper-case letters, or \"*\" for any");
}

static int
read_path(struct json *j, int object, struct service_rule *r,
    struct kq_error *e)
{
	const char *star;
	int node = json_require(j, object, "path", e);

	if (node == JSON_NONE || json_get_string(j, object, "path", r->path,
				     sizeof r->path, e) == -1)
		return -1;
	star = strchr(r->path, '*');
	if (star && star[1])
		return json_fail(j, node, e, JSON_E_VALUE,
		    "\"*\" may only be the last character of \"path\"");
	if (strchr(r->path, '?'))
		return json_fail(j, node, e, JSON_E_VALUE,
		    "\"path\" must not have a query; rules match the path "
		    "alone");
	if (!service_path_canonical(r->path))
		return json_fail(j, node, e, JSON_E_VALUE,
		    "\"path\" must begin with \"/\" and have only one "
		    "spelling: no \"//\", \"/./\", \"/../\", \"%%\", \";\", "
		    "\"\\\" or \"#\"");
	return 0;
}

static int
read_rule(struct json *j, int node, struct service_rule *r, struct kq_error *e)
{
	if (json_check_type(j, node, JSON_OBJECT, e) == -1 ||
	    read_method(j, node, r, e) == -1 || read_path(j, node, r, e) == -1)
		return -1;
	if (json_require(j, node, "idempotent", e) == JSON_NONE ||
	    json_get_bool(j, node, "idempotent", &r->idempotent, e) == -1)
		return -1;
	return json_check_unused(j, node, e);
}

/* Refuses the last rule read if an earlier rule matches every request that it
 * matches exactly. Returns 0 or -1. */
static int
check_last_rule(struct json *j, int list, const struct service *s,
    struct kq_error *e)
{
	const struct service_rule *last = &s->rule[s->nrule - 1];
	int node = json_item(j, list, s->nrule - 1);
	int i;

	for (i = 0; i < s->nrule - 1; i++) {
		const struct service_rule *earlier = &s->rule[i];
		int line = json_line(j, json_item(j, list, i));

		if (!service_rule_covers(earlier, last))
			continue;
		if (strcmp(earlier->method, last->method) != 0 ||
		    strcmp(earlier->path, last->path) != 0)
			return json_fail(j, node, e, JSON_E_VALUE,
			    "rule can never match: the rule at line %d "
			    "covers it",
			    line);
		return json_fail(j, node, e, JSON_E_VALUE,
		    earlier->idempotent == last->idempotent
			? "rule appears twice, first at line %d"
			: "rule contradicts the rule at line %d",
		    line);
	}
	return 0;
}

int
rules_read(struct json *j, int object, struct service *s, struct kq_error *e)
{
	int i, list, r = json_get_array(j, object, "requests", &list, e);

	if (r != 1)
		return r;
	if (json_count(j, list) > SERVICE_RULES_MAX)
		return json_fail(j, json_item(j, list, SERVICE_RULES_MAX), e,
		    JSON_E_RANGE, "more than %d rules", SERVICE_RULES_MAX);
	for (i = 0; i < json_count(j, list); i++) {
		if (read_rule(j, json_item(j, list, i), &s->rule[i], e) == -1)
			return -1;
		s->nrule = i + 1;
		if (check_last_rule(j, list, s, e) == -1)
			return -1;
	}
	return 0;
}
