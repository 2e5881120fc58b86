#include "dialect.h"

#include <string.h>

const struct dialect *
dialect_find(const char *name)
{
	static const struct dialect *const all[] = { &dialect_own,
		&dialect_platform, NULL };
	int i;

	for (i = 0; all[i]; i++)
		if (!strcmp(all[i]->name, name))
			return all[i];
	return NULL;
}
