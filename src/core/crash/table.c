#include "core/crash/impl.h"

#include <string.h>

struct crash_table *
crash_new(void)
{
	struct crash_table *t = g_new0(struct crash_table, 1);

	t->requests =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return t;
}

void
crash_free(struct crash_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->requests);
	g_free(t);
}

struct crash_request *
crash_find(const struct crash_table *t, uint64_t request)
{
	return g_hash_table_lookup(t->requests, &request);
}

/* Whether @a is to be forgotten rather than @b. */
static int
forget_first(const struct crash_request *a, const struct crash_request *b)
{
	if (a->nstart != b->nstart)
		return a->nstart < b->nstart;
	return a->at < b->at;
}

static void
make_room(struct crash_table *t)
{
	const struct crash_request *r, *least = NULL;
	GHashTableIter it;
	gpointer v;

	if (g_hash_table_size(t->requests) < CRASH_REQUESTS_MAX)
		return;
	g_hash_table_iter_init(&it, t->requests);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		r = v;
		if (!least || forget_first(r, least))
			least = r;
	}
	g_hash_table_remove(t->requests, &least->request);
}

struct crash_request *
crash_add(struct crash_table *t, uint64_t request, int64_t now)
{
	struct crash_request *r = crash_find(t, request);

	if (r && now - r->at > CRASH_KEEP_US) {
		crash_forget(t, request);
		r = NULL;
	}
	if (r)
		return r;
	make_room(t);
	r = g_new0(struct crash_request, 1);
	r->request = request;
	r->at = now;
	g_hash_table_insert(t->requests, &r->request, r);
	return r;
}

void
crash_forget(struct crash_table *t, uint64_t request)
{
	g_hash_table_remove(t->requests, &request);
}

static struct crash_answer *
answer_slot(const struct crash_table *t, uint64_t request)
{
	return (
	    struct crash_answer *)&t->answered[request % CRASH_ANSWERED_SLOTS];
}

void
crash_remember_answer(struct crash_table *t, uint64_t request, int64_t at)
{
	struct crash_answer *a = answer_slot(t, request);

	a->request = request;
	a->at = at;
}

int
crash_was_answered(const struct crash_table *t, uint64_t request, int64_t now)
{
	const struct crash_answer *a = answer_slot(t, request);

	return a->at && a->request == request &&
	       now - a->at < CRASH_ANSWERED_US;
}

int64_t
crash_refused_until(const struct crash_table *t, uint64_t request, int64_t now)
{
	const struct crash_request *r = crash_find(t, request);

	return r && r->refused_until > now ? r->refused_until : 0;
}

int
crash_any(const struct crash_table *t)
{
	return g_hash_table_size(t->requests) > 0;
}

int
crash_count(const struct crash_table *t, int refused, int64_t now)
{
	GHashTableIter it;
	gpointer v;
	int n = 0;

	if (!refused)
		return (int)g_hash_table_size(t->requests);
	g_hash_table_iter_init(&it, t->requests);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += ((const struct crash_request *)v)->refused_until > now;
	return n;
}

int
crash_starts(const struct crash_table *t, uint64_t request)
{
	const struct crash_request *r = crash_find(t, request);

	return r ? r->nstart : 0;
}
