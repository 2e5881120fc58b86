#include <stdlib.h>
#include <string.h>

#include "judge_line.h"

#define CALLER_PORT ":8400"

/* Copies the value of a field; Return: 0 if there is none. */
int
line_field(const struct line *l, const char *name, char *value)
{
	char key[FIELD_BYTES];
	const char *at;

	g_snprintf(key, sizeof key, " %s=", name);
	at = strstr(l->text, key);
	*value = '\0';
	if (!at)
		return 0;
	at += strlen(key);
	g_strlcpy(value, at, MIN(FIELD_BYTES, strcspn(at, " ") + 1));
	return 1;
}

int64_t
line_number(const struct line *l, const char *name)
{
	char value[FIELD_BYTES];

	return line_field(l, name, value) ? strtoll(value, NULL, 10) : 0;
}

const char *
judge_keep(struct judgement *j, const char *s)
{
	return g_string_chunk_insert_const(j->names, s);
}

struct judged_machine *
judge_machine(struct judgement *j, const char *address)
{
	struct judged_machine *m = g_hash_table_lookup(j->machine_of, address);

	if (m)
		return m;
	m = g_new0(struct judged_machine, 1);
	m->address = judge_keep(j, address);
	m->start = g_array_new(FALSE, FALSE, sizeof(int64_t));
	m->begun = g_array_new(FALSE, FALSE, sizeof(int64_t));
	m->term = g_array_new(FALSE, FALSE, sizeof(int64_t));
	m->hup = g_array_new(FALSE, FALSE, sizeof(int64_t));
	m->end = g_array_new(FALSE, FALSE, sizeof(int64_t));
	m->parted = g_array_new(FALSE, FALSE, sizeof(struct span));
	m->unsound = g_array_new(FALSE, FALSE, sizeof(struct span));
	m->spans = g_array_new(FALSE, FALSE, sizeof(struct span));
	m->lines = g_ptr_array_new();
	g_ptr_array_add(j->machines, m);
	g_hash_table_insert(j->machine_of, (char *)m->address, m);
	return m;
}

struct judged_machine *
line_machine(struct judgement *j, const struct line *l)
{
	char at[FIELD_BYTES];
	struct judged_machine *m;

	line_field(l, "at", at);
	m = judge_machine(j, at);
	g_ptr_array_add(m->lines, (char *)l->text);
	return m;
}

/* Machine of the target that writes a line. */
struct judged_machine *
line_beside(struct judgement *j, const struct line *l)
{
	char at[2 * FIELD_BYTES];

	g_snprintf(at, sizeof at, "%.*s%s", (int)strcspn(l->who, ":"), l->who,
	    CALLER_PORT);
	return judge_machine(j, at);
}

static int
compare(const void *a, const void *b)
{
	const struct line *x = a, *y = b;

	if (x->t != y->t)
		return x->t < y->t ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

/* Copies a word and the blank after it; Return: what follows, NULL if there is
 * nothing. */
static const char *
take_word(const char *at, char *word)
{
	size_t n = strcspn(at, " ");

	g_strlcpy(word, at, MIN(FIELD_BYTES, n + 1));
	return at[n] ? at + n + 1 : NULL;
}

static int
parse(struct line *l, const char *text)
{
	char *end;
	const char *at;

	l->text = text;
	l->t = strtoll(text, &end, 10);
	if (end == text || *end != ' ')
		return -1;
	at = take_word(end + 1, l->who);
	if (!at)
		return -1;
	take_word(at, l->event);
	return 0;
}

static void
split_text(char *text, GArray *lines)
{
	struct line l;
	char *next;

	for (; *text; text = next) {
		next = text + strcspn(text, "\n");
		if (*next)
			*next++ = '\0';
		l.order = lines->len;
		if (!parse(&l, text))
			g_array_append_val(lines, l);
	}
}

static int
compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
read_line(struct judgement *j, const struct line *l)
{
	const struct line_kind *k;

	for (k = line_kinds_requests; k->event; k++)
		if (!strcmp(k->event, l->event))
			k->read(j, l);
	for (k = line_kinds_plan; k->event; k++)
		if (!strcmp(k->event, l->event))
			k->read(j, l);
}

int
judge_read(struct judgement *j, char **files, int n)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	char *text;
	guint i;
	int k, bad = 0;

	qsort(files, (size_t)n, sizeof *files, compare_names);
	for (k = 0; k < n; k++) {
		if (!g_file_get_contents(files[k], &text, NULL, NULL)) {
			bad = -1;
			continue;
		}
		g_ptr_array_add(j->texts, text);
		split_text(text, lines);
	}
	g_array_sort(lines, compare);
	for (i = 0; i < lines->len; i++)
		read_line(j, &g_array_index(lines, struct line, i));
	g_array_free(lines, TRUE);
	return bad;
}
