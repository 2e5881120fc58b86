#include "fleet.h"

#include <stdio.h>
#include <string.h>

#define FIRST_ID 1000
/* network delay of a datagram */
#define DELAY_MIN_US 500
#define DELAY_MAX_US 1500
/* duration of a configuration pull, and the delay that a lost packet adds */
#define PULL_MIN_US 2000
#define PULL_MAX_US 6000
#define RETRANSMIT_US 200000

enum event_kind { EVENT_TICK, EVENT_MESSAGE, EVENT_PULL_DONE };

struct event {
	int64_t time;
	uint64_t serial; /* orders events of the same time */
	enum event_kind kind;
	int node; /* index of the node that it happens at */
	uint64_t digest; /* version pulled, in EVENT_PULL_DONE */
	/* of EVENT_MESSAGE; allocated without its unused updates */
	struct member_message *message;
};

static gint
compare_events(gconstpointer p, gconstpointer q, gpointer unused)
{
	const struct event *a = p, *b = q;

	(void)unused;
	if (a->time != b->time)
		return a->time < b->time ? -1 : 1;
	return a->serial < b->serial ? -1 : a->serial > b->serial;
}

static void
event_free(gpointer p)
{
	struct event *e = p;

	g_free(e->message);
	g_free(e);
}

static struct event *
event_new(struct fleet *f, enum event_kind kind, int node, int64_t time)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = kind;
	e->node = node;
	e->time = time;
	e->serial = ++f->serial;
	return e;
}

static void
event_insert(struct fleet *f, struct event *e)
{
	g_sequence_insert_sorted(f->events, e, compare_events, NULL);
}

static int
node_by_id(uint64_t id)
{
	return (int)(id - FIRST_ID);
}

static void
on_send(void *ctx, const struct member_address *to,
    const struct member_message *msg)
{
	struct fleet_ctx *c = ctx;
	struct fleet *f = c->fleet;
	struct event *e;
	size_t head = offsetof(struct member_message, update);
	size_t n = msg->nnote
		       ? sizeof *msg
		       : head + (size_t)msg->nupdate * sizeof msg->update[0];

	f->node[c->node].messages++;
	f->node[c->node].bytes += member_message_size(msg);
	f->largest_datagram =
	    MAX(f->largest_datagram, member_message_size(msg));
	if (f->node[c->node].partition != f->node[to->ip].partition)
		return;
	if (g_rand_double(f->rand) < f->loss)
		return;
	e = event_new(f, EVENT_MESSAGE, (int)to->ip,
	    f->now + g_rand_int_range(f->rand, DELAY_MIN_US, DELAY_MAX_US));
	e->message = g_malloc(n);
	memcpy(e->message, msg, n);
	e->message->source = f->node[c->node].info.address;
	event_insert(f, e);
}

static void
on_event(void *ctx, int handle, enum member_event event)
{
	struct fleet_ctx *c = ctx;
	struct fleet *f = c->fleet;
	struct fleet_node *me = &f->node[c->node];
	int other;

	if (handle == 0 || !me->table)
		return;
	other = node_by_id(member_at(me->table, handle)->info.id);
	f->suspicions += event == MEMBER_EVENT_SUSPECTED;
	if (event == MEMBER_EVENT_LEFT)
		me->left_at[other] = f->now;
	if (event != MEMBER_EVENT_DEAD)
		return;
	me->declared_dead_at[other] = f->now;
	f->deaths++;
	me->deaths_declared++;
	f->false_deaths += !f->node[other].killed && !f->node[other].paused_at;
}

static int64_t
pull_duration(struct fleet *f)
{
	int64_t time = g_rand_int_range(f->rand, PULL_MIN_US, PULL_MAX_US);

	if (g_rand_double(f->rand) < f->loss)
		time += RETRANSMIT_US;
	return time;
}

static void
on_behind(void *ctx, int handle, uint64_t digest)
{
	struct fleet_ctx *c = ctx;
	struct fleet *f = c->fleet;
	struct event *e;

	(void)handle;
	if (f->node[c->node].pulling)
		return;
	f->node[c->node].pulling = 1;
	e = event_new(f, EVENT_PULL_DONE, c->node, f->now + pull_duration(f));
	e->digest = digest;
	event_insert(f, e);
}

static void
on_note(void *ctx, const struct member_note *note, int64_t at)
{
	struct fleet_ctx *c = ctx;
	struct fleet_node *me = &c->fleet->node[c->node];

	(void)note;
	(void)at;
	me->notes++;
	me->note_at = c->fleet->now;
}

static const struct member_ops ops = { on_send, on_event, on_behind, NULL,
	on_note };

