#include "check.h"

#include <stdio.h>
#include <string.h>

#define REPORT_LINES_MAX 24

const char *
rule_name(enum rule r)
{
	static const char *const names[] = { "measuring stays in its budget",
		"cold target bears its load",
		"data centre out gets no new work",
		"whole answer to its own request", "not run is true",
		"runs at most once", "leaving target gets no new work",
		"planned stop cuts nothing", "configuration never goes back",
		"configuration is in force in time" };

	return names[r];
}

const struct event *
check_event(const struct check *c, uint32_t index)
{
	return g_ptr_array_index(c->events, index);
}

int
check_is_direct(const struct check *c, const struct event *e)
{
	return !strcmp(e->who, c->options->direct);
}

void
report_breach(struct check *c, enum rule r, const struct event *from,
    const struct event *to, const char *field, const char *value)
{
	const struct event *e;
	uint32_t i, left = REPORT_LINES_MAX;

	if (c->breaches[r]++ >= (uint32_t)c->options->reports_max)
		return;
	printf("BREACH %s: %s %s\n", rule_name(r), field, value);
	for (i = from->index; i <= to->index; i++) {
		e = check_event(c, i);
		if (e != from && e != to && strcmp(event_get(e, field), value))
			continue;
		if (e != to && left == 1) {
			printf("    ...\n");
			i = to->index - 1;
			left = 2;
			continue;
		}
		printf("    %s\n", e->line);
		left--;
	}
}
