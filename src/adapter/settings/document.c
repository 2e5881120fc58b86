#include "adapter/settings/table.h"

#include <string.h>

static const char *
type_name(enum setting_type type)
{
	static const char *const names[] = { "name", "IPv4 address",
		"integer or IP:PORT", "IP:PORT", "integer", "integer", "number",
		"string", "array", "array of strings", "path" };

	return names[type];
}

static void
document_range(GString *out, const struct setting *d)
{
	if (d->max <= 0)
		g_string_append(out, "| ");
	else if (d->type == SETTING_PEERS || d->type == SETTING_KEYS)
		g_string_append_printf(out, "| %.0f to %.0f entries ", d->min,
		    d->max);
	else
		g_string_append_printf(out, "| %.0f to %.0f ", d->min, d->max);
}

void
settings_print_table(GString *out)
{
	int i;

	g_string_append(out, "| setting | type | range | default | meaning |\n"
			     "|---|---|---|---|---|\n");
	for (i = 0; i < settings_table_count; i++) {
		const struct setting *d = &settings_table[i];

		g_string_append_printf(out, "| `%s%s%s` | %s ",
		    d->group ? d->group : "", d->group ? "." : "", d->key,
		    type_name(d->type));
		document_range(out, d);
		g_string_append_printf(out, "| %s | %s |\n",
		    d->default_text ? d->default_text : "required", d->meaning);
	}
}
