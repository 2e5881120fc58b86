#include "platform.h"

/** struct wait - one long poll that has had no news yet */
struct wait {
	struct platform *platform;
	SoupServerMessage *msg;
	uint64_t from;
	guint timer;
};

static void
wait_end(struct wait *w)
{
	struct platform *p = w->platform;

	p->waits = g_list_remove(p->waits, w);
	if (w->timer)
		g_source_remove(w->timer);
	soup_server_message_unpause(w->msg);
	g_object_unref(w->msg);
	g_free(w);
}

static void
wait_answer(struct wait *w)
{
	struct store *s = &w->platform->store;

	/* the counter may have gone back while the watch waited */
	if (!store_known(s, w->from))
		soup_server_message_set_status(w->msg, SOUP_STATUS_GONE, NULL);
	else
		serve_json(w->msg, SOUP_STATUS_OK,
		    store_events(s, w->from,
			w->platform->mode == FAULT_OLD_WATCH));
	wait_end(w);
}

static gboolean
wait_over(void *ctx)
{
	struct wait *w = ctx;

	w->timer = 0;
	wait_answer(w);
	return G_SOURCE_REMOVE;
}

void
watch_start(struct platform *p, SoupServerMessage *msg, uint64_t from,
    unsigned wait_ms)
{
	struct wait *w;

	if (!store_known(&p->store, from)) {
		soup_server_message_set_status(msg, SOUP_STATUS_GONE, NULL);
		return;
	}
	if (p->mode == FAULT_BREAK_WATCH) {
		serve_cut(msg);
		return;
	}
	if (p->mode == FAULT_OLD_WATCH) {
		wait_ms = MIN(wait_ms, REPLAY_DELAY_MS);
	} else if (from < p->store.version) {
		serve_json(msg, SOUP_STATUS_OK,
		    store_events(&p->store, from, 0));
		return;
	}
	w = g_new0(struct wait, 1);
	w->platform = p;
	w->msg = g_object_ref(msg);
	w->from = from;
	w->timer = g_timeout_add(MIN(wait_ms, WAIT_MS_MAX), wait_over, w);
	p->waits = g_list_prepend(p->waits, w);
	soup_server_message_pause(msg);
}

void
watch_wake(struct platform *p)
{
	GList *l, *next;

	for (l = p->waits; l; l = next) {
		next = l->next;
		wait_answer(l->data);
	}
}

void
watch_cut(struct platform *p)
{
	GList *l, *next;
	struct wait *w;

	for (l = p->waits; l; l = next) {
		next = l->next;
		w = l->data;
		serve_cut(w->msg);
		wait_end(w);
	}
}
