#include "http_impl.h"

struct http_exchange *
exchange_new(struct http_conn *c)
{
	struct http_exchange *x = g_new0(struct http_exchange, 1);

	x->conn = c;
	x->open = 1;
	x->queued_out.limit = c->server->call_bytes;
	if (c->newest)
		c->newest->next = x;
	else
		c->first = x;
	c->newest = x;
	c->reading = x;
	c->nexchange++;
	return x;
}

void
exchange_retire(struct http_conn *c, struct http_exchange *x)
{
	struct http_exchange **at = &c->first, *before = NULL;

	while (*at != x) {
		before = *at;
		at = &before->next;
	}
	*at = x->next;
	if (c->newest == x)
		c->newest = before;
	if (c->reading == x)
		c->reading = NULL;
	c->nexchange--;
	x->open = 0;
	x->next = c->retired;
	c->retired = x;
}

void
exchange_free_retired(struct http_conn *c)
{
	struct http_exchange *x;

	while ((x = c->retired)) {
		c->retired = x->next;
		out_clear(&x->queued_out);
		g_free(x);
	}
}

int
conn_has_exchange(const struct http_conn *c)
{
	return c->first != NULL;
}

int
http_exchange_has_predecessor(const struct http_exchange *x)
{
	return x->conn->first != x;
}
