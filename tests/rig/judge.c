#include "judge_impl.h"
#include "rig.h"

static void
free_request(void *p)
{
	struct judged_request *q = p;

	g_array_free(q->runs, TRUE);
	g_ptr_array_free(q->lines, TRUE);
	g_free(q);
}

static void
free_machine(void *p)
{
	struct judged_machine *m = p;

	g_array_free(m->start, TRUE);
	g_array_free(m->begun, TRUE);
	g_array_free(m->term, TRUE);
	g_array_free(m->hup, TRUE);
	g_array_free(m->end, TRUE);
	g_array_free(m->spans, TRUE);
	g_array_free(m->unsound, TRUE);
	g_array_free(m->parted, TRUE);
	g_ptr_array_free(m->lines, TRUE);
	g_free(m);
}

static void
prepare(struct judgement *j)
{
	j->names = g_string_chunk_new(4096);
	j->texts = g_ptr_array_new_with_free_func(g_free);
	j->requests = g_ptr_array_new_with_free_func(free_request);
	j->machines = g_ptr_array_new_with_free_func(free_machine);
	j->request_of = g_hash_table_new(g_str_hash, g_str_equal);
	j->last_on = g_hash_table_new(g_str_hash, g_str_equal);
	j->machine_of = g_hash_table_new(g_str_hash, g_str_equal);
	j->versions = g_array_new(FALSE, TRUE, sizeof(struct version));
	j->store = g_array_new(FALSE, TRUE, sizeof(struct span));
	j->store_away = g_array_new(FALSE, TRUE, sizeof(struct span));
	j->findings = g_array_new(FALSE, TRUE, sizeof(struct finding));
	j->excused = g_hash_table_new(g_str_hash, g_str_equal);
	j->kept = g_ptr_array_new();
	j->candidates = g_ptr_array_new();
}

static void
release(struct judgement *j)
{
	struct version *v;
	guint i;

	for (i = 0; i < j->versions->len; i++) {
		v = &g_array_index(j->versions, struct version, i);
		g_hash_table_destroy(v->timeouts);
		g_hash_table_destroy(v->routes);
	}
	g_array_free(j->store_away, TRUE);
	g_array_free(j->store, TRUE);
	g_ptr_array_free(j->candidates, TRUE);
	g_ptr_array_free(j->kept, TRUE);
	g_hash_table_destroy(j->excused);
	g_array_free(j->findings, TRUE);
	g_array_free(j->versions, TRUE);
	g_hash_table_destroy(j->machine_of);
	g_hash_table_destroy(j->last_on);
	g_hash_table_destroy(j->request_of);
	g_ptr_array_free(j->machines, TRUE);
	g_ptr_array_free(j->requests, TRUE);
	g_ptr_array_free(j->texts, TRUE);
	g_string_chunk_free(j->names);
}

int
judge(char **files, int n)
{
	struct judgement j = { 0 };
	struct judged_request *q;
	guint i;
	int broken;

	prepare(&j);
	broken = judge_read(&j, files, n);
	for (i = 0; i < j.requests->len; i++) {
		q = g_ptr_array_index(j.requests, i);
		judge_other(&j, q);
		if (q->sent)
			judge_lost(&j, q);
	}
	judge_lost_counts(&j);
	judge_other_counts(&j);
	if (judge_has_routes(&j)) {
		judge_config(&j);
		judge_denied(&j);
		judge_share(&j);
		judge_added(&j);
	}
	broken |= judge_print(&j);
	release(&j);
	return broken;
}
