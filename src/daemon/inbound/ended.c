#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/inbound/inbound.h"
#include "log.h"

/* Finds out whether the target ended when it broke off the answers of requests,
 * and tells the other daemons then which requests these were. A connection
 * alone can break without that, so a new one is opened: it is refused while the
 * target is not there. A target that is there again already shows by its next
 * report, which names another start. */

/* the target's last connection closes meanwhile */
#define CHECK_DELAY_US 10000
#define CHECK_TIMEOUT_US 1000000
#define LOST_KEEP_US 5000000 /* a later end of the target is another matter */
#define LOST_MAX 256 /* requests */

static struct lost_run *
lost_run(const struct data *d, guint i)
{
	return &g_array_index(d->lost_runs, struct lost_run, i);
}

static void
remove_old(struct data *d)
{
	int64_t now = data_now(d);

	while (d->lost_runs->len &&
	       (now - lost_run(d, 0)->lost_at > LOST_KEEP_US ||
		   d->lost_runs->len >= LOST_MAX))
		g_array_remove_index(d->lost_runs, 0);
}

static int
by_start(gconstpointer a, gconstpointer b)
{
	const struct lost_run *x = a, *y = b;

	return x->started > y->started ? -1 : x->started < y->started;
}

static int
has_request(const struct crash_news *n, uint64_t digest)
{
	int i;

	for (i = 0; i < n->n; i++)
		if (n->request[i] == digest)
			return 1;
	return 0;
}

void
inbound_target_ended(struct data *d)
{
	struct crash_news n = { .kind = CRASH_ENDED };
	const struct lost_run *r;
	guint i;

	remove_old(d);
	if (!d->lost_runs->len)
		return;
	d->counters.target_ends++;
	n.start = data_text_digest(d->target.start_id);
	/* The last one that began is the likeliest cause. */
	g_array_sort(d->lost_runs, by_start);
	for (i = 0; i < d->lost_runs->len && n.n < CRASH_GROUP_MAX; i++) {
		r = lost_run(d, i);
		if (has_request(&n, r->digest))
			continue;
		n.request[n.n++] = r->digest;
		log_request_event(EVENT_TARGET_ENDED, G_LOG_LEVEL_INFO,
		    data_now(d), r->id, NULL,
		    "the target ended while it ran a request request=%s"
		    " digest=%016" G_GINT64_MODIFIER
		    "x target=%s run_us=%" G_GINT64_FORMAT " runs=%u",
		    r->id, r->digest, d->target.id, r->lost_at - r->started,
		    d->lost_runs->len);
	}
	g_array_set_size(d->lost_runs, 0);
	data_tell_crash_news(d, &n);
}

static void
end_check(struct data *d)
{
	io_watch_remove(d->task.loop, &d->end_watch);
	io_timer_clear(d->task.loop, &d->end_timer);
	close(d->end_fd);
	d->end_fd = -1;
}

static void
check_ready(void *ctx, int ready)
{
	struct data *d = ctx;
	socklen_t n = sizeof(int);
	int e = 0;

	if (getsockopt(d->end_fd, SOL_SOCKET, SO_ERROR, &e, &n) < 0)
		e = errno;
	end_check(d);
	if (e == ECONNREFUSED)
		inbound_target_ended(d);
}

static void
check_timeout(void *ctx, int64_t now)
{
	end_check(ctx);
}

static void
check_due(void *ctx, int64_t now)
{
	struct data *d = ctx;

	d->end_fd = io_connect_tcp(d->target.ip, d->target.port);
	if (d->end_fd < 0) {
		if (errno == ECONNREFUSED)
			inbound_target_ended(d);
		return;
	}
	if (io_watch_add(d->task.loop, &d->end_watch, d->end_fd, IO_WRITE,
		check_ready, d) < 0) {
		log_event(EVENT_TARGET_NO_ANSWER, G_LOG_LEVEL_WARNING, now,
		    "can't check whether the target ended error=\"%s\"",
		    g_strerror(errno));
		close(d->end_fd);
		d->end_fd = -1;
		return;
	}
	d->end_timer.fire = check_timeout;
	io_timer_set(d->task.loop, &d->end_timer, now + CHECK_TIMEOUT_US);
}

void
inbound_note_lost(struct in_call *c)
{
	struct data *d = c->data;
	struct lost_run r = { c->digest, c->target_started, data_now(d), "" };

	/* A target that leaves as planned may cut what it still runs. */
	if (d->target_draining)
		return;
	remove_old(d);
	g_strlcpy(r.id, inbound_request_id(c), sizeof r.id);
	g_array_append_val(d->lost_runs, r);
	if (d->end_fd >= 0 || d->end_timer.pos)
		return;
	d->end_timer.fire = check_due;
	d->end_timer.ctx = d;
	io_timer_set(d->task.loop, &d->end_timer, data_now(d) + CHECK_DELAY_US);
}

void
inbound_stop_end_check(struct data *d)
{
	if (d->end_fd >= 0)
		end_check(d);
	io_timer_clear(d->task.loop, &d->end_timer);
}

int
inbound_crashes_targets(const struct in_call *c)
{
	return crash_refused_until(c->data->crashes, c->digest,
		   data_now(c->data)) != 0;
}
