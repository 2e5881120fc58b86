#include "conn.h"

#include <sys/socket.h>

int
conn_is_idle(const struct http_conn *c)
{
	return c->state == CONN_OPEN && !c->first && !in_is_partial(&c->in) &&
	       !c->in.unparsed_len && !out_pending(&c->out);
}

int64_t
conn_timeout_time(const struct http_conn *c)
{
	const struct http_limits *m = &c->server->limits;
	int64_t idle = c->last_byte + (int64_t)m->idle_ms * HTTP_US_PER_MS;

	if (c->state == CONN_LINGER)
		return out_pending(&c->out) ? idle : c->linger_until;
	if (out_pending(&c->out))
		return idle;
	if (c->head_since)
		return c->head_since + (int64_t)m->head_ms * HTTP_US_PER_MS;
	if (c->first && (!c->reading || c->paused))
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

	if (c->scheduled || !due)
		return;
	/* The timer is only moved to an earlier time. If the timeout was put
	 * off, conn_handle_timer() sets the timer again when it fires. */
	if (!c->timer.pos || due < c->timer.due)
		io_timer_set(c->server->loop, &c->timer, due);
}

static int
has_input(int fd)
{
	char c;

	return recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Closes an idle connection, unless a request has just arrived: it is still
 * answered. */
static void
close_idle(struct http_conn *c)
{
	if (has_input(c->fd))
		return;
	if (c->server->stopping)
		conn_linger(c);
	else
		conn_close(c);
}

void
conn_handle_timeout(struct http_conn *c)
{
	struct kq_error err;
	int answer, delivered = c->first != NULL;

	if (conn_is_idle(c)) {
		close_idle(c);
		return;
	}
	kq_error_set(&err, KQ_LAYER_HTTP, HTTP_E_TIMEOUT, "%s",
	    out_pending(&c->out) ? "caller does not read"
				 : "request took too long");
	if (!c->why.text[0])
		c->why = err;
	answer = c->state == CONN_OPEN && !out_pending(&c->out) &&
		 in_is_partial(&c->in) && conn_can_send_error(c);
	conn_fail_exchanges(c, &err);
	if (c->closed)
		return;
	if (!answer) {
		conn_close(c);
		return;
	}
	conn_send_error(c, 408, err.text, delivered);
	if (c->server->ops->rejected)
		c->server->ops->rejected(c->server->ctx, &err);
}
