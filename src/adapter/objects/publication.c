#include "adapter/objects/fields.h"
#include "objects.h"

#include <string.h>

int
fields_publication(struct json *j, int object, char id[PUBLICATION_MAX],
    struct kq_error *e)
{
	static const char chars[] =
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-";
	int r;

	id[0] = '\0';
	r = json_get_string(j, object, "publication", id, PUBLICATION_MAX, e);
	if (r != 1)
		return r;
	if (id[strspn(id, chars)] == '\0')
		return 0;
	return json_fail(j, json_get(j, object, "publication"), e, JSON_E_VALUE,
	    "\"publication\" must be letters, digits and \"-\"");
}

void
publication_add(GString *value, const char *id)
{
	GString *key = g_string_new("\"publication\":");

	json_append_string(key, id);
	g_string_append_c(key, ',');
	g_string_insert_len(value, 1, key->str, (gssize)key->len);
	g_string_free(key, TRUE);
}

int
publication_read(char id[PUBLICATION_MAX], const char *text, size_t n,
    struct kq_error *e)
{
	struct json *j = fields_parse(text, n, e);
	int r;

	id[0] = '\0';
	if (!j)
		return -1;
	r = fields_publication(j, json_root(j), id, e);
	json_free(j);
	return r;
}
