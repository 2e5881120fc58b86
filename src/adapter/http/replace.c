#include "conn.h"

/* Connections that make way for new ones once the limit is reached. */

/* Whether nothing is lost for a caller that follows the rules of HTTP: no
 * request of the connection has begun to be worked on. */
static int
has_begun(const struct http_conn *c)
{
	return c->line.first && c->line.first != c->line.reading;
}

static int
may_be_replaced(const struct http_conn *c, enum http_replace what, int64_t now)
{
	if (c->over_limit || c->in_callback)
		return 0;
	if (what == HTTP_REPLACE_ANY)
		return !has_begun(c);
	return c->state == CONN_OPEN && !c->line.first &&
	       !out_pending(&c->out) &&
	       now - c->served_at >= HTTP_REPLACE_IDLE_US;
}

/* The one whose last response, or else whose begin, is the longest ago. */
static struct http_conn *
find_oldest(const struct http_server *s, int64_t now)
{
	struct http_conn *c, *oldest = NULL;

	for (c = s->conns; c; c = c->next)
		if (may_be_replaced(c, s->replace, now) &&
		    (!oldest || c->served_at <= oldest->served_at))
			oldest = c;
	return oldest;
}

int
server_make_place(struct http_server *s)
{
	int64_t now = io_now(s->loop);
	struct kq_error err;
	struct http_conn *c;

	if (s->replace == HTTP_REPLACE_NONE)
		return 0;
	/* a request that just came on an idle one is still answered */
	while ((c = find_oldest(s, now)) && s->replace == HTTP_REPLACE_IDLE &&
	       conn_has_input(c))
		c->served_at = now;
	if (!c)
		return 0;
	kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_CLOSED,
	    "closed for a new connection");
	conn_end(c, LINE_DROP, HTTP_END_REPLACED, &err);
	s->nreplaced++;
	if (s->ops->replaced)
		s->ops->replaced(s->ctx, s->nreplaced);
	return 1;
}

void
http_server_replace_idle(struct http_server *s, enum http_replace what)
{
	s->replace = what;
}

uint64_t
http_server_replaced(const struct http_server *s)
{
	return s->nreplaced;
}

void
http_server_limit_refused(struct http_server *s, int max)
{
	s->refused_max = MIN(max, HTTP_REFUSED_MAX);
}
