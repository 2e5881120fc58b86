#include "script.h"

#include <string.h>

#include "config.h"

#define OBJECTS_MAX 16

struct config_script {
	struct config_table *table;
	GString *changes;
};

static const char *const outcomes[] = { "applied", "old", "gap", "went back",
	"conflict" };

static void
on_change(void *ctx, const struct config_object *o)
{
	struct config_script *s = ctx;

	g_string_append_printf(s->changes, ", %s@%d", o->name, (int)o->version);
	if (o->removed)
		g_string_append(s->changes, " removed");
}

static void *
config_open(void)
{
	struct config_script *s = g_new0(struct config_script, 1);

	s->table = config_new(on_change, s);
	s->changes = g_string_new(NULL);
	return s;
}

static void
config_close(void *p)
{
	struct config_script *s = p;

	config_free(s->table);
	g_string_free(s->changes, TRUE);
	g_free(s);
}

/* Reads KIND/NAME@VERSION:VALUE, or KIND/NAME@VERSION for a removed object. */
static int
read_object(struct config_object *o, const char *word)
{
	const char *slash = strchr(word, '/'), *at = strchr(word, '@');
	const char *value;
	char *kind, *end;

	if (!slash || !at || at < slash)
		return -1;
	memset(o, 0, sizeof *o);
	kind = g_strndup(word, (gsize)(slash - word));
	o->kind = config_kind_of(kind);
	g_free(kind);
	g_strlcpy(o->name, slash + 1, MIN(sizeof o->name, (gsize)(at - slash)));
	o->version = strtoull(at + 1, &end, 10);
	value = *end == ':' ? end + 1 : NULL;
	o->removed = !value;
	if (value)
		o->value = g_bytes_new(value, strlen(value));
	return o->kind < 0 ? -1 : 0;
}

/* Makes a list of one kind, which does not raise the complete version, of the
 * words after "list". */
static int
read_list(struct config_batch *b, const struct words *w)
{
	int kind = config_kind_of(words_name(w));

	if (kind < 0)
		return -1;
	b->kinds = 1u << kind;
	b->upto = (uint64_t)words_number(w, "at", 0);
	b->stale = words_has(w, "stale");
	b->hold = words_has(w, "hold");
	return 0;
}

static int
apply_batch(struct config_script *s, const struct words *w, GString *out)
{
	struct config_object object[OBJECTS_MAX] = { 0 };
	struct config_batch b = { 0 };
	enum config_outcome outcome;
	struct kq_error err;
	int i, bad = 0;

	b.source = (uint64_t)words_number(w, "source", CONFIG_SOURCE_PLATFORM);
	b.after = (uint64_t)words_number(w, "after", 0);
	b.complete = (uint64_t)words_number(w, "complete", 0);
	b.upto = (uint64_t)words_number(w, "upto", (double)b.complete);
	b.full = words_has(w, "full");
	b.object = object;
	if (!strcmp(w->word[1], "list"))
		bad = read_list(&b, w);
	for (i = 2; i < w->n && b.nobject < OBJECTS_MAX && !bad; i++)
		if (strchr(w->word[i], '@'))
			bad = read_object(&object[b.nobject++], w->word[i]);
	if (!bad) {
		outcome = config_apply_batch(s->table, &b, &err);
		g_string_append(out, outcomes[outcome]);
	}
	for (i = 0; i < b.nobject; i++)
		if (object[i].value)
			g_bytes_unref(object[i].value);
	return bad;
}

static void
find_object(struct config_script *s, const struct words *w, GString *out)
{
	char **part = g_strsplit(words_name(w), "/", 2);
	const struct config_object *o =
	    part[1] ? config_find(s->table, config_kind_of(part[0]), part[1])
		    : NULL;

	if (!o)
		g_string_append(out, "none");
	else if (o->removed)
		g_string_append_printf(out, "removed at %d", (int)o->version);
	else
		g_string_append_printf(out, "%.*s at %d",
		    (int)g_bytes_get_size(o->value),
		    (const char *)g_bytes_get_data(o->value, NULL),
		    (int)o->version);
	g_strfreev(part);
}

static int
config_run(void *p, int64_t now, const struct words *w, GString *out)
{
	struct config_script *s = p;
	int bad = 0;

	if (!strcmp(w->word[1], "find")) {
		find_object(s, w, out);
		return 0;
	}
	if (!strcmp(w->word[1], "digest")) {
		g_string_append_printf(out, "%016" G_GINT64_MODIFIER "x",
		    config_digest(s->table));
		return 0;
	}
	if (strcmp(w->word[1], "batch") && strcmp(w->word[1], "list"))
		return -1;
	bad = apply_batch(s, w, out);
	g_string_append(out, s->changes->str);
	g_string_append_printf(out, "; complete to %d",
	    (int)config_complete_version(s->table));
	g_string_truncate(s->changes, 0);
	return bad;
}

const struct module module_config = { "config", config_open, config_run,
	config_close };
