#include "script.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct module *const modules[] = { &module_once, &module_admit,
	&module_retry, &module_budget, &module_config, &module_pick };
#define MODULES G_N_ELEMENTS(modules)

struct script {
	int64_t now;
	void *state[MODULES];
};

static void
split_words(struct words *w, char *line)
{
	char *rest, *word;

	w->n = 0;
	word = strtok_r(line, " \t", &rest);
	for (; word && w->n < WORDS_MAX; word = strtok_r(NULL, " \t", &rest))
		w->word[w->n++] = word;
}

static int
run_module(struct script *s, const struct words *w, GString *out)
{
	size_t i;

	for (i = 0; i < MODULES; i++)
		if (w->n > 1 && !strcmp(modules[i]->name, w->word[0]))
			return modules[i]->run(s->state[i], s->now, w, out);
	return -1;
}

static int
run_line(struct script *s, const char *line)
{
	char *copy = g_strdup(line);
	GString *out = g_string_new(NULL);
	struct words w;
	int bad = 0;

	split_words(&w, copy);
	if (!w.n || *w.word[0] == '#') {
		printf("%s\n", line);
	} else if (!strcmp(w.word[0], "at") && w.n == 2) {
		s->now = (int64_t)(g_ascii_strtod(w.word[1], NULL) * MS);
	} else {
		bad = run_module(s, &w, out);
		printf("%8.1f ms  %s%s%s\n", (double)s->now / MS, line,
		    out->len ? "  -> " : "", out->str);
	}
	g_string_free(out, TRUE);
	g_free(copy);
	return bad;
}

static int
run_file(struct script *s, FILE *f)
{
	char *line = NULL;
	size_t size = 0;
	int number = 0, bad = 0;

	while (!bad && getline(&line, &size, f) >= 0) {
		number++;
		line[strcspn(line, "\n")] = '\0';
		bad = run_line(s, line);
	}
	if (bad)
		fprintf(stderr, "script-run: line %d: invalid command: %s\n",
		    number, line);
	free(line);
	return bad;
}

int
main(int argc, char **argv)
{
	struct script s = { 0 };
	size_t i;
	FILE *f;
	int bad;

	f = argc == 2 ? fopen(argv[1], "r") : NULL;
	if (!f) {
		fprintf(stderr, "usage: script-run FILE\n");
		return 2;
	}
	for (i = 0; i < MODULES; i++)
		s.state[i] = modules[i]->open();
	bad = run_file(&s, f);
	for (i = 0; i < MODULES; i++)
		modules[i]->close(s.state[i]);
	fclose(f);
	return bad ? 1 : 0;
}
