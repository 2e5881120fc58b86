#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "judge_impl.h"

#define TOLD_MAX 8 /* findings of a rule that are told with their events */
#define LINES_MAX 40
#define BEFORE_US (GRACE_US + OVER_US)
#define PER 10000

static const char *const rules[] = { "LOST/planned-stop", "LOST/stop-unpassed",
	"LOST/planned-start", "LOST/own-answer-after-sigterm", "LOST/hup",
	"LOST/config", "LOST/kept", "TWICE", "REFUSED", "MIXED/not-its-answer",
	"MIXED/unsigned", "MIXED/not-whole", "CONFIG/timeout",
	"CONFIG/old-version", "CONFIG/went-back", "CONFIG/share",
	"CONFIG/added", "DENIED", "DENIED/out-of-touch", "ROUTE",
	"GONE/passed-on", "GONE/at-work", "Fault/own-end", "Fault/grace-over",
	"Fault/memory", "INFO/refused-late", "INFO/call-unsent" };

static void
add(struct judgement *j, struct finding f)
{
	g_array_append_val(j->findings, f);
}

void
judge_find(struct judgement *j, const char *rule,
    const struct judged_request *q)
{
	add(j, (struct finding){ rule, NULL, q, NULL });
}

void
judge_find_unless(struct judgement *j, const char *rule, const char *unless,
    const struct judged_request *q)
{
	add(j, (struct finding){ rule, unless, q, NULL });
}

void
judge_find_line(struct judgement *j, const char *rule, const char *line)
{
	add(j, (struct finding){ rule, NULL, NULL, line });
}

void
judge_excuse(struct judgement *j, const char *name)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(j->excused, name));

	g_hash_table_insert(j->excused, (char *)name, GINT_TO_POINTER(n + 1));
}

static void
tell_lines(const char *what, const GPtrArray *lines, int64_t from, int64_t to)
{
	const char *text;
	int64_t t;
	guint i, n = 0;

	printf("   its %s:\n", what);
	for (i = 0; i < lines->len && n < LINES_MAX; i++) {
		text = g_ptr_array_index(lines, i);
		t = strtoll(text, NULL, 10);
		if (t < from || t > to)
			continue;
		printf("    %s\n", text);
		n++;
	}
}

static void
tell_machine(const char *what, const struct judged_machine *m,
    const struct judged_request *q)
{
	if (m)
		tell_lines(what, m->lines, q->began - BEFORE_US, q->over);
}

static void
tell(const struct finding *f, int with_events)
{
	const struct judged_request *q = f->request;
	const struct run *r;

	if (f->unless)
		printf("excused-if/%s ", f->unless);
	printf("%s ", f->rule);
	if (!q) {
		printf("%s\n", f->line);
		return;
	}
	printf("%s at %s on %s\n", q->id, q->to ? q->to->address : "?",
	    q->conn ? q->conn : "?");
	if (!with_events)
		return;
	tell_lines("events", q->lines, 0, NEVER);
	tell_machine("machine", q->to, q);
	r = judge_last_run(q);
	if (r && r->at != q->to)
		tell_machine("target's machine", r->at, q);
}

static int
count_of(const struct judgement *j, const char *rule, const char *unless)
{
	const struct finding *f;
	guint i;
	int n = 0;

	for (i = 0; i < j->findings->len; i++) {
		f = &g_array_index(j->findings, struct finding, i);
		n += !strcmp(f->rule, rule) && !g_strcmp0(f->unless, unless);
	}
	return n;
}

static void
tell_rule(const struct judgement *j, const char *rule, int excused)
{
	const struct finding *f;
	guint i;
	int told = 0;

	for (i = 0; i < j->findings->len; i++) {
		f = &g_array_index(j->findings, struct finding, i);
		if (!strcmp(f->rule, rule) && (f->unless != NULL) == excused)
			tell(f, told++ < TOLD_MAX &&
				    strcmp(excused ? f->unless : "",
					"information") != 0);
	}
}

static int
count_sent(const struct judgement *j)
{
	const struct judged_request *q;
	guint i;
	int n = 0;

	for (i = 0; i < j->requests->len; i++) {
		q = g_ptr_array_index(j->requests, i);
		n += q->sent != 0;
	}
	return n;
}

static void
print_answers(const struct judgement *j)
{
	const struct judged_request *q;
	int count[1000] = { 0 }, status;
	guint i;

	for (i = 0; i < j->requests->len; i++) {
		q = g_ptr_array_index(j->requests, i);
		if (q->outcome == SEEN_WHOLE && q->status > 0 &&
		    q->status < (int)G_N_ELEMENTS(count))
			count[q->status]++;
	}
	printf("whole answers");
	for (status = 0; status < (int)G_N_ELEMENTS(count); status++)
		if (count[status])
			printf(" %d: %d", status, count[status]);
	printf("\n");
}

static void
print_excuses(const struct judgement *j)
{
	GList *names = g_list_sort(g_hash_table_get_keys(j->excused),
	    (GCompareFunc)strcmp);
	GList *l;

	for (l = names; l; l = l->next)
		printf("excused %s %d\n", (const char *)l->data,
		    GPOINTER_TO_INT(g_hash_table_lookup(j->excused, l->data)));
	g_list_free(names);
}

static void
print_excused_if(const struct judgement *j, const char *rule)
{
	static const char *const readings[] = { "beside-target", "store-path",
		"target-not-sound", "answer-had-begun", "information" };
	guint i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(readings); i++) {
		n = count_of(j, rule, readings[i]);
		if (n)
			printf("excused-if/%s %s %d\n", readings[i], rule, n);
	}
}

int
judge_print(const struct judgement *j)
{
	int sent = count_sent(j), n, broken = 0;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rules); i++)
		tell_rule(j, rules[i], 0);
	for (i = 0; i < G_N_ELEMENTS(rules); i++)
		tell_rule(j, rules[i], 1);
	printf("requests %d\n", sent);
	print_answers(j);
	if (judge_has_routes(j))
		judge_config_print(j);
	print_excuses(j);
	for (i = 0; i < G_N_ELEMENTS(rules); i++)
		print_excused_if(j, rules[i]);
	for (i = 0; i < G_N_ELEMENTS(rules); i++) {
		n = count_of(j, rules[i], NULL);
		broken += n;
		if (n)
			printf("%s %d, in 10000 requests %.1f\n", rules[i], n,
			    (double)n * PER / MAX(sent, 1));
	}
	printf("findings %d\n", broken);
	return broken;
}
