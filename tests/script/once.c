#include "script.h"

#include <string.h>

#include "once.h"

#define DEFAULT_INCARNATION 0xa1

/* Names of the script stand for request ids, runs and waiters. */
struct once_script {
	struct once *once;
	GHashTable *ids; /* name to struct once_id */
	GHashTable *entries; /* name to handle of the run */
	GHashTable *waiters; /* name to handle of the latest waiter */
	GString *replies;
};

static void *
once_open(void)
{
	struct once_script *s = g_new0(struct once_script, 1);

	s->ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->waiters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->replies = g_string_new(NULL);
	return s;
}

static void
once_close(void *p)
{
	struct once_script *s = p;

	once_free(s->once);
	g_hash_table_destroy(s->ids);
	g_hash_table_destroy(s->entries);
	g_hash_table_destroy(s->waiters);
	g_string_free(s->replies, TRUE);
	g_free(s);
}

static void
write_outcome(GString *out, enum once_outcome outcome,
    const struct once_answer *a)
{
	g_string_append(out, once_outcome_name(outcome));
	if (a)
		g_string_append_printf(out, " %d \"%.*s\"", a->status,
		    (int)a->body_len, (const char *)a->body);
}

static void
on_reply(void *ctx, void *arg, enum once_outcome outcome,
    const struct once_answer *a)
{
	struct once_script *s = ctx;

	g_string_append_printf(s->replies, "; waiting %s: ", (char *)arg);
	write_outcome(s->replies, outcome, a);
}

static void
make_table(struct once_script *s, const struct words *w)
{
	struct once_limits l = ONCE_LIMITS_DEFAULT;

	l.entries = (uint32_t)words_number(w, "entries", l.entries);
	l.bytes = (size_t)words_number(w, "bytes", (double)l.bytes);
	l.bytes_per_answer =
	    (size_t)words_number(w, "answer", (double)l.bytes_per_answer);
	l.waiters_per_id =
	    (uint32_t)words_number(w, "waiters", l.waiters_per_id);
	once_free(s->once);
	s->once = once_new((uint64_t)words_number(w, "incarnation",
			       DEFAULT_INCARNATION),
	    &l, on_reply, s);
}

static void
make_id(struct once_script *s, int64_t now, const struct words *w, GString *out)
{
	struct once_id *id = g_new0(struct once_id, 1);
	char text[ONCE_ID_LEN + 1];
	int64_t birth = now / MS;

	id->incarnation =
	    (uint64_t)words_number(w, "incarnation", DEFAULT_INCARNATION);
	id->created_ms = (uint64_t)words_number(w, "birth", (double)birth);
	g_strlcpy((char *)id->random, words_name(w), sizeof id->random);
	once_id_format(id, text);
	g_string_append(out, text);
	g_hash_table_insert(s->ids, g_strdup(words_name(w)), id);
}

static void
save_handle(GHashTable *t, const char *name, uint64_t handle)
{
	uint64_t *h = g_new(uint64_t, 1);

	*h = handle;
	g_hash_table_insert(t, g_strdup(name), h);
}

static uint64_t
find_handle(GHashTable *t, const char *name)
{
	uint64_t *h = g_hash_table_lookup(t, name);

	return h ? *h : 0;
}

static int
arrive(struct once_script *s, int64_t now, const struct words *w, GString *out)
{
	struct once_id *id = g_hash_table_lookup(s->ids, words_name(w));
	char text[ONCE_ID_LEN + 1];
	struct once_request r = { text, 0, NULL };
	const struct once_answer *a;
	enum once_outcome outcome;
	gpointer name;
	uint64_t h;

	if (!id ||
	    !g_hash_table_lookup_extended(s->ids, words_name(w), &name, NULL))
		return -1;
	once_id_format(id, text);
	r.arg = name;
	r.deadline = (int64_t)words_number(w, "deadline", 1e9) * MS;
	outcome = once_receive_request(s->once, &r, now, &h, &a);
	write_outcome(out, outcome, a);
	if (outcome == ONCE_RUN)
		save_handle(s->entries, words_name(w), h);
	if (outcome == ONCE_WAIT)
		save_handle(s->waiters, words_name(w), h);
	return 0;
}

static void
finish_entry(struct once_script *s, uint64_t h, const struct words *w)
{
	const char *body = words_value(w, "body");

	once_store_head(s->once, h, (int)words_number(w, "status", 200), NULL,
	    0);
	once_store_body(s->once, h, body ? body : "", body ? strlen(body) : 0);
	once_done(s->once, h);
}

static int
run_entry(struct once_script *s, int64_t now, const struct words *w,
    GString *out)
{
	uint64_t h = find_handle(s->entries, words_name(w));

	if (!strcmp(w->word[1], "send"))
		g_string_append(out,
		    once_begin_send(s->once, h, now) ? "sent" : "not sent");
	else if (!strcmp(w->word[1], "done"))
		finish_entry(s, h, w);
	else if (!strcmp(w->word[1], "lost"))
		write_outcome(out, once_answer_lost(s->once, h), NULL);
	else if (!strcmp(w->word[1], "refuse"))
		write_outcome(out, once_not_run(s->once, h), NULL);
	else if (!strcmp(w->word[1], "shed"))
		write_outcome(out, once_known_not_run(s->once, h), NULL);
	else if (!strcmp(w->word[1], "forget"))
		once_cancel_waiter(s->once,
		    find_handle(s->waiters, words_name(w)));
	else
		return -1;
	return 0;
}

static int
once_run(void *p, int64_t now, const struct words *w, GString *out)
{
	struct once_script *s = p;
	int bad = 0;

	if (!strcmp(w->word[1], "table"))
		make_table(s, w);
	else if (!strcmp(w->word[1], "id"))
		make_id(s, now, w, out);
	else if (!s->once)
		return -1;
	else if (!strcmp(w->word[1], "arrive"))
		bad = arrive(s, now, w, out);
	else if (!strcmp(w->word[1], "expire"))
		once_expire_waiters(s->once, now);
	else
		bad = run_entry(s, now, w, out);
	g_string_append(out, out->len || !s->replies->len
				 ? s->replies->str
				 : s->replies->str + 2);
	g_string_truncate(s->replies, 0);
	return bad;
}

const struct module module_once = { "once", once_open, once_run, once_close };
