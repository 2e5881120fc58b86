#include "peer_impl.h"

#define IN_KEEP_MAX 65536 /* bytes; a larger buffer is freed once used */
/* bytes of incomplete records of all connections; a chunk of a body from each
 * of 990 members fits */
#define IN_SUM_MAX 33554432

void
peer_input_add(struct peer_conn *c, const unsigned char *p, size_t n)
{
	if (!c->in->len)
		c->in_since = io_now(c->node->loop);
	g_byte_array_append(c->in, p, n);
	c->node->in_sum += n;
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
	c->node->in_sum -= used;
	c->in_since = io_now(c->node->loop);
	if (c->in->len > IN_KEEP_MAX)
		replace_buffer(c, used);
	else
		g_byte_array_remove_range(c->in, 0, used);
}

void
peer_input_drop(struct peer_conn *c)
{
	c->node->in_sum -= c->in->len;
	g_byte_array_set_size(c->in, 0);
}

/* The connection whose record has been incomplete for the longest time, of
 * those that hold more than a call or a chunk; NULL if there is none. */
static struct peer_conn *
find_longest(const struct peer_node *n)
{
	struct peer_conn *c, *longest = NULL;
	guint i;

	for (i = 0; i < n->conns->len; i++) {
		c = g_ptr_array_index(n->conns, i);
		if (c->in->len <= IN_KEEP_MAX)
			continue;
		if (!longest || c->in_since < longest->in_since)
			longest = c;
	}
	return longest;
}

void
peer_input_bound(struct peer_node *n)
{
	struct peer_conn *c;

	while (n->in_sum > IN_SUM_MAX && (c = find_longest(n)))
		peer_reject(c);
}
