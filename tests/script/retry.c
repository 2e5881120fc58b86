#include "script.h"

#include <string.h>

#include "retry.h"

struct retry_script {
	struct retry retry;
	GHashTable *calls; /* name to struct retry_call */
};

static const char *const causes[] = { "not-run", "failed", "lost", "final" };
static const char *const verdicts[] = { "send again", "final",
	"no: not idempotent, and it may have run", "no time", "no budget" };

static void *
retry_open(void)
{
	struct retry_script *s = g_new0(struct retry_script, 1);

	s->calls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return s;
}

static void
retry_close(void *p)
{
	struct retry_script *s = p;

	g_hash_table_destroy(s->calls);
	g_free(s);
}

static int
ask_retry(struct retry_script *s, struct retry_call *c, int64_t now,
    const struct words *w, GString *out)
{
	int i;

	for (i = 0; i < (int)G_N_ELEMENTS(causes); i++)
		if (words_has(w, causes[i])) {
			g_string_append(out,
			    verdicts[retry_allow_resend(&s->retry, c,
				(enum retry_cause)i, now)]);
			return 0;
		}
	return -1;
}

static void
start_call(struct retry_script *s, int64_t now, const struct words *w)
{
	struct retry_call *c = g_new0(struct retry_call, 1);

	retry_call_start(&s->retry, c, 0, 0, words_has(w, "idempotent"),
	    now + (int64_t)words_number(w, "within", 1000) * MS);
	g_hash_table_insert(s->calls, g_strdup(words_name(w)), c);
}

static void
earn_tokens(struct retry_script *s, const struct words *w)
{
	int n = (int)words_number(w, "n", 1);

	while (n-- > 0)
		retry_success(&s->retry,
		    (int64_t)(words_number(w, "took", 2) * MS));
}

/* Fails @n calls one after another; appends the verdict on the last one. */
static void
fail_calls(struct retry_script *s, int64_t now, const struct words *w,
    GString *out)
{
	int n = (int)words_number(w, "n", 1);
	enum retry_verdict v = RETRY_GO;
	struct retry_call c;

	while (n-- > 0) {
		retry_call_start(&s->retry, &c, 0, 0, 1, now + 1000 * MS);
		retry_begin_attempt(&c);
		v = retry_allow_resend(&s->retry, &c, RETRY_FAILED, now);
		retry_call_end(&s->retry, &c);
	}
	g_string_append(out, verdicts[v]);
}

static int
retry_run(void *p, int64_t now, const struct words *w, GString *out)
{
	struct retry_script *s = p;
	struct retry_call *c = g_hash_table_lookup(s->calls, words_name(w));

	if (!strcmp(w->word[1], "service"))
		retry_init(&s->retry, words_number(w, "ratio", 0.2),
		    words_has(w, "hedge"));
	else if (!strcmp(w->word[1], "earn"))
		earn_tokens(s, w);
	else if (!strcmp(w->word[1], "fail"))
		fail_calls(s, now, w, out);
	else if (!strcmp(w->word[1], "start"))
		start_call(s, now, w);
	else if (c && !strcmp(w->word[1], "sent"))
		retry_begin_attempt(c);
	else if (c && !strcmp(w->word[1], "ask"))
		return ask_retry(s, c, now, w, out);
	else if (c && !strcmp(w->word[1], "hedge"))
		g_string_append(out,
		    verdicts[retry_allow_hedge(&s->retry, c, now)]);
	else if (c && !strcmp(w->word[1], "end"))
		retry_call_end(&s->retry, c);
	else
		return -1;
	return 0;
}

const struct module module_retry = { "retry", retry_open, retry_run,
	retry_close };
