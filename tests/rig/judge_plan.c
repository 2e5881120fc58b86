#include <stdlib.h>
#include <string.h>

#include "judge_line.h"

static void
read_fell(struct judgement *j, const struct line *l)
{
	line_beside(j, l)->fell = l->t;
}

static void
read_start(struct judgement *j, const struct line *l)
{
	struct judged_machine *m = line_machine(j, l);
	struct span *s;
	guint i;

	g_array_append_val(m->start, l->t);
	if (!m->left)
		g_array_append_val(m->begun, l->t);
	m->killed = m->forced = m->left = 0;
	for (i = 0; i < m->spans->len; i++) {
		s = &g_array_index(m->spans, struct span, i);
		if (s->to == NEVER && s->trouble <= TROUBLE_STOP)
			s->to = l->t;
	}
}

static void
read_term(struct judgement *j, const struct line *l)
{
	g_array_append_val(line_machine(j, l)->term, l->t);
}

static void
read_hup(struct judgement *j, const struct line *l)
{
	g_array_append_val(line_machine(j, l)->hup, l->t);
}

static void
begin_span(GArray *spans, enum trouble trouble, int64_t t)
{
	struct span s = { NULL, trouble, t, NEVER };

	g_array_append_val(spans, s);
}

static void
end_span(GArray *spans, enum trouble trouble, int64_t t)
{
	struct span *s;
	guint i;

	for (i = 0; i < spans->len; i++) {
		s = &g_array_index(spans, struct span, i);
		if (s->trouble == trouble && s->to == NEVER)
			s->to = t;
	}
}

static void
read_kill(struct judgement *j, const struct line *l)
{
	struct judged_machine *m = line_machine(j, l);

	m->killed = 1;
	begin_span(m->spans, TROUBLE_KILL, l->t);
}

static void
read_stop(struct judgement *j, const struct line *l)
{
	begin_span(line_machine(j, l)->spans, TROUBLE_STOP, l->t);
}

static void
read_cont(struct judgement *j, const struct line *l)
{
	end_span(line_machine(j, l)->spans, TROUBLE_STOP, l->t);
}

static void
read_slow(struct judgement *j, const struct line *l)
{
	begin_span(line_machine(j, l)->spans, TROUBLE_SLOW, l->t);
}

static void
read_unslow(struct judgement *j, const struct line *l)
{
	end_span(line_machine(j, l)->spans, TROUBLE_SLOW, l->t);
}

/* Mode of a link; "open" ends the trouble. */
static void
read_mode(GArray *spans, const struct line *l)
{
	char mode[FIELD_BYTES];

	line_field(l, "mode", mode);
	end_span(spans, TROUBLE_LINK, l->t);
	if (strcmp(mode, "open") != 0)
		begin_span(spans, TROUBLE_LINK, l->t);
}

static void
read_link(struct judgement *j, const struct line *l)
{
	read_mode(line_machine(j, l)->spans, l);
}

static void
read_store_link(struct judgement *j, const struct line *l)
{
	read_mode(line_machine(j, l)->parted, l);
}

static void
read_overrun(struct judgement *j, const struct line *l)
{
	line_machine(j, l)->forced = 1;
	judge_find_line(j, "Fault/grace-over", l->text);
}

static void
read_memory(struct judgement *j, const struct line *l)
{
	line_machine(j, l)->forced = 1;
	judge_find_line(j, "Fault/memory", l->text);
}

/* An end that neither a SIGTERM in its grace nor a SIGKILL explains. */
static void
read_end(struct judgement *j, const struct line *l)
{
	struct judged_machine *m = line_machine(j, l);
	int64_t start = judge_last(m->start, l->t);
	int64_t term = 0;
	guint i;

	for (i = 0; i < m->term->len && term < start; i++)
		term = g_array_index(m->term, int64_t, i);
	g_array_append_val(m->end, l->t);
	m->left = !m->killed && term < start;
	if (m->killed || m->forced)
		return;
	if (line_number(l, "status") || term < start)
		judge_find_line(j, "Fault/own-end", l->text);
	else if (l->t > term + GRACE_US)
		judge_find_line(j, "Fault/grace-over", l->text);
}

/* The target's open runs end with it. */
static void
read_target_end(struct judgement *j, const struct line *l)
{
	struct judged_machine *m = line_machine(j, l);
	struct judged_request *q;
	struct run *r;
	guint i, k;

	for (i = 0; i < j->requests->len; i++) {
		q = g_ptr_array_index(j->requests, i);
		for (k = 0; k < q->runs->len; k++) {
			r = &g_array_index(q->runs, struct run, k);
			if (r->at == m && r->how == RUN_OPEN)
				judge_broke_off(r, l->t);
		}
	}
}

/* A knob that nothing turns back works for a few requests. */
static void
begin_unsound(struct judged_machine *m, const char *what, int64_t t)
{
	struct span s = { what, 0, t, t + TOUCH_US };

	g_array_append_val(m->unsound, s);
}

/* A knob that is turned back ends all that it was set for. */
static void
end_unsound(struct judged_machine *m, const char *what, int64_t t)
{
	struct span *s;
	guint i;

	for (i = 0; i < m->unsound->len; i++) {
		s = &g_array_index(m->unsound, struct span, i);
		if (g_strcmp0(s->what, what) != 0)
			continue;
		s->to = t;
		s->what = NULL;
	}
}

