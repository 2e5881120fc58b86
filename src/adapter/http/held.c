#include "conn.h"
#include "link.h"

/* Bytes that connections hold. Those to be sent are counted in a limit that the
 * user gives; the sums by place are made when they are asked for. */

void
http_server_set_call_bytes(struct http_server *s, struct byte_limit *b)
{
	s->call_bytes = b;
}

void
http_pool_set_call_bytes(struct http_pool *p, struct byte_limit *b)
{
	p->call_bytes = b;
}

size_t
http_exchange_unsent(struct http_exchange *x, struct byte_limit *b)
{
	struct http_out *o = conn_out_of(x);

	if (!x->item.open || x->conn->send_errno)
		return 0;
	if (b)
		out_run_ahead(o, b);
	return out_pending(o);
}

static size_t
in_held(const struct http_in *in)
{
	return in->text_cap + in->unparsed_len;
}

static size_t
queued(const struct line_item *i)
{
	return out_pending(&((const struct http_exchange *)i)->queued_out);
}

void
http_server_held(const struct http_server *s, struct http_held *h)
{
	const struct line_item *i;
	const struct http_conn *c;

	h->unsent = h->input = 0;
	for (c = s->conns; c; c = c->next) {
		h->unsent += out_pending(&c->out);
		h->input += in_held(&c->in);
		for (i = c->line.first; i; i = i->next)
			h->unsent += queued(i);
	}
}

void
http_pool_held(const struct http_pool *p, struct http_held *h)
{
	const struct http_link *l;

	h->unsent = h->input = 0;
	for (l = p->links[LINK_BUSY]; l; l = l->next) {
		h->unsent += out_pending(&l->out);
		h->input += in_held(&l->in);
	}
}
