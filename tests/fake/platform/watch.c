#include "platform.h"

/** struct pending_watch - a watch (long poll) that has not been answered */
struct pending_watch {
	struct platform *platform;
	SoupServerMessage *msg;
	uint64_t from; /* events after this version are awaited */
	guint timer; /* end of the watch, 0 when it has fired */
};

static void
watch_finish(struct pending_watch *w)
{
	struct platform *p = w->platform;

	p->pending = g_list_remove(p->pending, w);
	if (w->timer)
		g_source_remove(w->timer);
	soup_server_message_unpause(w->msg);
	g_object_unref(w->msg);
	g_free(w);
}

static void
watch_answer(struct pending_watch *w)
{
	struct store *s = &w->platform->store;

	/* the store may have been rolled back since the watch started */
	if (!store_covers(s, w->from))
		soup_server_message_set_status(w->msg, SOUP_STATUS_GONE, NULL);
	else
		serve_json(w->msg, SOUP_STATUS_OK,
		    store_events(s, w->from,
			w->platform->mode == FAULT_OLD_WATCH));
	watch_finish(w);
}

static gboolean
watch_timeout(void *ctx)
{
	struct pending_watch *w = ctx;

	w->timer = 0;
	watch_answer(w);
	return G_SOURCE_REMOVE;
}

void
watch_start(struct platform *p, SoupServerMessage *msg, uint64_t from,
    unsigned wait_ms)
{
	struct pending_watch *w;

	if (!store_covers(&p->store, from)) {
		soup_server_message_set_status(msg, SOUP_STATUS_GONE, NULL);
		return;
	}
	if (p->mode == FAULT_BREAK_WATCH) {
		serve_abort(msg);
		return;
	}
	if (p->mode == FAULT_OLD_WATCH) {
		wait_ms = MIN(wait_ms, REPLAY_DELAY_MS);
	} else if (from < p->store.version) {
		serve_json(msg, SOUP_STATUS_OK,
		    store_events(&p->store, from, 0));
		return;
	}
	w = g_new0(struct pending_watch, 1);
	w->platform = p;
	w->msg = g_object_ref(msg);
	w->from = from;
	w->timer = g_timeout_add(MIN(wait_ms, WAIT_MS_MAX), watch_timeout, w);
	p->pending = g_list_prepend(p->pending, w);
	soup_server_message_pause(msg);
}

void
watch_answer_all(struct platform *p)
{
	GList *l, *next;

	for (l = p->pending; l; l = next) {
		next = l->next;
		watch_answer(l->data);
	}
}

void
watch_abort_all(struct platform *p)
{
	GList *l, *next;
	struct pending_watch *w;

	for (l = p->pending; l; l = next) {
		next = l->next;
		w = l->data;
		serve_abort(w->msg);
		watch_finish(w);
	}
}
