#include <string.h>
#include <strings.h>

#include "daemon/inbound/inbound.h"
#include "daemon/outbound/outbound.h"

static char *
append_string(char **end, const char *s)
{
	size_t n = strlen(s) + 1;
	char *p = memcpy(*end, s, n);

	*end += n;
	return p;
}

void
head_copy(struct head_copy *h, const char *method, const char *path,
    int64_t length, const struct http_field *f, int nfield)
{
	size_t n = 0;
	char *end;
	int i;

	n += method ? strlen(method) + 1 : 0;
	n += path ? strlen(path) + 1 : 0;
	for (i = 0; i < nfield; i++)
		n += strlen(f[i].name) + strlen(f[i].value) + 2;
	h->bytes = n + 1;
	h->block = g_malloc(h->bytes);
	end = h->block;
	h->method = method ? append_string(&end, method) : NULL;
	h->path = path ? append_string(&end, path) : NULL;
	h->length = length;
	h->nfield = 0;
	for (i = 0; i < nfield; i++) {
		if (field_is_hop_by_hop(f[i].name))
			continue;
		h->field[h->nfield].name = append_string(&end, f[i].name);
		h->field[h->nfield].value = append_string(&end, f[i].value);
		h->nfield++;
	}
}

void
head_copy_clear(struct head_copy *h)
{
	g_free(h->block);
	h->block = NULL;
	h->bytes = 0;
	h->nfield = 0;
}

const char *
head_copy_find(const struct head_copy *h, const char *name)
{
	int i;

	for (i = 0; i < h->nfield; i++)
		if (!strcasecmp(h->field[i].name, name))
			return h->field[i].value;
	return NULL;
}

const char *
data_request_id(const struct data *d, const struct head_copy *h, const char *id)
{
	const char *name = d->dialect->attempt_field;
	const char *attempt = name ? head_copy_find(h, name) : NULL;

	if (attempt)
		return attempt;
	return *id ? id : "none";
}

int
field_is_hop_by_hop(const char *name)
{
	static const char *const names[] = { "Connection", "Keep-Alive",
		"Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",
		"Trailer", "Upgrade", "Expect" };
	size_t i;

	for (i = 0; i < sizeof names / sizeof *names; i++)
		if (!strcasecmp(name, names[i]))
			return 1;
	return 0;
}
