#include "config.h"

#include <string.h>

static const char *const names[CONFIG_KINDS] = { "service", "datacentre",
	"instance", "routing", "address", "rollout" };

const char *
config_kind_name(int kind)
{
	return kind >= 0 && kind < CONFIG_KINDS ? names[kind] : NULL;
}

int
config_kind_of(const char *name)
{
	int i;

	for (i = 0; i < CONFIG_KINDS; i++) {
		if (strcmp(names[i], name) == 0)
			return i;
	}
	return -1;
}