static void
read_target_set(struct judgement *j, const struct line *l)
{
	struct judged_machine *m = line_machine(j, l);
	char what[FIELD_BYTES];

	line_field(l, "what", what);
	if (!strcmp(what, "calm") && line_field(l, "of", what))
		end_unsound(m, what, l->t);
	else if (strcmp(what, "slow") != 0)
		begin_unsound(m, judge_keep(j, what), l->t);
}

static void
read_other(struct judgement *j, const struct line *l)
{
	line_machine(j, l);
}

/* "SERVICE" or "SERVICE:WEIGHT,SERVICE:WEIGHT". */
static GArray *
read_parts(struct judgement *j, const char *text)
{
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(struct part));
	char **word = g_strsplit(text, ",", -1), *weight;
	struct part p;
	int i;

	for (i = 0; word[i]; i++) {
		weight = strchr(word[i], ':');
		if (weight)
			*weight++ = '\0';
		p.service = judge_keep(j, word[i]);
		p.weight = weight ? (int)strtol(weight, NULL, 10) : 1;
		g_array_append_val(parts, p);
	}
	g_strfreev(word);
	return parts;
}

static void
free_parts(void *p)
{
	g_array_free(p, TRUE);
}

static void
read_routes(struct judgement *j, struct version *v, const struct line *l)
{
	char **word = g_strsplit(l->text, " ", -1), *value;
	int i;

	for (i = 0; word[i]; i++) {
		value = strchr(word[i], '=');
		if (!value || !g_str_has_prefix(word[i], "to_"))
			continue;
		*value = '\0';
		g_hash_table_insert(v->routes,
		    g_strdup(word[i] + strlen("to_")),
		    read_parts(j, value + 1));
	}
	g_strfreev(word);
}

static void
read_limits(struct version *v, const struct line *l)
{
	char **word = g_strsplit(l->text, " ", -1), *value;
	int i;

	for (i = 0; word[i]; i++) {
		value = strchr(word[i], '=');
		if (!value || !g_str_has_prefix(word[i], "timeout_"))
			continue;
		*value = '\0';
		g_hash_table_insert(v->timeouts,
		    g_strdup(word[i] + strlen("timeout_")),
		    GINT_TO_POINTER((int)strtol(value + 1, NULL, 10)));
	}
	g_strfreev(word);
}

static void
read_config_sent(struct judgement *j, const struct line *l)
{
	struct version v = { (int)line_number(l, "version"), l->t, NEVER, NULL,
		NULL };

	v.timeouts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v.routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_parts);
	read_limits(&v, l);
	read_routes(j, &v, l);
	g_array_append_val(j->versions, v);
}

static int
is_mode(const char *mode, const char *const *names)
{
	for (; *names; names++)
		if (g_str_has_prefix(mode, *names))
			return 1;
	return 0;
}

/* The protocol allows the modes in @usual at any time. A store that is restored
 * stays so until its operator has written again. */
static void
read_store(struct judgement *j, const struct line *l)
{
	static const char *const usual[] = { "stale", "pages", NULL };
	static const char *const away[] = { "down", "slow", "lose-answer",
		"late-write", NULL };
	static const char *const restored[] = { "restore", "version-back",
		NULL };
	char mode[FIELD_BYTES];

	line_field(l, "mode", mode);
	if (!strcmp(mode, "ok")) {
		end_span(j->store, TROUBLE_LINK, l->t);
		end_span(j->store_away, TROUBLE_LINK, l->t);
	} else if (!is_mode(mode, usual)) {
		begin_span(j->store,
		    is_mode(mode, restored) ? TROUBLE_KILL : TROUBLE_LINK,
		    l->t);
		if (is_mode(mode, away))
			begin_span(j->store_away, TROUBLE_LINK, l->t);
	}
}

static void
read_config_acked(struct judgement *j, const struct line *l)
{
	struct version *v;
	char code[FIELD_BYTES];
	guint i;

	if (line_field(l, "code", code) && *code != '2')
		return;
	end_span(j->store, TROUBLE_KILL, l->t);
	for (i = 0; i < j->versions->len; i++) {
		v = &g_array_index(j->versions, struct version, i);
		if (v->number == line_number(l, "version") && v->acked == NEVER)
			v->acked = l->t;
	}
}

const struct line_kind line_kinds_plan[] = { { "start", read_start },
	{ "term", read_term }, { "hup", read_hup }, { "kill", read_kill },
	{ "stop", read_stop }, { "cont", read_cont }, { "slow", read_slow },
	{ "unslow", read_unslow }, { "link", read_link },
	{ "store-link", read_store_link }, { "service", read_other },
	{ "overrun", read_overrun }, { "memory", read_memory },
	{ "end", read_end }, { "ready", read_other }, { "unready", read_other },
	{ "target-start", read_other }, { "target-drains", read_other },
	{ "target-kill", read_target_end }, { "target-end", read_target_end },
	{ "target-set", read_target_set }, { "fell", read_fell },
	{ "config-sent", read_config_sent },
	{ "config-acked", read_config_acked }, { "store", read_store },
	{ NULL, NULL } };
