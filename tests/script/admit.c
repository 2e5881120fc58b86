#include "script.h"

#include <string.h>

#include "admit.h"

struct admit_script {
	struct admit *admit;
	GHashTable *running; /* name to struct admit_run */
	GPtrArray *tags; /* tag minus 1 to name */
};

static const char *const reasons[] = { "ok", "full", "deadline", "cold",
	"draining", "out" };
static const char *const outcomes[] = { "good", "failed", "reset", "shed",
	"cancelled" };

static void *
admit_open(void)
{
	struct admit_script *s = g_new0(struct admit_script, 1);

	s->running =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->tags = g_ptr_array_new_with_free_func(g_free);
	return s;
}

static void
admit_close(void *p)
{
	struct admit_script *s = p;

	admit_free(s->admit);
	g_hash_table_destroy(s->running);
	g_ptr_array_free(s->tags, TRUE);
	g_free(s);
}

static void
make_target(struct admit_script *s, int64_t now, const struct words *w)
{
	struct admit_config c;

	c.slots = (int)words_number(w, "slots", 18);
	c.connections = (int)words_number(w, "connections", 260);
	c.cold_limit = (int)words_number(w, "cold", 2);
	c.cold_good_us = (int64_t)words_number(w, "good", 50) * MS;
	c.cold_idle_us = (int64_t)words_number(w, "idle", 0) * MS;
	c.queue_max = (int)words_number(w, "queue", 4);
	admit_free(s->admit);
	s->admit = admit_new(&c, now);
}

static void
add_running(struct admit_script *s, const char *name, const struct admit_run *r)
{
	struct admit_run *copy = g_new(struct admit_run, 1);

	*copy = *r;
	g_hash_table_insert(s->running, g_strdup(name), copy);
}

static void
request_admission(struct admit_script *s, int64_t now, const struct words *w,
    GString *out)
{
	int64_t deadline = now + (int64_t)words_number(w, "within", 1000) * MS;
	struct admit_run run;
	enum admit_reason reason = ADMIT_OK;
	enum admit_verdict v;
	uint32_t h;

	g_ptr_array_add(s->tags, g_strdup(words_name(w)));
	v = admit_request(s->admit, now, deadline, s->tags->len, &run, &h,
	    &reason);
	if (v == ADMIT_RUN)
		add_running(s, words_name(w), &run);
	g_string_append(out, v == ADMIT_RUN    ? "run"
			     : v == ADMIT_WAIT ? "wait"
					       : "not-run ");
	if (v == ADMIT_REFUSE)
		g_string_append(out, reasons[reason]);
}

static int
finish_request(struct admit_script *s, int64_t now, const struct words *w)
{
	struct admit_run *r = g_hash_table_lookup(s->running, words_name(w));
	int i;

	if (!r)
		return -1;
	for (i = 0; i < (int)G_N_ELEMENTS(outcomes); i++)
		if (words_has(w, outcomes[i]))
			break;
	if (i == (int)G_N_ELEMENTS(outcomes))
		return -1;
	admit_done(s->admit, now, r, (enum admit_outcome)i);
	g_hash_table_remove(s->running, words_name(w));
	return 0;
}

/* Runs @n requests one after another, each of which gets a good answer. */
static void
serve_requests(struct admit_script *s, int64_t now, const struct words *w,
    GString *out)
{
	int i, n = (int)words_number(w, "n", 1);
	enum admit_reason reason;
	struct admit_run r;
	uint32_t h;

	for (i = 0; i < n; i++) {
		now += (int64_t)(words_number(w, "took", 2) * MS);
		if (admit_request(s->admit, now, now + 1000 * MS, 0, &r, &h,
			&reason) != ADMIT_RUN)
			break;
		r.started = now - (int64_t)(words_number(w, "took", 2) * MS);
		admit_done(s->admit, now, &r, ADMIT_GOOD);
	}
	g_string_append_printf(out, "%d served", i);
}

static void
pop_queue(struct admit_script *s, int64_t now, GString *out)
{
	struct admit_item item;
	enum admit_pop p;
	const char *name;

	while ((p = admit_pop(s->admit, now, &item)) != ADMIT_POP_NONE) {
		name = g_ptr_array_index(s->tags, item.tag - 1);
		if (p == ADMIT_POP_RUN)
			add_running(s, name, &item.run);
		g_string_append_printf(out, "%s%s %s%s", out->len ? "; " : "",
		    name, p == ADMIT_POP_RUN ? "run" : "not-run ",
		    p == ADMIT_POP_RUN ? "" : reasons[item.reason]);
	}
}

static int
run_command(struct admit_script *s, int64_t now, const struct words *w,
    GString *out)
{
	const char *c = w->word[1];

	if (!strcmp(c, "request"))
		request_admission(s, now, w, out);
	else if (!strcmp(c, "done"))
		return finish_request(s, now, w);
	else if (!strcmp(c, "serve"))
		serve_requests(s, now, w, out);
	else if (!strcmp(c, "drain"))
		admit_drain(s->admit);
	else if (!strcmp(c, "out") || !strcmp(c, "in"))
		admit_set_out(s->admit, !strcmp(c, "out"));
	else if (!strcmp(c, "restarted"))
		admit_restarted(s->admit, now);
	else if (strcmp(c, "look"))
		return -1;
	return 0;
}

static int
admit_run(void *p, int64_t now, const struct words *w, GString *out)
{
	struct admit_script *s = p;

	if (!strcmp(w->word[1], "target"))
		make_target(s, now, w);
	else if (!s->admit || run_command(s, now, w, out))
		return -1;
	pop_queue(s, now, out);
	g_string_append_printf(out, "%sin flight %d, limit %d%s",
	    out->len ? "; " : "", admit_in_flight(s->admit),
	    admit_limit(s->admit, now),
	    admit_cold(s->admit, now) ? ", cold" : "");
	return 0;
}

const struct module module_admit = { "admit", admit_open, admit_run,
	admit_close };
