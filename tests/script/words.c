#include "script.h"

#include <string.h>

const char *
words_value(const struct words *w, const char *key)
{
	size_t n = strlen(key);
	int i;

	for (i = 1; i < w->n; i++)
		if (!strncmp(w->word[i], key, n) && w->word[i][n] == '=')
			return w->word[i] + n + 1;
	return NULL;
}

double
words_number(const struct words *w, const char *key, double fallback)
{
	const char *v = words_value(w, key);

	return v ? g_ascii_strtod(v, NULL) : fallback;
}

const char *
words_name(const struct words *w)
{
	return w->n > 2 ? w->word[2] : "-";
}

int
words_has(const struct words *w, const char *word)
{
	int i;

	for (i = 2; i < w->n; i++)
		if (!strcmp(w->word[i], word))
			return 1;
	return 0;
}
