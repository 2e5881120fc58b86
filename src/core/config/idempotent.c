#include "rule.h"

#include <string.h>

#define PATH_BYTES 2048 /* a longer path matches no rule */

int
service_idempotent(const struct service *s, const char *method,
    const char *path)
{
	char plain[PATH_BYTES];
	size_t n = strcspn(path, "?");
	int i;

	if (s->removed || n >= sizeof plain)
		return 0;
	memcpy(plain, path, n);
	plain[n] = '\0';
	if (!service_path_plain(plain))
		return 0;
	for (i = 0; i < s->nrule; i++) {
		if (service_rule_matches(&s->rule[i], method, plain))
			return s->rule[i].idempotent;
	}
	return 0;
}
