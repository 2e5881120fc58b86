#include "daemon/task.h"

struct posted {
	task_fn *fn;
	void *ctx;
	void *message;
};

void
task_init(struct task *t, const char *name)
{
	t->name = name;
	t->context = g_main_context_new();
	t->main_loop = g_main_loop_new(t->context, FALSE);
	t->loop = io_loop_new(t->context);
	t->thread = NULL;
}

static gpointer
run(gpointer arg)
{
	struct task *t = arg;

	g_main_context_push_thread_default(t->context);
	g_main_loop_run(t->main_loop);
	g_main_context_pop_thread_default(t->context);
	return NULL;
}

void
task_start(struct task *t)
{
	t->thread = g_thread_new(t->name, run, t);
}

static void
quit(void *ctx, void *message)
{
	struct task *t = ctx;

	g_main_loop_quit(t->main_loop);
}

void
task_stop(struct task *t)
{
	if (t->thread) {
		task_post(t, quit, t, NULL);
		g_thread_join(t->thread);
		t->thread = NULL;
	}
	if (t->loop)
		io_loop_stop(t->loop);
}

void
task_clear(struct task *t)
{
	io_loop_free(t->loop);
	g_main_loop_unref(t->main_loop);
	g_main_context_unref(t->context);
}

static gboolean
deliver(gpointer arg)
{
	struct posted *p = arg;

	p->fn(p->ctx, p->message);
	return G_SOURCE_REMOVE;
}

void
task_post(struct task *t, task_fn *fn, void *ctx, void *message)
{
	struct posted *p = g_new(struct posted, 1);
	GSource *s = g_idle_source_new();

	p->fn = fn;
	p->ctx = ctx;
	p->message = message;
	g_source_set_priority(s, G_PRIORITY_DEFAULT);
	g_source_set_callback(s, deliver, p, g_free);
	g_source_attach(s, t->context);
	g_source_unref(s);
}
