#include "adapter/settings/table.h"

#include <string.h>

#define KEY_DIGITS (2 * FLEET_KEY_BYTES)

/* Reads 64 hex digits as the next key. Returns NULL or an error message. */
static const char *
add_key(struct settings *s, const char *text)
{
	unsigned char *key = s->fleet_key[s->nkey];
	int i;

	if (strlen(text) != KEY_DIGITS)
		return "a fleet key must be 64 hex digits";
	for (i = 0; i < KEY_DIGITS; i++) {
		int digit = g_ascii_xdigit_value(text[i]);

		if (digit < 0)
			return "a fleet key must be 64 hex digits";
		key[i / 2] = (unsigned char)(key[i / 2] << 4 | digit);
	}
	if (s->nkey == 1 && memcmp(s->fleet_key[0], key, FLEET_KEY_BYTES) == 0)
		return "the two fleet keys are equal";
	s->nkey++;
	return NULL;
}

int
settings_keys_read(struct settings *s, struct json *j, int object,
    struct kq_error *e)
{
	int i, list, r = json_get_array(j, object, "fleet_keys", &list, e);

	if (r != 1)
		return r;
	if (json_count(j, list) < 1 || json_count(j, list) > SETTINGS_KEYS_MAX)
		return json_fail(j, list, e, JSON_E_RANGE,
		    "\"fleet_keys\" must hold 1 or %d keys", SETTINGS_KEYS_MAX);
	for (i = 0; i < json_count(j, list); i++) {
		int node = json_item(j, list, i);
		const char *wrong;

		if (json_check_type(j, node, JSON_STRING, e) == -1)
			return -1;
		wrong = add_key(s, json_text(j, node));
		if (wrong)
			return json_fail(j, node, e, JSON_E_VALUE, "%s", wrong);
	}
	return 0;
}

/* Adds the key of each line that is not blank. Returns NULL, or an error
 * message with the number of the line, counted from 1, in @line. */
static const char *
add_lines(struct settings *s, char *text, int *line)
{
	char **lines = g_strsplit(text, "\n", -1);
	const char *wrong = NULL;

	for (*line = 0; lines[*line] && !wrong; ++*line) {
		g_strstrip(lines[*line]);
		if (!lines[*line][0])
			continue;
		wrong = s->nkey < SETTINGS_KEYS_MAX ? add_key(s, lines[*line])
						    : "more than two keys";
	}
	g_strfreev(lines);
	return wrong;
}

int
settings_key_file_read(struct settings *s, struct json *j, int object,
    struct kq_error *e)
{
	const char *wrong;
	char *text;
	int line, node = json_get(j, object, "fleet_key_file");
	int r = json_get_string(j, object, "fleet_key_file", s->fleet_key_file,
	    sizeof s->fleet_key_file, e);

	if (r == -1)
		return -1;
	if (r == 0 && s->nkey > 0)
		return 0;
	if (r == 0)
		return json_fail(j, object, e, JSON_E_MISSING,
		    "key \"fleet_keys\" or \"fleet_key_file\" is missing");
	if (s->nkey > 0)
		return json_fail_key(j, node, e, JSON_E_VALUE,
		    "\"fleet_key_file\" contradicts \"fleet_keys\"");
	if (!g_file_get_contents(s->fleet_key_file, &text, NULL, NULL))
		return json_fail(j, node, e, JSON_E_VALUE,
		    "can't read key file %s", s->fleet_key_file);
	wrong = add_lines(s, text, &line);
	g_free(text);
	if (wrong)
		return json_fail(j, node, e, JSON_E_VALUE, "%s line %d: %s",
		    s->fleet_key_file, line, wrong);
	if (s->nkey == 0)
		return json_fail(j, node, e, JSON_E_VALUE, "%s contains no key",
		    s->fleet_key_file);
	return 0;
}
