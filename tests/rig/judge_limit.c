#include "judge_impl.h"

#define USED_TENTHS 7

static const struct version *
version_at(const struct judgement *j, guint i)
{
	return &g_array_index(j->versions, struct version, i);
}

/* Nonzero if the version may be in force while the request is open. */
static int
may_bind(const struct judgement *j, guint i, const struct judged_request *q)
{
	guint k;

	if (version_at(j, i)->sent > q->over)
		return 0;
	for (k = i + 1; k < j->versions->len; k++)
		if (version_at(j, k)->acked != NEVER &&
		    version_at(j, k)->acked + APPLY_US < q->began)
			return 0;
	return 1;
}

/* Time limit that a version has for a route, 0 if none. */
static int64_t
time_of(const struct version *v, const char *route)
{
	void *ms = g_hash_table_lookup(v->timeouts, route ? route : "ms");

	if (!ms)
		ms = g_hash_table_lookup(v->timeouts, "ms");
	return GPOINTER_TO_INT(ms) * MS;
}

static int64_t
shortest(const struct judgement *j, const struct judged_request *q)
{
	int64_t t, least = 0;
	guint i;

	for (i = 0; i < j->versions->len; i++) {
		if (!may_bind(j, i, q))
			continue;
		t = time_of(version_at(j, i), q->route);
		if (t && (!least || t < least))
			least = t;
	}
	return least;
}

int64_t
judge_longest(const struct judgement *j, const struct judged_request *q)
{
	int64_t t, most = 0;
	guint i;

	for (i = 0; i < j->versions->len; i++) {
		if (!may_bind(j, i, q))
			continue;
		t = time_of(version_at(j, i), q->route);
		if (!t)
			return 0;
		most = MAX(most, t);
	}
	return most;
}

enum limit
judge_limit(const struct judgement *j, const struct judged_request *q)
{
	int64_t route = shortest(j, q);

	if (q->allowed && q->over >= q->began + q->allowed)
		return LIMIT_DEADLINE;
	if (route && q->over >= q->sent + route)
		return LIMIT_ROUTE;
	return LIMIT_NONE;
}

int
judge_used_most(const struct judgement *j, const struct judged_request *q)
{
	int64_t route = shortest(j, q);
	int64_t time = q->allowed ? q->allowed : NEVER;

	if (route)
		time = MIN(time, q->sent - q->began + route);
	return time != NEVER && (q->over - q->began) >= time / 10 * USED_TENTHS;
}

int
judge_by_config(const struct judgement *j, const struct judged_request *q)
{
	const struct version *v;
	guint i;

	for (i = 0; i < j->versions->len; i++) {
		v = version_at(j, i);
		if (v->sent <= q->over &&
		    (v->acked == NEVER ||
			q->over <= v->acked + APPLY_US + OVER_US))
			return 1;
	}
	return 0;
}
