#include <string.h>

#include "core/quota/impl.h"

static void
org_free(gpointer p)
{
	struct org *o = p;

	g_queue_clear_full(&o->waiting, g_free);
	if (o->rows)
		g_hash_table_destroy(o->rows);
	g_free(o);
}

struct quota *
quota_new(uint64_t seed, const struct quota_events *events, void *ctx)
{
	struct quota *q = g_new0(struct quota, 1);

	q->events = events;
	q->ctx = ctx;
	rng_seed(&q->rng, seed);
	q->orgs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, org_free);
	q->active = g_ptr_array_new();
	q->granted = g_ptr_array_new();
	q->members = g_array_new(FALSE, FALSE, sizeof(struct member));
	q->links =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->lenders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return q;
}

void
quota_free(struct quota *q)
{
	if (!q)
		return;
	g_ptr_array_unref(q->active);
	g_ptr_array_unref(q->granted);
	g_hash_table_destroy(q->orgs);
	g_array_unref(q->members);
	g_hash_table_destroy(q->links);
	g_hash_table_destroy(q->lenders);
	g_free(q);
}

/* Hash of a name (FNV-1a). */
static uint64_t
name_id(const char *name)
{
	uint64_t h = 0xcbf29ce484222325u;

	for (; *name; name++)
		h = (h ^ (unsigned char)*name) * 0x100000001b3u;
	return h;
}

struct org *
quota_find(const struct quota *q, const char *name)
{
	uint64_t id = name_id(name);

	return g_hash_table_lookup(q->orgs, &id);
}

static struct org *
org_add(struct quota *q, const char *name, int64_t now)
{
	struct org *o = g_new0(struct org, 1);

	if (!g_hash_table_size(q->orgs))
		q->last_tick = now;
	o->id = name_id(name);
	g_strlcpy(o->name, name, sizeof o->name);
	g_queue_init(&o->waiting);
	o->own_at = o->stock_at = now;
	o->grantor = quota_grantor_of(&q->grantors, o->id);
	if (o->grantor && o->grantor == q->self)
		g_ptr_array_add(q->granted, o);
	g_hash_table_insert(q->orgs, &o->id, o);
	return o;
}

static void
org_remove(struct quota *q, struct org *o, int64_t now)
{
	while (!g_queue_is_empty(&o->waiting)) {
		struct waiter *w = g_queue_pop_head(&o->waiting);
		void *request = w->request;

		g_free(w);
		q->events->decided(q->ctx, request, 1, 0);
	}
	quota_drop_rows(q, o);
	g_ptr_array_remove_fast(q->active, o);
	g_ptr_array_remove_fast(q->granted, o);
	g_hash_table_remove(q->orgs, &o->id);
}

void
quota_set_limits(struct quota *q, const char *name, double rate_per_s,
    double burst, int64_t now)
{
	struct org *o = quota_find(q, name);

	if (rate_per_s <= 0) {
		if (o)
			org_remove(q, o, now);
		return;
	}
	if (!o)
		o = org_add(q, name, now);
	quota_accrue(q, o, now);
	quota_refill(q, o, now);
	o->rate = rate_per_s;
	o->burst = MAX(burst, 0);
	o->set = 1;
	/* Takes what is above a lower limit at once. */
	quota_accrue(q, o, now);
	quota_refill(q, o, now);
}

void
quota_begin_limits(struct quota *q)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->orgs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct org *)v)->set = 0;
}

void
quota_end_limits(struct quota *q, int64_t now)
{
	GPtrArray *gone = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;
	guint i;

	g_hash_table_iter_init(&it, q->orgs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (!((struct org *)v)->set)
			g_ptr_array_add(gone, v);
	for (i = 0; i < gone->len; i++)
		org_remove(q, gone->pdata[i], now);
	g_ptr_array_unref(gone);
}

int
quota_any(const struct quota *q)
{
	return g_hash_table_size(q->orgs) > 0;
}

int
quota_send(struct quota *q, uint64_t to, const struct quota_message *m)
{
	unsigned char buf[QUOTA_MESSAGE_BYTES];
	size_t n = quota_encode(m, buf, sizeof buf);

	q->totals.sent[m->kind]++;
	return n ? q->events->send(q->ctx, to, buf, n) : -1;
}

void
quota_receive(struct quota *q, uint64_t from, const void *bytes, size_t n,
    int64_t now)
{
	struct quota_message m;

	if (quota_decode(&m, bytes, n)) {
		q->totals.invalid++;
		return;
	}
	q->totals.received++;
	if (quota_any(q))
		quota_check_gap(q, now);
	if (m.kind == QUOTA_POLL)
		quota_answer_poll(q, from, &m, now);
	else if (m.kind == QUOTA_LEND)
		quota_take_loan(q, from, &m, now);
	else if (m.kind == QUOTA_ASK)
		quota_answer_ask(q, from, &m, now);
	else
		quota_take_grant(q, from, &m, now);
}

void
quota_totals(const struct quota *q, struct quota_totals *t)
{
	*t = q->totals;
	t->rows = q->nrow;
}

void
quota_each(struct quota *q, quota_each_fn *fn, void *ctx, int64_t now)
{
	struct quota_figures f;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->orgs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		quota_figures(q, v, &f, now);
		fn(ctx, &f);
	}
}
