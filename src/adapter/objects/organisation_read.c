#include "adapter/objects/organisation_read.h"

#include <float.h>
#include <sodium.h>
#include <string.h>

#define RATE_MAX 1e9 /* requests per second, and requests of a burst */

/* State of the parser: the routing being read, and the first error in it. */
struct reader {
	struct json *j;
	struct routing *r;
	struct kq_error *e;
};

/* Where the error of an entry is to be stored: only the first one is kept. */
static struct kq_error *
entry_error(struct reader *p)
{
	return p->r->ninvalid ? NULL : p->e;
}

/* Reads a name, which becomes the value of a header field; 0 or -1. */
static int
read_name(struct reader *p, int object, const char **text)
{
	char name[ORGANISATION_NAME_MAX];
	struct kq_error *e = entry_error(p);
	int node = json_require(p->j, object, "name", e);
	const char *c;

	if (node == JSON_NONE ||
	    json_get_string(p->j, object, "name", name, sizeof name, e) != 1)
		return -1;
	for (c = name; *c; c++)
		if (!g_ascii_isgraph(*c))
			return json_fail(p->j, node, e, JSON_E_VALUE,
			    "\"name\" must be visible ASCII");
	*text = g_string_chunk_insert_const(p->r->strings, name);
	return 0;
}

/* Reads an optional number that is at least 0; one above the maximum counts as
 * the maximum. 0 or -1. */
static int
read_number(struct reader *p, int object, const char *key, double max,
    double *value)
{
	if (json_get_real(p->j, object, key, 0, DBL_MAX, value,
		entry_error(p)) == -1)
		return -1;
	*value = MIN(*value, max);
	return 0;
}

/* Whether a key can be the value of a header field. */
static int
key_valid(const char *text)
{
	const char *c;

	for (c = text; *c; c++)
		if (g_ascii_iscntrl(*c))
			return 0;
	return c > text && c - text <= ORGANISATION_KEY_MAX;
}

/* Adds the valid keys of a list. */
static void
read_keys(struct reader *p, int list, int organisation)
{
	const char *text;
	int i, node;

	for (i = 0; i < json_count(p->j, list); i++) {
		node = json_item(p->j, list, i);
		text = json_text(p->j, node);
		if (text && key_valid(text)) {
			routing_keys_add(p->r->keys, text, organisation);
			continue;
		}
		json_fail(p->j, node, entry_error(p), JSON_E_VALUE,
		    "a key must be a string of 1 to %d bytes without control "
		    "characters",
		    ORGANISATION_KEY_MAX);
		p->r->ninvalid++;
	}
}

/* Reads an organisation without its keys; 0 or -1. */
static int
read_terms(struct reader *p, int object, struct routing_organisation *o,
    int *list)
{
	double priority = 0;

	if (json_check_type(p->j, object, JSON_OBJECT, entry_error(p)) == -1 ||
	    read_name(p, object, &o->name) ||
	    read_number(p, object, "priority", ORGANISATION_PRIORITY_MAX,
		&priority) ||
	    read_number(p, object, "rate_per_s", RATE_MAX, &o->rate_per_s) ||
	    read_number(p, object, "burst", RATE_MAX, &o->burst) ||
	    json_get_array(p->j, object, "keys", list, entry_error(p)) == -1)
		return -1;
	o->priority = (int)priority;
	return json_check_unused(p->j, object, entry_error(p));
}

static void
read_organisation(struct reader *p, int object)
{
	struct routing_organisation o = { 0 };
	int i, list = JSON_NONE;

	if (read_terms(p, object, &o, &list)) {
		p->r->ninvalid++;
		return;
	}
	i = routing_add_organisation(p->r, &o);
	if (i == -1) {
		json_fail(p->j, object, entry_error(p), JSON_E_VALUE,
		    "another organisation has the name \"%s\"", o.name);
		p->r->ninvalid++;
	} else if (list != JSON_NONE) {
		read_keys(p, list, i);
	}
}

int
organisations_read(struct json *j, int object, struct routing *r,
    struct kq_error *e)
{
	struct reader p = { j, r, e };
	unsigned char secret[ROUTING_SECRET_BYTES];
	int i, n, list,
	    got = json_get_array(j, object, "organisations", &list, e);

	if (got != 1)
		return got;
	n = json_count(j, list);
	r->needs_key = n > 0;
	if (!n)
		return 0;
	randombytes_buf(secret, sizeof secret);
	r->keys = routing_keys_new(secret);
	for (i = 0; i < n; i++)
		read_organisation(&p, json_item(j, list, i));
	n = routing_keys_sort(r->keys);
	if (n)
		json_fail(j, list, entry_error(&p), JSON_E_VALUE,
		    "%d keys belong to more than one organisation", n);
	r->ninvalid += n;
	return 0;
}
