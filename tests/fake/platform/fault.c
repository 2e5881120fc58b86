#include "platform.h"

#include <stdlib.h>

static long
query_number(GHashTable *query, const char *name, long fallback)
{
	const char *t = g_hash_table_lookup(query, name);

	return t ? strtol(t, NULL, 10) : fallback;
}

int
fault_set(struct platform *p, GHashTable *query)
{
	const char *m = query ? g_hash_table_lookup(query, "mode") : NULL;

	if (!m)
		return SOUP_STATUS_BAD_REQUEST;
	if (g_str_equal(m, "lose-answer")) {
		p->lose_answers = (int)query_number(query, "count", 1);
		return SOUP_STATUS_OK;
	}
	if (g_str_equal(m, "version-back")) {
		store_rollback(&p->store,
		    (uint64_t)query_number(query, "by", 1));
		return SOUP_STATUS_OK;
	}
	if (g_str_equal(m, "deaf-watch")) {
		p->mode = FAULT_DEAF_WATCH;
	} else if (g_str_equal(m, "ok")) {
		p->mode = FAULT_OK;
		p->lose_answers = 0;
	} else if (g_str_equal(m, "down")) {
		p->mode = FAULT_DOWN;
		watch_abort_all(p);
		users_abort_watches(p);
	} else if (g_str_equal(m, "slow")) {
		p->mode = FAULT_SLOW;
		p->slow_ms = (int)query_number(query, "ms", 1000);
	} else if (g_str_equal(m, "break-watch")) {
		p->mode = FAULT_BREAK_WATCH;
		watch_abort_all(p);
	} else if (g_str_equal(m, "old-watch")) {
		p->mode = FAULT_OLD_WATCH;
		watch_answer_all(p);
	} else {
		return SOUP_STATUS_BAD_REQUEST;
	}
	return SOUP_STATUS_OK;
}
