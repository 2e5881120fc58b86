#include "adapter/json/json_impl.h"

#include <string.h>

#define NEAR_MAX 4 /* edits at most between a key and its suggestion */
#define NEAR_BYTES 64 /* longer keys get no suggestion */

/* Levenshtein distance between two keys (inserted, deleted and replaced bytes),
 * computed row by row. */
static int
edit_distance(const char *a, const char *b)
{
	int row[NEAR_BYTES + 1];
	int i, j, n = (int)strlen(b);

	for (j = 0; j <= n; j++)
		row[j] = j;
	for (i = 1; a[i - 1]; i++) {
		int corner = row[0];

		row[0] = i;
		for (j = 1; j <= n; j++) {
			int edit = corner + (a[i - 1] != b[j - 1]);

			corner = row[j];
			edit = MIN(edit, row[j] + 1);
			row[j] = MIN(edit, row[j - 1] + 1);
		}
	}
	return row[n];
}

/* Returns the looked-up key closest to @key, or NULL if none is close. */
static const char *
nearest_key(const struct json *j, int object, const char *key)
{
	const char *found = NULL;
	int best = NEAR_MAX + 1;
	guint i;

	if (strlen(key) > NEAR_BYTES)
		return NULL;
	for (i = 0; i < j->lookups->len; i++) {
		const struct json_lookup *a =
		    &g_array_index(j->lookups, struct json_lookup, i);
		int d;

		if (a->object != object || strlen(a->key) > NEAR_BYTES)
			continue;
		d = edit_distance(key, a->key);
		if (d < best && d < (int)strlen(key)) {
			best = d;
			found = a->key;
		}
	}
	return found;
}

int
json_check_unused(const struct json *j, int object, struct kq_error *e)
{
	int i, n = json_count(j, object);

	for (i = 0; i < n; i++) {
		int node = json_item(j, object, i);
		const char *key = json_key(j, node), *near;

		if (json_node_at(j, node)->used)
			continue;
		near = nearest_key(j, object, key);
		if (!near)
			return json_fail_key(j, node, e, JSON_E_UNKNOWN,
			    "unknown key \"%s\"", key);
		return json_fail_key(j, node, e, JSON_E_UNKNOWN,
		    "unknown key \"%s\"; the nearest is \"%s\"", key, near);
	}
	return 0;
}
