#include "peer_impl.h"

#define IN_KEEP_MAX 65536 /* bytes; a larger buffer is freed once used */

void
peer_input_add(struct peer_conn *c, const unsigned char *p, size_t n)
{
	g_byte_array_append(c->in, p, n);
}

static void
replace_buffer(struct peer_conn *c, size_t used)
{
	GByteArray *rest = g_byte_array_new();

	g_byte_array_append(rest, c->in->data + used, c->in->len - used);
	g_byte_array_unref(c->in);
	c->in = rest;
}

void
peer_input_remove(struct peer_conn *c, size_t used)
{
	if (c->in->len > IN_KEEP_MAX)
		replace_buffer(c, used);
	else
		g_byte_array_remove_range(c->in, 0, used);
}
