#include "check.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
parse_field(struct event *e, char *word)
{
	char *eq = strchr(word, '=');

	if (!eq || e->nfield == EVENT_FIELDS_MAX)
		return -1;
	*eq = '\0';
	e->field[e->nfield].name = word;
	e->field[e->nfield].value = eq + 1;
	e->nfield++;
	return 0;
}

struct event *
event_parse(const char *line, struct kq_error *err)
{
	struct event *e = g_new0(struct event, 1);
	char *rest, *at, *word, *end;

	e->line = g_strdup(line);
	e->words = g_strdup(line);
	at = strtok_r(e->words, " ", &rest);
	e->who = strtok_r(NULL, " ", &rest);
	e->kind = strtok_r(NULL, " ", &rest);
	if (!e->kind)
		goto bad;
	e->at = strtoll(at, &end, 10);
	if (*end)
		goto bad;
	while ((word = strtok_r(NULL, " ", &rest)))
		if (parse_field(e, word))
			goto bad;
	return e;
bad:
	kq_error_set(err, KQ_LAYER_TOOL, 1,
	    "expected TIME WHO KIND [NAME=VALUE]...: %s", line);
	event_free(e);
	return NULL;
}

void
event_free(struct event *e)
{
	g_free(e->line);
	g_free(e->words);
	g_free(e);
}

const char *
event_get(const struct event *e, const char *name)
{
	int i;

	if (!strcmp(name, "who"))
		return e->who;
	for (i = 0; i < e->nfield; i++)
		if (!strcmp(e->field[i].name, name))
			return e->field[i].value;
	return "";
}

int64_t
event_number(const struct event *e, const char *name)
{
	return strtoll(event_get(e, name), NULL, 10);
}

int
event_is(const struct event *e, const char *kind)
{
	return !strcmp(e->kind, kind);
}

int
event_read_file(GPtrArray *events, const char *path, struct kq_error *err)
{
	FILE *f = fopen(path, "r");
	char *line = NULL;
	struct event *e;
	size_t size = 0;
	int line_number = 0;

	if (!f)
		return kq_error_set(err, KQ_LAYER_TOOL, 2, "%s: %s", path,
		    g_strerror(errno));
	while (getline(&line, &size, f) >= 0) {
		line_number++;
		line[strcspn(line, "\n")] = '\0';
		if (!*line)
			continue;
		e = event_parse(line, err);
		if (!e) {
			kq_error_wrap(err, KQ_LAYER_TOOL, 1, "%s, line %d",
			    path, line_number);
			break;
		}
		g_ptr_array_add(events, e);
	}
	free(line);
	return fclose(f) || err->code ? -1 : 0;
}

static gint
compare_time(gconstpointer p, gconstpointer q)
{
	const struct event *a = *(const struct event *const *)p;
	const struct event *b = *(const struct event *const *)q;

	if (a->at != b->at)
		return a->at < b->at ? -1 : 1;
	return a->index < b->index ? -1 : a->index > b->index;
}

static void
number_events(GPtrArray *events)
{
	uint32_t i;

	for (i = 0; i < events->len; i++)
		((struct event *)g_ptr_array_index(events, i))->index = i;
}

void
event_sort(GPtrArray *events)
{
	number_events(events);
	g_ptr_array_sort(events, compare_time);
	number_events(events);
}
