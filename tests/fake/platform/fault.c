#include "platform.h"

#include <stdlib.h>

static long
query_number(GHashTable *query, const char *name, long fallback)
{
	const char *t = g_hash_table_lookup(query, name);

	return t ? strtol(t, NULL, 10) : fallback;
}

/* @how is silent, reset, none, or a status. */
static void
set_turn_away(struct platform *p, const char *how)
{
	if (!how || g_str_equal(how, "none"))
		p->turn_away = TURN_AWAY_NONE;
	else if (g_str_equal(how, "silent"))
		p->turn_away = TURN_AWAY_SILENT;
	else if (g_str_equal(how, "reset"))
		p->turn_away = TURN_AWAY_RESET;
	else
		p->turn_away = TURN_AWAY_STATUS;
	p->turn_away_status = how ? (int)strtol(how, NULL, 10) : 0;
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
	if (g_str_equal(m, "late-write")) {
		p->late_writes = (int)query_number(query, "count", 1);
		p->late_ms = (int)query_number(query, "ms", 3000);
		return SOUP_STATUS_OK;
	}
	if (g_str_equal(m, "pages")) {
		p->page_objects = (int)query_number(query, "objects", 0);
		return SOUP_STATUS_OK;
	}
	if (g_str_equal(m, "cut-history")) {
		store_forget_events(&p->store);
		return SOUP_STATUS_OK;
	}
	if (g_str_equal(m, "version-back")) {
		store_rollback(&p->store,
		    (uint64_t)query_number(query, "by", 1));
		return SOUP_STATUS_OK;
	}
	if (g_str_equal(m, "restore")) {
		store_rollback(&p->store,
		    (uint64_t)query_number(query, "by", 1));
		p->store.era++;
		users_abort_watches(p);
		return SOUP_STATUS_OK;
	}
	if (g_str_equal(m, "stale")) {
		const char *at = g_hash_table_lookup(query, "at");

		p->stale_ms = (int)query_number(query, "ms", 0);
		p->stale_names_now = at && g_str_equal(at, "now");
		p->stale_all = (int)query_number(query, "all", 0);
		return SOUP_STATUS_OK;
	}
	if (g_str_equal(m, "turn-away")) {
		set_turn_away(p, g_hash_table_lookup(query, "how"));
		return SOUP_STATUS_OK;
	}
	if (g_str_equal(m, "deaf-watch")) {
		p->mode = FAULT_DEAF_WATCH;
	} else if (g_str_equal(m, "ok")) {
		p->mode = FAULT_OK;
		p->lose_answers = 0;
		p->turn_away = TURN_AWAY_NONE;
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
		users_abort_watches(p);
	} else if (g_str_equal(m, "old-watch")) {
		p->mode = FAULT_OLD_WATCH;
		watch_answer_all(p);
	} else {
		return SOUP_STATUS_BAD_REQUEST;
	}
	return SOUP_STATUS_OK;
}
