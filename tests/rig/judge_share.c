#include "judge_line.h"

#define SPLIT_LEAST 200 /* requests in a time that is judged */
#define SHARE_OFF 0.2
#define ADDED_LEAST 20
#define ADDED_PART 4
#define TEXT_BYTES 200

/** struct split_time - versions from @first to @next - 1, which split a route
 * in the same way, and when they surely are the only ones in force */
struct split_time {
	const char *route;
	guint first, next;
	int64_t from, to;
};

static const struct version *
version_at(const struct judgement *j, guint i)
{
	return &g_array_index(j->versions, struct version, i);
}

static int
is_inside(const struct judgement *j, const struct split_time *s,
    const struct judged_request *q)
{
	return q->sent && !g_strcmp0(q->route, s->route) &&
	       q->began > s->from && q->over < s->to && q->over &&
	       judge_calm(j, q->to, q->began);
}

/* Nonzero if no target had it, though its caller was told so. */
static int
is_turned_away(const struct judged_request *q)
{
	return !q->runs->len && judge_is_own_answer(q);
}

static const char *
first_service(const struct judged_request *q)
{
	return q->runs->len ? g_array_index(q->runs, struct run, 0).service
			    : NULL;
}

/* What was turned away may have been for any part. */
static void
judge_part(struct judgement *j, const struct split_time *s,
    const struct part *p, double share, const int *n)
{
	double all = n[0], least = n[1] / all, most = (n[1] + n[2]) / all;
	char text[TEXT_BYTES];

	if (most >= share - SHARE_OFF && least <= share + SHARE_OFF)
		return;
	g_snprintf(text, sizeof text,
	    "%s version=%d service=%s weight=%.3f requests=%d share=%.3f "
	    "turned-away=%d",
	    s->route, version_at(j, s->first)->number, p->service, share, n[0],
	    least, n[2]);
	judge_find_line(j, "CONFIG/share", judge_keep(j, text));
}

/* Counts the requests of a time: all, those of a service, and those that were
 * turned away. */
static void
count(const struct judgement *j, const struct split_time *s,
    const char *service, int n[3])
{
	const struct judged_request *q;
	guint i;

	n[0] = n[1] = n[2] = 0;
	for (i = 0; i < j->requests->len; i++) {
		q = g_ptr_array_index(j->requests, i);
		if (!is_inside(j, s, q) ||
		    (!q->runs->len && !is_turned_away(q)))
			continue;
		n[0]++;
		n[1] += !g_strcmp0(first_service(q), service);
		n[2] += is_turned_away(q);
	}
}

static void
judge_split_time(struct judgement *j, const struct split_time *s)
{
	const GArray *parts = judge_parts(j, s->first, s->route);
	const struct part *p;
	int n[3] = { 0 }, sum = 0;
	guint i;

	for (i = 0; i < parts->len; i++)
		sum += g_array_index(parts, struct part, i).weight;
	for (i = 0; i < parts->len; i++) {
		p = &g_array_index(parts, struct part, i);
		count(j, s, p->service, n);
		if (n[0] < SPLIT_LEAST)
			return;
		judge_part(j, s, p, (double)p->weight / sum, n);
	}
	j->counts.split += n[0];
	j->counts.split_times++;
}

/* Judges the time of a split that begins with a version; Return: the first
 * version that has another one */
static guint
judge_split_from(struct judgement *j, guint first, const char *route)
{
	struct split_time s = { route, first, first + 1, NEVER, NEVER };
	const GArray *parts = judge_parts(j, first, route);
	int64_t acked = version_at(j, first)->acked;

	while (s.next < j->versions->len &&
	       judge_same_way(j, first, s.next, route))
		s.next++;
	if (s.next < j->versions->len)
		s.to = version_at(j, s.next)->sent;
	if (acked != NEVER)
		s.from = acked + APPLY_US;
	if (parts && parts->len > 1)
		judge_split_time(j, &s);
	return s.next;
}

void
judge_share(struct judgement *j)
{
	GHashTable *routes = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter at;
	void *route;
	guint i;

	for (i = 0; i < j->versions->len; i++) {
		g_hash_table_iter_init(&at, version_at(j, i)->routes);
		while (g_hash_table_iter_next(&at, &route, NULL))
			g_hash_table_add(routes, route);
	}
	g_hash_table_iter_init(&at, routes);
	while (g_hash_table_iter_next(&at, &route, NULL))
		for (i = 0; i < j->versions->len;)
			i = judge_split_from(j, i, route);
	g_hash_table_destroy(routes);
}

static int
is_served(const struct judged_request *q)
{
	return q->outcome == SEEN_WHOLE && q->is_signed && q->status / 100 == 2;
}

void
judge_added(struct judgement *j)
{
	struct judged_counts *c = &j->counts;
	const struct judged_request *q;
	char text[TEXT_BYTES];
	guint i;
	int oldest;

	for (i = 0; i < j->requests->len; i++) {
		q = g_ptr_array_index(j->requests, i);
		if (!q->sent || !q->route || !q->over ||
		    !judge_calm(j, q->to, q->began))
			continue;
		oldest = judge_oldest(j, q->to, q->began);
		if (oldest < 0 || !judge_all_have(j, (guint)oldest,
				      j->versions->len, q->over, q->route))
			continue;
		if (judge_parts(j, 0, q->route)) {
			c->first++;
			c->first_served += is_served(q);
		} else {
			c->added++;
			c->added_served += is_served(q);
		}
	}
	if (c->added < ADDED_LEAST ||
	    (int64_t)c->added_served * ADDED_PART * c->first >=
		(int64_t)c->first_served * c->added)
		return;
	g_snprintf(text, sizeof text, "added %d served %d first %d served %d",
	    c->added, c->added_served, c->first, c->first_served);
	judge_find_line(j, "CONFIG/added", judge_keep(j, text));
}
