#include "judge_impl.h"

static const struct version *
version_at(const struct judgement *j, guint i)
{
	return &g_array_index(j->versions, struct version, i);
}

int
judge_has_routes(const struct judgement *j)
{
	guint i;

	for (i = 0; i < j->versions->len; i++)
		if (g_hash_table_size(version_at(j, i)->routes))
			return 1;
	return 0;
}

const GArray *
judge_parts(const struct judgement *j, guint version, const char *route)
{
	return g_hash_table_lookup(version_at(j, version)->routes, route);
}

static int
goes_to(const GArray *parts, const char *service)
{
	guint i;

	for (i = 0; i < parts->len; i++)
		if (!g_strcmp0(g_array_index(parts, struct part, i).service,
			service))
			return 1;
	return 0;
}

guint
judge_allows(const struct judgement *j, guint from, guint to, int64_t t,
    const char *route, const char *service)
{
	const GArray *parts;
	guint i;

	for (i = from; i < to; i++) {
		parts = judge_parts(j, i, route);
		if (version_at(j, i)->sent <= t && parts &&
		    (!service || goes_to(parts, service)))
			return i + 1;
	}
	return 0;
}

int
judge_all_have(const struct judgement *j, guint from, guint to, int64_t t,
    const char *route)
{
	guint i, n = 0;

	for (i = from; i < to; i++) {
		if (version_at(j, i)->sent > t)
			continue;
		if (!judge_parts(j, i, route))
			return 0;
		n++;
	}
	return n > 0;
}

int
judge_same_way(const struct judgement *j, guint a, guint b, const char *route)
{
	const GArray *x = judge_parts(j, a, route);
	const GArray *y = judge_parts(j, b, route);
	const struct part *p, *q;
	guint i;

	if (!x || !y || x->len != y->len)
		return x == y;
	for (i = 0; i < x->len; i++) {
		p = &g_array_index(x, struct part, i);
		q = &g_array_index(y, struct part, i);
		if (p->service != q->service || p->weight != q->weight)
			return 0;
	}
	return 1;
}

/* An unstable store stretches the bound, unless it was away meanwhile. */
int
judge_oldest(const struct judgement *j, const struct judged_machine *m,
    int64_t t)
{
	int moved = judge_store_moved(j, t - TOUCH_US, t);
	int64_t bound = moved ? APPLY_US + OUTER_US : APPLY_US, acked;
	int i;

	if (!judge_in_touch(m, t) || judge_store_away(j, t - TOUCH_US, t))
		return -1;
	for (i = (int)j->versions->len - 1; i >= 0; i--) {
		acked = version_at(j, (guint)i)->acked;
		if (acked == NEVER || acked + bound >= t)
			continue;
		return moved && judge_store_away(j, acked - TOUCH_US, t) ? -1
									 : i;
	}
	return -1;
}

int
judge_calm(const struct judgement *j, const struct judged_machine *m, int64_t t)
{
	return judge_in_touch(m, t) && !judge_store_moved(j, t - TOUCH_US, t) &&
	       !judge_store_away(j, t - TOUCH_US, t);
}

int
judge_is_own_answer(const struct judged_request *q)
{
	return q->outcome == SEEN_WHOLE && !q->is_signed;
}
