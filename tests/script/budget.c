#include "script.h"

#include <string.h>

#include "budget.h"

static void *
budget_open(void)
{
	return g_new0(struct budget, 1);
}

static int
budget_run(void *p, int64_t now, const struct words *w, GString *out)
{
	struct budget *b = p;

	if (!strcmp(w->word[1], "target"))
		budget_init(b, words_number(w, "per_s", 1), now);
	else if (!strcmp(w->word[1], "rate"))
		budget_set_rate(b, words_number(w, "per_s", 1));
	else if (!strcmp(w->word[1], "take"))
		g_string_append(out, budget_take(b, now) ? "measure" : "no");
	else
		return -1;
	if (budget_next_time(b) == BUDGET_NEVER)
		g_string_append(out, "; next never");
	else
		g_string_append_printf(out, "%snext at %.1f ms",
		    out->len ? "; " : "", (double)budget_next_time(b) / MS);
	return 0;
}

const struct module module_budget = { "budget", budget_open, budget_run,
	g_free };
