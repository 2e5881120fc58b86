#include "adapter/settings/table.h"

#include <string.h>

/* Whether a changed value takes effect while the daemon runs. */
static int
is_live(const struct setting *d)
{
	static const char *const groups[] = { "limits", "retries", "log",
		"platform", "crossing" };
	static const char *const keys[] = { "grace_s", "leave_ms", "service" };
	size_t i;

	for (i = 0; d->group && i < sizeof groups / sizeof *groups; i++)
		if (!strcmp(d->group, groups[i]))
			return 1;
	for (i = 0; !d->group && i < sizeof keys / sizeof *keys; i++)
		if (!strcmp(d->key, keys[i]))
			return 1;
	return 0;
}

/* Returns the size of the value in struct settings, bytes. */
static size_t
value_size(const struct setting *d)
{
	switch (d->type) {
	case SETTING_NAME:
		return settings_name_size(d);
	case SETTING_IP:
		return IP_TEXT_MAX;
	case SETTING_ADDRESS:
		return sizeof(struct settings_address);
	case SETTING_INT64:
		return sizeof(int64_t);
	case SETTING_REAL:
		return sizeof(double);
	case SETTING_LEVEL:
		return sizeof(enum log_level);
	case SETTING_PEERS:
		return sizeof(struct settings_address) * SETTINGS_PEERS_MAX;
	case SETTING_KEYS:
		return SETTINGS_KEYS_MAX * FLEET_KEY_BYTES;
	case SETTING_KEY_FILE:
		return SETTINGS_PATH_MAX;
	default:
		return sizeof(int);
	}
}

int
settings_compare(const struct settings *a, const struct settings *b,
    settings_compare_fn *fn, void *ctx)
{
	int i, n = 0;

	for (i = 0; i < settings_table_count; i++) {
		const struct setting *d = &settings_table[i];

		if (!memcmp((const char *)a + d->offset,
			(const char *)b + d->offset, value_size(d)))
			continue;
		n++;
		fn(ctx, d->group, d->key, is_live(d));
	}
	return n;
}

void
settings_copy_live(struct settings *s, const struct settings *from)
{
	int i;

	for (i = 0; i < settings_table_count; i++) {
		const struct setting *d = &settings_table[i];

		if (is_live(d))
			memcpy((char *)s + d->offset,
			    (const char *)from + d->offset, value_size(d));
	}
}
