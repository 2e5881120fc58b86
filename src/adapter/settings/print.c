#include "adapter/settings/table.h"

#include <inttypes.h>
#include <string.h>

static void
print_peers(GString *out, const struct settings *s)
{
	int i;

	g_string_append_c(out, '[');
	for (i = 0; i < s->npeer; i++) {
		g_string_append_printf(out, "%s{\"ip\": \"%s\", \"port\": %d}",
		    i > 0 ? ", " : "", s->peer[i].ip, s->peer[i].port);
	}
	g_string_append_c(out, ']');
}

static void
print_real(GString *out, double value)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_string_append(out, g_ascii_dtostr(text, sizeof text, value));
}

/* Whether a setting is left out of the printed settings: an optional one that
 * is not set, the fleet keys, or platform.address. */
static int
is_hidden(const struct settings *s, const struct setting *d)
{
	const char *at = (const char *)s + d->offset;

	switch (d->type) {
	case SETTING_NAME:
	case SETTING_IP:
	case SETTING_KEY_FILE:
		return !at[0];
	case SETTING_ADDRESS:
		/* platform.address is printed as ip and port. */
		return d->group || !at[0];
	case SETTING_INT:
	case SETTING_PORT:
		return *(const int *)(const void *)at < d->min;
	case SETTING_KEYS:
		return 1;
	default:
		return 0;
	}
}

static void
print_value(GString *out, const struct settings *s, const struct setting *d)
{
	const void *at = (const char *)s + d->offset;

	switch (d->type) {
	case SETTING_INT:
	case SETTING_PORT:
		g_string_append_printf(out, "%d", *(const int *)at);
		break;
	case SETTING_INT64:
		g_string_append_printf(out, "%" PRId64, *(const int64_t *)at);
		break;
	case SETTING_REAL:
		print_real(out, *(const double *)at);
		break;
	case SETTING_LEVEL:
		json_append_string(out, log_level_name(s->log_level));
		break;
	case SETTING_ADDRESS:
		g_string_append_printf(out, "\"%s:%d\"",
		    ((const struct settings_address *)at)->ip,
		    ((const struct settings_address *)at)->port);
		break;
	case SETTING_PEERS:
		print_peers(out, s);
		break;
	default:
		json_append_string(out, at);
		break;
	}
}

static int
same_group(const char *a, const char *b)
{
	return a == b || (a && b && strcmp(a, b) == 0);
}

void
settings_print(GString *out, const struct settings *s)
{
	const char *group = NULL;
	const char *comma = "";
	int i;

	g_string_append_printf(out, "// fleet keys in force: %d\n{", s->nkey);
	for (i = 0; i < settings_table_count; i++) {
		const struct setting *d = &settings_table[i];

		if (is_hidden(s, d))
			continue;
		if (group && !same_group(group, d->group)) {
			g_string_append(out, "\n\t}");
			comma = ",";
		}
		if (d->group && !same_group(group, d->group)) {
			g_string_append_printf(out, "%s\n\t\"%s\": {", comma,
			    d->group);
			comma = "";
		}
		group = d->group;
		g_string_append_printf(out, "%s\n\t%s\"%s\": ", comma,
		    group ? "\t" : "", d->key);
		print_value(out, s, d);
		comma = ",";
	}
	g_string_append(out, group ? "\n\t}\n}\n" : "\n}\n");
}
