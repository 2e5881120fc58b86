#include "conn.h"

int
conn_is_idle(const struct http_conn *c)
{
	return c->state == CONN_OPEN && !c->line.first &&
	       !in_is_partial(&c->in) && !c->in.unparsed_len &&
	       !out_pending(&c->out);
}

int64_t
conn_timeout_time(const struct http_conn *c)
{
	const struct http_limits *m = &c->server->limits;
	int64_t idle = c->last_byte + (int64_t)m->idle_ms * HTTP_US_PER_MS;

	if (out_pending(&c->out))
		return idle;
	if (c->state != CONN_OPEN)
		return c->state == CONN_ACKS ? c->look_at : c->linger_until;
	if (c->head_since)
		return c->head_since + (int64_t)m->head_ms * HTTP_US_PER_MS;
	if (c->line.first && (!c->line.reading || c->paused))
		return 0;
	if (c->server->stopping && conn_is_idle(c) &&
	    c->server->close_idle_at < idle)
		return c->server->close_idle_at;
	return idle;
}

void
conn_update_timer(struct http_conn *c)
{
	int64_t due = conn_timeout_time(c);

	if (c->probe_at && (!due || c->probe_at < due))
		due = c->probe_at;
	if (c->scheduled || !due)
		return;
	/* The timer is only moved to an earlier time. If the timeout was put
	 * off, it is set again when it fires. */
	if (!c->timer.pos || due < c->timer.due)
		io_timer_set(c->server->loop, &c->timer, due);
}
