#include "script.h"

#include <string.h>

#include "pick.h"

#define CANDIDATES_MAX 16
#define CALLS_MAX 4096

struct candidate {
	char *name;
	uint32_t handle;
	int64_t latency_us; /* from pick to end of each call */
	int lost; /* nonzero if calls to it end as PICK_LOST */
	int picked; /* calls of the current command that picked it */
};

struct pick_script {
	struct pick *pick;
	int n;
	struct candidate candidate[CANDIDATES_MAX];
	GQueue pending; /* of struct pending_call, earliest end first */
};

struct pending_call {
	int64_t at; /* time at which it ends */
	int candidate;
	int64_t latency_us;
};

static void *
pick_open(void)
{
	return g_new0(struct pick_script, 1);
}

static void
pick_close(void *p)
{
	struct pick_script *s = p;

	while (s->n > 0)
		g_free(s->candidate[--s->n].name);
	g_queue_clear_full(&s->pending, g_free);
	pick_free(s->pick);
	g_free(s);
}

static gint
by_end_time(gconstpointer p, gconstpointer q, gpointer ctx)
{
	const struct pending_call *a = p, *b = q;

	return a->at < b->at ? -1 : a->at > b->at;
}

static void
end_calls_until(struct pick_script *s, int64_t now)
{
	struct candidate *c;
	struct pending_call *e;

	while ((e = g_queue_peek_head(&s->pending)) && e->at <= now) {
		c = &s->candidate[e->candidate];
		pick_done(s->pick, c->handle, e->at, e->latency_us,
		    c->lost ? PICK_LOST : PICK_GOOD, NULL);
		g_free(g_queue_pop_head(&s->pending));
	}
}

static void
send_call(struct pick_script *s, int64_t now)
{
	uint32_t h = pick_choose(s->pick, now, NULL, 0);
	struct pending_call *e;
	int i;

	for (i = 0; i < s->n; i++)
		if (h != PICK_NONE && s->candidate[i].handle == h)
			break;
	if (i == s->n)
		return;
	pick_sent(s->pick, h, now);
	s->candidate[i].picked++;
	e = g_new(struct pending_call, 1);
	e->candidate = i;
	e->latency_us = s->candidate[i].latency_us;
	e->at = now + e->latency_us;
	g_queue_insert_sorted(&s->pending, e, by_end_time, NULL);
}

/* Words for coarse shares: picks are random, so exact counts would differ. */
static const char *
share_name(int picked, int n)
{
	if (!picked)
		return "none";
	if (picked * 20 < n)
		return "few";
	return picked * 5 < n * 3 ? "some" : "most";
}

static void
send_calls(struct pick_script *s, int64_t now, const struct words *w,
    GString *out)
{
	int i, n = MIN(CALLS_MAX, (int)words_number(w, "n", 100));
	int64_t gap = (int64_t)(words_number(w, "gap", 1) * MS);

	for (i = 0; i < s->n; i++)
		s->candidate[i].picked = 0;
	for (i = 0; i < n; i++) {
		end_calls_until(s, now + i * gap);
		send_call(s, now + i * gap);
	}
	for (i = 0; i < s->n; i++)
		g_string_append_printf(out, "%s%s %s", i ? ", " : "",
		    s->candidate[i].name,
		    share_name(s->candidate[i].picked, n));
}

static int
change_candidate(struct pick_script *s, const struct words *w)
{
	struct candidate *c;
	int i;

	for (i = 0; i < s->n; i++)
		if (!strcmp(s->candidate[i].name, words_name(w)))
			break;
	if (i == s->n)
		return -1;
	c = &s->candidate[i];
	if (!strcmp(w->word[1], "remove"))
		pick_remove(s->pick, c->handle);
	else if (!strcmp(w->word[1], "share"))
		pick_set_share(s->pick, c->handle, words_number(w, "to", 1));
	else
		c->latency_us = (int64_t)(words_number(w, "took", 2) * MS);
	c->lost = words_has(w, "lost");
	return 0;
}

static int
pick_run(void *p, int64_t now, const struct words *w, GString *out)
{
	struct pick_config config = PICK_CONFIG_DEFAULT;
	struct pick_script *s = p;
	struct candidate *c;

	if (!strcmp(w->word[1], "table") && !s->pick) {
		s->pick = pick_new(&config);
		return 0;
	}
	if (!s->pick)
		return -1;
	if (!strcmp(w->word[1], "calls")) {
		send_calls(s, now, w, out);
		return 0;
	}
	if (strcmp(w->word[1], "add"))
		return change_candidate(s, w);
	if (s->n == CANDIDATES_MAX)
		return -1;
	c = &s->candidate[s->n++];
	c->name = g_strdup(words_name(w));
	c->latency_us = (int64_t)(words_number(w, "took", 2) * MS);
	c->handle = pick_add(s->pick, now, !words_has(w, "remote"),
	    words_number(w, "share", 1));
	return 0;
}

const struct module module_pick = { "pick", pick_open, pick_run, pick_close };
