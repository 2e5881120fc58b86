#include <malloc.h>

#include "daemon/inbound/inbound.h"
#include "daemon/outbound/outbound.h"

/* What the daemon holds for calls, by place, added up when it is asked for; and
 * what gives way when it is too much. */

/* time in which a caller took no byte: while bytes are short, and while
 * requests would be refused for it */
#define STALLED_US 2000000
#define STALLED_REFUSED_US 500000
/* part of the bytes of all calls that may be fetched ahead of slow callers */
#define AHEAD_PARTS 3
#define AHEAD_OF_PARTS 8

/* Memory that is free is given back to the system once less than a part of the
 * limit is in use after more than another part was. */
#define GIVE_BACK_BELOW 8
#define GIVE_BACK_AFTER 4
#define GIVE_BACK_US 1000000 /* between two times, as it takes milliseconds */

struct held {
	size_t promised; /* of answers, that other daemons may send */
	size_t requests; /* of requests, at the outbound side */
	size_t inbound; /* of requests and answers, at the inbound side */
};

static void
add_outbound(const struct data *d, struct held *h)
{
	const struct out_call *c;
	GHashTableIter it;
	gpointer v;
	int i;

	g_hash_table_iter_init(&it, d->out_calls);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		c = v;
		h->requests += c->body->len;
		for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
			h->promised += c->attempt[i].promised;
	}
}

static void
add_inbound(const struct data *d, struct held *h)
{
	const struct in_call *c;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, d->in_calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		c = v;
		h->inbound += c->body->len;
		if (c->answer_body)
			h->inbound += c->answer_body->len;
	}
}

static void
write_place(GString *t, const char *place, size_t n)
{
	g_string_append_printf(t, "kumquatrock_held_bytes{place=\"%s\"} %zu\n",
	    place, n);
}

static int64_t
stalled_us(const struct data *d)
{
	return byte_limit_reached(&d->call_bytes) ? STALLED_REFUSED_US
						  : STALLED_US;
}

void
data_limit_bytes(struct data *d)
{
	d->call_bytes.limit = d->settings.call_bytes;
	d->ahead.limit = d->call_bytes.limit / AHEAD_OF_PARTS * AHEAD_PARTS;
}

void
data_http_limits(const struct data *d, struct http_limits *l)
{
	const struct settings *s = &d->settings;

	l->head_bytes = s->head_bytes;
	l->connections = MIN(s->connections, d->descriptors.callers);
	l->head_ms = s->head_ms;
	l->idle_ms = s->idle_ms;
	l->eof_cancels = !d->dialect->half_close;
}

int
data_may_run_ahead(const struct data *d, size_t unsent)
{
	return !byte_limit_is_half(&d->call_bytes) &&
	       (int64_t)unsent < d->ahead.limit - d->ahead.used;
}

int
data_may_take_answers(const struct data *d)
{
	return !byte_limit_is_short(&d->call_bytes) &&
	       d->call_bytes.used - d->ahead.used < d->call_bytes.limit / 2;
}

static void
give_back(struct data *d, int64_t now)
{
	struct byte_limit *b = &d->call_bytes;

	if (b->used >= b->limit / GIVE_BACK_BELOW ||
	    b->peak < b->limit / GIVE_BACK_AFTER ||
	    now - d->given_back < GIVE_BACK_US)
		return;
	b->peak = b->used;
	d->given_back = now;
	malloc_trim(0);
}

void
data_make_room(struct data *d)
{
	int64_t now = data_now(d);

	give_back(d, now);
	while (byte_limit_is_short(&d->call_bytes) &&
	       http_server_end_stalled(d->server, now - stalled_us(d)))
		;
}

void
data_write_held(const struct data *d, GString *t)
{
	struct http_held callers, target = { 0 };
	struct held h = { 0 };

	add_outbound(d, &h);
	add_inbound(d, &h);
	http_server_held(d->server, &callers);
	if (d->pool)
		http_pool_held(d->pool, &target);
	g_string_append(t,
	    "# HELP kumquatrock_held_bytes Held for calls, by place\n"
	    "# TYPE kumquatrock_held_bytes gauge\n");
	write_place(t, "promised", h.promised);
	write_place(t, "requests", h.requests);
	write_place(t, "inbound", h.inbound);
	write_place(t, "to-callers", callers.unsent);
	write_place(t, "from-callers", callers.input);
	write_place(t, "to-target", target.unsent);
	write_place(t, "from-target", target.input);
	write_place(t, "to-daemons", peer_node_unsent_bytes(d->node));
}