static void
node_init(struct fleet *f, int i)
{
	static const struct member_limits limits = MEMBER_LIMITS_DEFAULT;
	static const char *const names[] = { "luzon-a", "luzon-b", "luzon-c" };
	struct fleet_node *node = &f->node[i];
	struct fleet_ctx *c = &f->ctx[i];

	c->fleet = f;
	c->node = i;
	node->declared_dead_at = g_new0(int64_t, f->n);
	node->left_at = g_new0(int64_t, f->n);
	node->info.id = FIRST_ID + (uint64_t)i;
	node->info.address.ip = (uint32_t)i;
	g_strlcpy(node->info.datacentre, names[i % 3],
	    sizeof node->info.datacentre);
	g_strlcpy(node->info.region, "luzon", sizeof node->info.region);
	node->table = member_new(&node->info, &limits, g_rand_int(f->rand),
	    &ops, c, f->now);
	event_insert(f, event_new(f, EVENT_TICK, i, f->now));
}

struct fleet *
fleet_new(int n, double loss, guint32 seed, int acquainted)
{
	struct fleet *f = g_new0(struct fleet, 1);
	int i, k;

	f->n = n;
	f->loss = loss;
	f->now = 1000000;
	f->rand = g_rand_new_with_seed(seed);
	f->events = g_sequence_new(event_free);
	f->node = g_new0(struct fleet_node, n);
	f->ctx = g_new0(struct fleet_ctx, n);
	for (i = 0; i < n; i++)
		node_init(f, i);
	for (i = 0; i < n && acquainted; i++) {
		for (k = 0; k < n; k++)
			member_add_registered(f->node[i].table,
			    &f->node[k].info, f->now);
	}
	return f;
}

void
fleet_free(struct fleet *f)
{
	int i;

	g_sequence_free(f->events);
	for (i = 0; i < f->n; i++) {
		struct fleet_node *node = &f->node[i];

		member_free(node->table);
		g_free(node->declared_dead_at);
		g_free(node->left_at);
	}
	g_free(f->ctx);
	g_free(f->node);
	g_rand_free(f->rand);
	g_free(f);
}

static void
deliver_message(struct fleet *f, const struct event *e)
{
	static struct member_message msg;
	const struct member_message *m = e->message;

	memcpy(&msg, m, offsetof(struct member_message, update));
	memcpy(msg.update, m->update,
	    (size_t)m->nupdate * sizeof msg.update[0]);
	if (m->nnote)
		memcpy(msg.note, m->note, sizeof msg.note);
	msg.source.ip = f->node[node_by_id(m->from)].info.address.ip;
	msg.source.port = 0;
	member_receive(f->node[e->node].table, &msg, f->now);
}

static void
run_event(struct fleet *f, struct event *e)
{
	struct fleet_node *node = &f->node[e->node];
	int64_t due;

	switch (e->kind) {
	case EVENT_TICK:
		due = member_tick(node->table, f->now);
		event_insert(f,
		    event_new(f, EVENT_TICK, e->node, MAX(due, f->now + 1)));
		break;
	case EVENT_MESSAGE:
		deliver_message(f, e);
		break;
	case EVENT_PULL_DONE:
		node->pulling = 0;
		fleet_set_config_version(f, e->node, e->digest);
		break;
	}
}

void
fleet_run(struct fleet *f, int64_t until)
{
	for (;;) {
		GSequenceIter *i = g_sequence_get_begin_iter(f->events);
		struct event *e;

		if (g_sequence_iter_is_end(i))
			break;
		e = g_sequence_get(i);
		if (e->time > until)
			break;
		f->now = MAX(f->now, e->time);
		if (f->node[e->node].paused_until > f->now) {
			e->time = f->node[e->node].paused_until;
			g_sequence_sort_changed(i, compare_events, NULL);
			continue;
		}
		if (!f->node[e->node].killed)
			run_event(f, e);
		g_sequence_remove(i);
	}
	f->now = until;
}

void
fleet_kill(struct fleet *f, int node)
{
	f->node[node].killed = 1;
}

void
fleet_pause(struct fleet *f, int node, int64_t time)
{
	f->node[node].paused_until = f->now + time;
	f->node[node].paused_at = f->now;
}

void
fleet_set_config_version(struct fleet *f, int node, uint64_t digest)
{
	struct fleet_node *n = &f->node[node];

	if (digest <= n->config_version)
		return;
	n->config_version = digest;
	n->config_version_at = f->now;
	member_set_config_version(n->table, digest, 0, f->now);
}

void
fleet_reset_counts(struct fleet *f)
{
	int i;

	f->deaths = f->false_deaths = f->suspicions = 0;
	for (i = 0; i < f->n; i++)
		f->node[i].messages = f->node[i].bytes = 0;
	f->largest_datagram = 0;
}

static gint
compare_times(gconstpointer p, gconstpointer q)
{
	int64_t a = *(const int64_t *)p, b = *(const int64_t *)q;

	return a < b ? -1 : a > b;
}

void
fleet_sort_times(GArray *times)
{
	g_array_sort(times, compare_times);
}

int64_t
fleet_quantile(const GArray *times, double share)
{
	guint i = (guint)(share * (double)(times->len - 1) + 0.5);

	return times->len > 0 ? g_array_index(times, int64_t, i) : 0;
}
