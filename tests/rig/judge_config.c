#include <stdio.h>

#include "judge_impl.h"

#define STATUS_NOT_FOUND 404

/** struct handled - a request that was run, or refused for want of a route
 * (@run is NULL); @boot is the start of the process that took it */
struct handled {
	const struct judged_request *request;
	const struct run *run;
	int64_t boot;
	int64_t t;
};

/** struct shown - effect of a version that a target saw */
struct shown {
	int64_t t;
	guint version;
};

static int
is_known(const struct judged_request *q)
{
	return q->sent && q->route && q->to;
}

static int
is_unrouted(const struct judged_request *q)
{
	return judge_is_own_answer(q) && q->status == STATUS_NOT_FOUND;
}

/* Nonzero if only versions before @oldest explain what became of it. */
static int
is_as_older(const struct judgement *j, const struct handled *h, guint oldest)
{
	const char *route = h->request->route;
	guint n = j->versions->len;

	if (h->run)
		return !judge_allows(j, oldest, n, h->t, route,
			   h->run->service) &&
		       judge_allows(j, 0, oldest, h->t, route, h->run->service);
	return oldest && judge_all_have(j, oldest, n, h->t, route) &&
	       !judge_all_have(j, 0, oldest, h->t, route);
}

/* Nonzero if an older version would have had it handled in another way. */
static int
is_told_apart(const struct judgement *j, const struct handled *h, guint oldest)
{
	guint i;

	for (i = 0; i < oldest; i++)
		if (!judge_same_way(j, i, oldest, h->request->route))
			return 1;
	return 0;
}

static void
judge_by_ack(struct judgement *j, const struct handled *h)
{
	int oldest = judge_oldest(j, h->request->to, h->request->began);

	if (oldest < 0) {
		judge_excuse(j, "version-not-bound");
		return;
	}
	j->counts.by_version++;
	j->counts.by_version_apart += is_told_apart(j, h, (guint)oldest);
	if (is_as_older(j, h, (guint)oldest))
		judge_find(j, "CONFIG/old-version", h->request);
}

static void
judge_route(struct judgement *j, const struct handled *h)
{
	j->counts.routed++;
	if (!judge_allows(j, 0, j->versions->len, h->t, h->request->route,
		h->run->service))
		judge_find(j, "ROUTE", h->request);
}

static int
compare(const void *a, const void *b)
{
	const struct handled *x = a, *y = b;

	if (x->boot != y->boot)
		return x->boot < y->boot ? -1 : 1;
	return (x->t > y->t) - (x->t < y->t);
}

/* Newest version whose effect was seen long enough before the request. */
static guint
seen_before(const GArray *seen, const struct judged_request *q)
{
	int64_t slack = DOWNGRADE_US, began = q->began;
	const struct shown *s;
	guint i;

	if (judge_is_slowed(q->to, began - TOUCH_US, began))
		slack *= DOWNGRADE_SLOW_TIMES;
	for (i = seen->len; i-- > 0;) {
		s = &g_array_index(seen, struct shown, i);
		if (s->t + slack < began)
			return s->version;
	}
	return 0;
}

static void
note_shown(const struct judgement *j, GArray *seen, const struct handled *h,
    guint least)
{
	guint i = judge_allows(j, least, j->versions->len, h->t,
	    h->request->route, h->run->service);
	struct shown s = { h->t, i - 1 };

	if (i &&
	    (!seen->len ||
		s.version >
		    g_array_index(seen, struct shown, seen->len - 1).version))
		g_array_append_val(seen, s);
}

/* Whether what one machine did ever shows an older version than before. */
static void
judge_by_boot(struct judgement *j, GArray *handled)
{
	GArray *seen = g_array_new(FALSE, FALSE, sizeof(struct shown));
	const struct handled *h;
	int64_t boot = 0;
	guint i, least;

	g_array_sort(handled, compare);
	for (i = 0; i < handled->len; i++) {
		h = &g_array_index(handled, struct handled, i);
		if (h->boot != boot)
			g_array_set_size(seen, 0);
		boot = h->boot;
		least = seen_before(seen, h->request);
		j->counts.by_boot++;
		j->counts.by_boot_apart += is_told_apart(j, h, least);
		if (is_as_older(j, h, least))
			judge_find(j, "CONFIG/went-back", h->request);
		if (h->run)
			note_shown(j, seen, h, least);
	}
	g_array_free(seen, TRUE);
}

static void
add_handled(GHashTable *by_machine, const struct handled *h)
{
	struct judged_machine *m = h->request->to;
	GArray *a = g_hash_table_lookup(by_machine, m);

	if (!a) {
		a = g_array_new(FALSE, FALSE, sizeof(struct handled));
		g_hash_table_insert(by_machine, m, a);
	}
	g_array_append_val(a, *h);
}

static void
judge_handled(struct judgement *j, GHashTable *by_machine,
    const struct judged_request *q)
{
	struct handled h = { q, NULL, judge_last(q->to->start, q->began),
		q->over };
	guint i;

	if (is_unrouted(q)) {
		judge_by_ack(j, &h);
		add_handled(by_machine, &h);
	}
	for (i = 0; i < q->runs->len; i++) {
		h.run = &g_array_index(q->runs, struct run, i);
		h.t = h.run->from + ORDER_US;
		if (!h.run->service)
			continue;
		judge_route(j, &h);
		judge_by_ack(j, &h);
		h.t = h.run->from;
		add_handled(by_machine, &h);
	}
}

void
judge_config(struct judgement *j)
{
	GHashTable *by_machine = g_hash_table_new(NULL, NULL);
	const struct judged_request *q;
	GArray *handled;
	guint i;

	for (i = 0; i < j->requests->len; i++) {
		q = g_ptr_array_index(j->requests, i);
		j->counts.probes += q->is_probe;
		if (is_known(q))
			judge_handled(j, by_machine, q);
	}
	for (i = 0; i < j->machines->len; i++) {
		handled = g_hash_table_lookup(by_machine,
		    g_ptr_array_index(j->machines, i));
		if (!handled)
			continue;
		judge_by_boot(j, handled);
		g_array_free(handled, TRUE);
	}
	g_hash_table_destroy(by_machine);
}

void
judge_config_print(const struct judgement *j)
{
	const struct judged_counts *c = &j->counts;

	printf("probes %d\n", c->probes);
	printf("judged CONFIG/old-version %d, told apart %d\n", c->by_version,
	    c->by_version_apart);
	printf("judged CONFIG/went-back %d, told apart %d\n", c->by_boot,
	    c->by_boot_apart);
	printf("judged CONFIG/share %d in %d times\n", c->split,
	    c->split_times);
	printf("judged CONFIG/added %d, served %d, of the first %d, served "
	       "%d\n",
	    c->added, c->added_served, c->first, c->first_served);
	printf("judged DENIED %d refused though allowed, %d by all versions\n",
	    c->refused, c->refused_by_all);
	printf("judged ROUTE %d\n", c->routed);
}
