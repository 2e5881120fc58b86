#include "rule.h"

#include <string.h>

#define PATH_MAX_BYTES 2048 /* a longer path matches no rule */

int
service_idempotent(const struct service *s, const char *method,
    const char *path)
{
	char copy[PATH_MAX_BYTES];
	size_t n = strcspn(path, "?");
	int i;

	if (s->removed || n >= sizeof copy)
		return 0;
	memcpy(copy, path, n);
	copy[n] = '\0';
	if (!service_path_canonical(copy))
		return 0;
	for (i = 0; i < s->nrule; i++) {
		if (service_rule_matches(&s->rule[i], method, copy))
			return s->rule[i].idempotent;
	}
	return 0;
}
