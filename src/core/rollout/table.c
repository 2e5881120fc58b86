#include "core/rollout/impl.h"

struct rollout *
rollout_new(const struct rollout_order *o, const struct rollout_limits *l,
    int64_t now, int64_t elapsed_us)
{
	struct rollout *r = g_new0(struct rollout, 1);

	r->order = *o;
	r->limits = *l;
	r->created = now;
	r->elapsed_us = elapsed_us;
	r->share = -1;
	r->rows =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	r->routes =
	    g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
	return r;
}

void
rollout_free(struct rollout *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->rows);
	g_hash_table_destroy(r->routes);
	g_free(r);
}

int
rollout_is_live(const struct rollout_row *row, int64_t now)
{
	return !row->gone && now - row->heard_at < ROLLOUT_SILENT_US;
}

/* Removes the reporter that was heard least recently, a forgotten one first. */
static void
make_room(struct rollout *r)
{
	const struct rollout_row *row, *first = NULL;
	GHashTableIter it;
	gpointer v;

	if (g_hash_table_size(r->rows) < ROLLOUT_REPORTERS_MAX)
		return;
	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		row = v;
		if (!first || row->gone > first->gone ||
		    (row->gone == first->gone &&
			row->heard_at < first->heard_at))
			first = row;
	}
	g_hash_table_remove(r->rows, &first->last.reporter);
}

static struct rollout_row *
add_row(struct rollout *r, uint64_t reporter, int64_t now)
{
	struct rollout_row *row;

	make_room(r);
	row = g_new0(struct rollout_row, 1);
	row->last.reporter = reporter;
	row->started_at = now;
	g_hash_table_insert(r->rows, &row->last.reporter, row);
	return row;
}

static const struct rollout_route *
find_route(const struct rollout_report *p, uint32_t route)
{
	int i;

	for (i = 0; i < p->nroute; i++)
		if (p->route[i].route == route)
			return &p->route[i];
	return NULL;
}

static void
take_totals(struct rollout *r, struct rollout_row *row,
    const struct rollout_report *p, int64_t now)
{
	const struct rollout_report *was = &row->last;
	int side = p->is_new ? ROLLOUT_NEW : ROLLOUT_OLD;
	int i, same = was->start == p->start;
	uint32_t started = same ? was->started : 0;

	if (p->started > started) {
		r->started[side] += p->started - started;
		row->started_at = now;
	}
	for (i = 0; i < p->nroute; i++)
		rollout_add(r, p, &p->route[i],
		    same ? find_route(was, p->route[i].route) : NULL, now);
}

int
rollout_note_report(struct rollout *r, const struct rollout_report *p,
    int64_t now)
{
	struct rollout_row *row;

	if (p->order != r->order.id || p->nroute < 0 ||
	    p->nroute > ROLLOUT_ROUTES_MAX)
		return 0;
	row = g_hash_table_lookup(r->rows, &p->reporter);
	if (row && p->sequence <= row->last.sequence)
		return 0;
	if (!row)
		row = add_row(r, p->reporter, now);
	rollout_advance(r, now);
	take_totals(r, row, p, now);
	if (row->last.start != p->start)
		row->before = (struct rollout_tally){ 0 };
	row->last = *p;
	row->heard_at = now;
	row->gone = 0;
	return 1;
}

void
rollout_forget(struct rollout *r, uint64_t reporter)
{
	struct rollout_row *row = g_hash_table_lookup(r->rows, &reporter);

	if (row)
		row->gone = 1;
}

void
rollout_totals(const struct rollout *r, struct rollout_totals *t)
{
	const struct rollout_evidence *e;
	GHashTableIter it;
	gpointer v;
	int i;

	*t = (struct rollout_totals){ 0 };
	for (i = 0; i < ROLLOUT_SIDES; i++)
		t->started[i] = r->started[i];
	g_hash_table_iter_init(&it, r->routes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		e = v;
		for (i = 0; i < ROLLOUT_SIDES; i++) {
			t->answers[i] += rollout_answers(&e->total[i]);
			t->bad[i] +=
			    rollout_bad(&e->total[i], rollout_slow_from(e));
		}
	}
}
