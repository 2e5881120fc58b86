#include "judge_impl.h"

#define STATUS_UNAUTHORIZED 401
#define STATUS_FORBIDDEN 403
#define STATUS_NOT_FOUND 404
#define STATUS_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY 429
#define DENIED_LEAST 5
#define DENIED_ONE_IN 500
#define DENIED_OUT_OF_TOUCH 10

static int
is_denial(const struct judged_request *q)
{
	return judge_is_own_answer(q) &&
	       (q->status / 100 == 3 || q->status / 100 == 4) &&
	       q->status != STATUS_TIMEOUT && q->status != STATUS_MISDIRECTED &&
	       q->status != STATUS_TOO_MANY;
}

/* Nonzero if it says that the configuration doesn't allow the request. */
static int
is_of_config(const struct judged_request *q)
{
	return q->status == STATUS_UNAUTHORIZED ||
	       q->status == STATUS_FORBIDDEN || q->status == STATUS_NOT_FOUND;
}

/* Oldest version that may be in force at @t. */
static guint
oldest_in_force(const struct judgement *j, int64_t t)
{
	const struct version *v;
	guint i;

	for (i = j->versions->len; i-- > 0;) {
		v = &g_array_index(j->versions, struct version, i);
		if (v->acked != NEVER && v->acked + APPLY_US < t)
			return i;
	}
	return 0;
}

static void
find_all(struct judgement *j, const char *rule, const GPtrArray *found,
    guint most)
{
	guint i;

	for (i = 0; found->len > most && i < found->len; i++)
		judge_find(j, rule, g_ptr_array_index(found, i));
}

void
judge_denied(struct judgement *j)
{
	GPtrArray *denied = g_ptr_array_new(), *away = g_ptr_array_new();
	guint i, n = j->versions->len, all = 0;
	struct judged_request *q;
	int by_all, in_force;

	for (i = 0; i < j->requests->len; i++) {
		q = g_ptr_array_index(j->requests, i);
		if (!q->sent || !q->route)
			continue;
		all++;
		if (!is_denial(q))
			continue;
		by_all =
		    is_of_config(q) && judge_all_have(j, 0, n, NEVER, q->route);
		in_force = judge_calm(j, q->to, q->began) &&
			   judge_all_have(j, oldest_in_force(j, q->began), n,
			       q->over, q->route);
		j->counts.refused_by_all += by_all;
		j->counts.refused += by_all || in_force;
		if (by_all || in_force)
			g_ptr_array_add(denied, q);
		if (by_all && !judge_calm(j, q->to, q->began))
			g_ptr_array_add(away, q);
	}
	find_all(j, "DENIED", denied, DENIED_LEAST + all / DENIED_ONE_IN);
	find_all(j, "DENIED/out-of-touch", away, DENIED_OUT_OF_TOUCH);
	g_ptr_array_free(away, TRUE);
	g_ptr_array_free(denied, TRUE);
}
