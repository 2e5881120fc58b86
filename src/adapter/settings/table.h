#ifndef KQ_SETTINGS_TABLE_H
#define KQ_SETTINGS_TABLE_H

#include <stddef.h>

#include "json.h"
#include "settings.h"

enum setting_type {
	SETTING_NAME,
	SETTING_IP,
	SETTING_PORT, /* a number, or "IP:PORT" */
	SETTING_ADDRESS, /* "IP:PORT" */
	SETTING_INT,
	SETTING_INT64,
	SETTING_REAL,
	SETTING_LEVEL,
	SETTING_PEERS,
	SETTING_KEYS,
	SETTING_KEY_FILE
};

/**
 * struct setting - one row of the table of settings
 * @group: key of the object that holds it, or NULL for the outermost object
 * @offset: offset of its value in struct settings
 * @min, @max: smallest and largest number allowed, or number of entries of an
 *	array
 * @default_text: default, as documented; "none" if the setting is unset without
 *	its key; NULL if the key is required
 * @meaning: one-line description for docs/SETTINGS.md
 */
struct setting {
	const char *group;
	const char *key;
	enum setting_type type;
	size_t offset;
	double min;
	double max;
	const char *default_text;
	const char *meaning;
};

extern const struct setting settings_table[];
extern const int settings_table_count;

/** settings_value_read() - read one setting from its object, or use its default
 * if the key is absent; @object is JSON_NONE if the group is absent. Return: 0
 * or -1 */
int settings_value_read(struct settings *, const struct setting *,
    struct json *, int object, struct kq_error *);
/** settings_name_size() - return the size of a SETTING_NAME value, bytes */
size_t settings_name_size(const struct setting *);
/** settings_peers_read() - read "peers". Return: 0 or -1 */
int settings_peers_read(struct settings *, struct json *, int object,
    struct kq_error *);
/** settings_keys_read() - read "fleet_keys". Return: 0 or -1 */
int settings_keys_read(struct settings *, struct json *, int object,
    struct kq_error *);
/** settings_key_file_read() - read the file named by "fleet_key_file", one key
 * per line. Return: 0 or -1 */
int settings_key_file_read(struct settings *, struct json *, int object,
    struct kq_error *);

#endif
