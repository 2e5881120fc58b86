#include <stdlib.h>
#include <string.h>

#include "judge_line.h"

void
judge_broke_off(struct run *r, int64_t t)
{
	r->how = RUN_BROKE;
	r->to = t;
}

static struct judged_request *
add_request(struct judgement *j, const char *id, struct judged_request *older)
{
	struct judged_request *q = g_new0(struct judged_request, 1);

	q->older = older;
	q->first = older ? older->first : q;
	q->id = judge_keep(j, id);
	q->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	q->lines = g_ptr_array_new();
	g_ptr_array_add(j->requests, q);
	g_hash_table_insert(j->request_of, (char *)q->id, q);
	return q;
}

/* The newest request with the id in a field; NULL if the line has none. */
static struct judged_request *
request_of(struct judgement *j, const struct line *l, const char *name)
{
	char id[FIELD_BYTES];
	struct judged_request *q;

	if (!line_field(l, name, id) || !strcmp(id, "-"))
		return NULL;
	q = g_hash_table_lookup(j->request_of, id);
	return q ? q : add_request(j, id, NULL);
}

static void
keep_line(struct judged_request *q, const struct line *l)
{
	g_ptr_array_add(q->lines, (char *)l->text);
}

/* Requests sent at once are whole as the first of them begins. */
static void
note_at_once(struct judgement *j, struct judged_request *q)
{
	struct judged_request *before =
	    g_hash_table_lookup(j->last_on, q->conn);

	if (q->behind && before)
		before->sent = before->began;
	if (q->behind)
		q->sent = q->began;
	g_hash_table_insert(j->last_on, (char *)q->conn, q);
}

static void
read_call(struct judgement *j, const struct line *l)
{
	struct judged_request *q = request_of(j, l, "id");
	char value[FIELD_BYTES], conn[2 * FIELD_BYTES];

	if (!q)
		return;
	if (q->sent)
		q = add_request(j, q->id, q);
	keep_line(q, l);
	q->who = judge_keep(j, l->who);
	line_field(l, "to", value);
	q->to = judge_machine(j, value);
	line_field(l, "conn", value);
	g_snprintf(conn, sizeof conn, "%s/%s", l->who, value);
	q->conn = judge_keep(j, conn);
	if (line_field(l, "route", value))
		q->route = judge_keep(j, value);
	if (line_field(l, "kind", value))
		q->is_probe = !strcmp(value, "probe");
	if (line_field(l, "parent", value))
		q->parent = judge_keep(j, value);
	q->behind = (int)line_number(l, "behind");
	q->once = (int)line_number(l, "once");
	q->began = line_number(l, "start");
	q->sent = l->t;
	q->allowed = line_number(l, "limit_ms") * MS;
	q->work = line_number(l, "work_ms") * MS;
	note_at_once(j, q);
}

static enum outcome_seen
outcome(const char *name)
{
	static const char *const names[] = { "", "whole", "cut", "bad",
		"behind", "late", "unsent" };
	guint i;

	for (i = 1; i < G_N_ELEMENTS(names); i++)
		if (!strcmp(name, names[i]))
			return (enum outcome_seen)i;
	return SEEN_NOTHING;
}

static void
read_answer(struct judgement *j, const struct line *l)
{
	struct judged_request *q = request_of(j, l, "id");
	char value[FIELD_BYTES];

	while (q && q->who && (strcmp(q->who, l->who) || q->outcome))
		q = q->older;
	if (!q)
		return;
	keep_line(q, l);
	line_field(l, "outcome", value);
	q->outcome = outcome(value);
	q->status = (int)line_number(l, "status");
	q->is_signed = (int)line_number(l, "signed");
	q->over = l->t;
}

/* The request that a target has: the newest one that isn't over. */
static struct judged_request *
read_passed(struct judgement *j, const struct line *l)
{
	struct judged_request *newest = request_of(j, l, "key"), *q = newest;

	while (q && q->outcome != SEEN_NOTHING)
		q = q->older;
	q = q ? q : newest;
	if (q && !q->passed)
		q->passed = l->t;
	if (q)
		keep_line(q, l);
	return q;
}

static void
read_shed(struct judgement *j, const struct line *l)
{
	read_passed(j, l);
}

static void
read_run(struct judgement *j, const struct line *l)
{
	struct judged_request *q = read_passed(j, l);
	struct run r = { line_beside(j, l), line_number(l, "conn"), l->t, NEVER,
		RUN_OPEN, NULL };
	char service[FIELD_BYTES];

	if (line_field(l, "service", service))
		r.service = judge_keep(j, service);
	if (q)
		g_array_append_val(q->runs, r);
}

/* The last run of a request on a target's connection that isn't cut. */
static struct run *
find_run(struct judged_request *q, const struct judged_machine *m, int64_t conn)
{
	struct run *r;
	guint i;

	for (i = q->runs->len; i-- > 0;) {
		r = &g_array_index(q->runs, struct run, i);
		if (r->at == m && r->conn == conn && r->how != RUN_CUT)
			return r;
	}
	return NULL;
}

/* The same among all requests with the id of a line, which is kept with its
 * request; NULL if there is none. */
static struct run *
run_of(struct judgement *j, const struct line *l)
{
	struct judged_request *q = request_of(j, l, "key");
	const struct judged_machine *m = line_beside(j, l);
	int64_t conn = line_number(l, "conn");
	struct run *r = NULL;

	for (; q && !r; q = r ? q : q->older)
		r = find_run(q, m, conn);
	if (r)
		keep_line(q, l);
	return r;
}

static void
read_done(struct judgement *j, const struct line *l)
{
	struct run *r = run_of(j, l);

	if (!r)
		return;
	r->how = RUN_DONE;
	r->to = l->t;
	request_of(j, l, "key")->first->answers_whole++;
}

/* The target saw the end of the connection, or ended it by itself. */
static void
read_cut(struct judgement *j, const struct line *l)
{
	struct run *r = run_of(j, l);

	if (!r || r->how == RUN_BROKE)
		return;
	r->how = RUN_CUT;
	r->to = l->t;
	if (r->at->fell && l->t - r->at->fell <= ORDER_US)
		judge_broke_off(r, l->t);
}

static void
read_broke(struct judgement *j, const struct line *l)
{
	struct run *r = run_of(j, l);

	if (r)
		judge_broke_off(r, l->t);
}

const struct line_kind line_kinds_requests[] = { { "call", read_call },
	{ "answer", read_answer }, { "run", read_run }, { "done", read_done },
	{ "cut", read_cut }, { "broke", read_broke }, { "shed", read_shed },
	{ NULL, NULL } };
