#include "script.h"

#include <string.h>

#include "pick.h"

#define CANDIDATES_MAX 16
#define CALLS_MAX 4096

struct candidate {
	char *name;
	uint32_t handle;
	int64_t took;
	int lost; /* nonzero: calls to it are lost */
	int got;
};

struct pick_script {
	struct pick *pick;
	int n;
	struct candidate candidate[CANDIDATES_MAX];
	GQueue ends; /* struct end, soonest first */
};

struct end {
	int64_t at;
	int candidate;
	int64_t took;
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
	g_queue_clear_full(&s->ends, g_free);
	pick_free(s->pick);
	g_free(s);
}

static gint
by_end(gconstpointer p, gconstpointer q, gpointer ctx)
{
	const struct end *a = p, *b = q;

	return a->at < b->at ? -1 : a->at > b->at;
}

static void
finish_until(struct pick_script *s, int64_t now)
{
	struct candidate *c;
	struct end *e;

	while ((e = g_queue_peek_head(&s->ends)) && e->at <= now) {
		c = &s->candidate[e->candidate];
		pick_done(s->pick, c->handle, e->at, e->took,
		    c->lost ? PICK_LOST : PICK_GOOD, NULL);
		g_free(g_queue_pop_head(&s->ends));
	}
}

static void
call(struct pick_script *s, int64_t now)
{
	uint32_t h = pick_choose(s->pick, now, NULL, 0);
	struct end *e;
	int i;

	for (i = 0; i < s->n; i++)
		if (h != PICK_NONE && s->candidate[i].handle == h)
			break;
	if (i == s->n)
		return;
	pick_sent(s->pick, h, now);
	s->candidate[i].got++;
	e = g_new(struct end, 1);
	e->candidate = i;
	e->took = s->candidate[i].took;
	e->at = now + e->took;
	g_queue_insert_sorted(&s->ends, e, by_end, NULL);
}

/* Only coarse shares are printed, as the choice is random. */
static const char *
share_name(int got, int n)
{
	if (!got)
		return "none";
	if (got * 20 < n)
		return "few";
	return got * 5 < n * 3 ? "some" : "most";
}

static void
calls(struct pick_script *s, int64_t now, const struct words *w, GString *out)
{
	int i, n = MIN(CALLS_MAX, (int)words_number(w, "n", 100));
	int64_t gap = (int64_t)(words_number(w, "gap", 1) * MS);

	for (i = 0; i < s->n; i++)
		s->candidate[i].got = 0;
	for (i = 0; i < n; i++) {
		finish_until(s, now + i * gap);
		call(s, now + i * gap);
	}
	for (i = 0; i < s->n; i++)
		g_string_append_printf(out, "%s%s %s", i ? ", " : "",
		    s->candidate[i].name, share_name(s->candidate[i].got, n));
}

static int
change(struct pick_script *s, const struct words *w)
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
		c->took = (int64_t)(words_number(w, "took", 2) * MS);
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
		calls(s, now, w, out);
		return 0;
	}
	if (strcmp(w->word[1], "add"))
		return change(s, w);
	if (s->n == CANDIDATES_MAX)
		return -1;
	c = &s->candidate[s->n++];
	c->name = g_strdup(words_name(w));
	c->took = (int64_t)(words_number(w, "took", 2) * MS);
	c->handle = pick_add(s->pick, now, !words_has(w, "remote"),
	    words_number(w, "share", 1));
	return 0;
}

const struct module module_pick = { "pick", pick_open, pick_run, pick_close };
