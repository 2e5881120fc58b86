#include "daemon/data/impl.h"
#include "log.h"

/* Tells the other daemons. */
static void
tell(struct data *d, const struct crash_news *n)
{
	d->events->crash_news(d->events_ctx, n);
}

void
data_apply_crash_news(struct data *d, const struct crash_news *n, int64_t at)
{
	struct crash_news refused;
	int64_t now = data_now(d);
	int i;

	crash_apply(d->crashes, n, at, now, &refused);
	for (i = 0; i < refused.n; i++)
		log_event(EVENT_REQUEST_CRASHES, G_LOG_LEVEL_WARNING, now,
		    "a request is refused, as targets ended while they ran it"
		    " digest=%016" G_GINT64_MODIFIER
		    "x starts=%d for_s=%" G_GINT64_FORMAT,
		    refused.request[i],
		    crash_starts(d->crashes, refused.request[i]),
		    (crash_refused_until(d->crashes, refused.request[i], now) -
			now) /
			G_USEC_PER_SEC);
	if (refused.n)
		tell(d, &refused);
}

void
data_tell_crash_news(struct data *d, const struct crash_news *n)
{
	data_apply_crash_news(d, n, data_now(d));
	tell(d, n);
}

void
data_note_answered(struct data *d, uint64_t digest)
{
	struct crash_news n;

	if (crash_answered(d->crashes, digest, data_now(d), &n))
		tell(d, &n);
}

struct crash_message {
	struct crash_news news;
	int64_t at;
};

static void
handle_news(void *ctx, void *message)
{
	struct crash_message *m = message;

	data_apply_crash_news(ctx, &m->news, m->at);
	g_free(m);
}

void
data_crash_news(struct data *d, const struct crash_news *n, int64_t at)
{
	struct crash_message *m = g_new(struct crash_message, 1);

	m->news = *n;
	m->at = at;
	task_post(&d->task, handle_news, d, m);
}
