#include "daemon/outbound/outbound.h"
#include "log.h"

/* Finds connections on which nothing is received any more. A connection can
 * go silent without a reset, and an instance can lose power; TCP detects that
 * late, or never if only the answers are lost. */

#define CHECK_PERIOD_US 100000 /* between two checks of all peers */
/* Time without a record from a peer with calls in flight until a probe asks it
 * for one. */
#define PROBE_AFTER_US 250000
/* How long the probe has been unanswered: */
#define AVOID_AFTER_US 50000 /* until new calls go to other instances */
#define CHECK_AFTER_US 100000 /* until other members are asked to check it */
#define RESEND_AFTER_US 250000 /* until idempotent calls are sent again */
/* Until the connection is closed: a machine that is slow or starved answers
 * sooner. */
#define CLOSE_AFTER_US 1200000

static void
send_probe(struct out_peer *p, int64_t now)
{
	uint32_t xid = peer_send_probe(p->conn);

	if (!xid)
		return;
	p->probed_at = now;
	g_hash_table_add(p->probes, GUINT_TO_POINTER(xid));
}

static int
only_attempt(const struct out_attempt *a)
{
	const struct out_call *c = a->call;
	int i;

	for (i = 0; i < ATTEMPTS_OPEN_MAX; i++)
		if (&c->attempt[i] != a &&
		    c->attempt[i].state != ATTEMPT_UNUSED)
			return 0;
	return 1;
}

/* Sends the idempotent calls whose only attempt is at this peer to another
 * target as well, if the retry budget allows it. The first attempt stays open,
 * since it may still be answered. */
static void
resend_calls(struct out_peer *p, int64_t now)
{
	GPtrArray *calls = g_ptr_array_new();
	GHashTableIter it;
	struct out_attempt *a;
	struct out_call *c;
	gpointer v;
	guint i;

	g_hash_table_iter_init(&it, p->attempts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		a = v;
		c = a->call;
		if (c->idempotent && !c->winner && !c->resent &&
		    c->state == OUT_TRYING && only_attempt(a)) {
			outbound_attempt_reached(a);
			g_ptr_array_add(calls, c);
		}
	}
	log_event(EVENT_PEER_UNRESPONSIVE, G_LOG_LEVEL_WARNING, now,
	    "instance does not answer incarnation=%016" G_GINT64_MODIFIER
	    "x silent_us=%" G_GINT64_FORMAT " repeated=%u",
	    p->incarnation, now - p->probed_at, calls->len);
	for (i = 0; i < calls->len; i++) {
		c = g_ptr_array_index(calls, i);
		c->resent = 1;
		if (retry_allow_resend(&c->service->retry, &c->retry,
			RETRY_LOST, now) == RETRY_GO &&
		    !outbound_start_paid(c))
			c->data->counters.retries++;
	}
	g_ptr_array_unref(calls);
}

void
outbound_set_suspected(struct data *d, uint64_t incarnation, int suspected,
    int64_t at)
{
	struct out_peer *p = g_hash_table_lookup(d->peers, &incarnation);
	int64_t now = data_now(d);

	if (!p)
		return;
	p->suspected = suspected;
	quota_set_suspected(d->quota, incarnation, suspected, now);
	if (!suspected)
		return;
	log_event(EVENT_PEER_SUSPECTED, G_LOG_LEVEL_INFO, now,
	    "new calls avoid a suspected instance "
	    "incarnation=%016" G_GINT64_MODIFIER "x after_us=%" G_GINT64_FORMAT,
	    incarnation, now - at);
	if (p->service)
		pick_note_unresponsive(p->service->pick, p->handle, now);
}

static void
ask_check(struct out_peer *p, int64_t now)
{
	struct data *d = p->data;

	log_event(EVENT_PEER_SILENT, G_LOG_LEVEL_INFO, now,
	    "instance silent, members check it "
	    "incarnation=%016" G_GINT64_MODIFIER "x silent_us=%" G_GINT64_FORMAT
	    " attempts=%u",
	    p->incarnation, now - peer_last_record_time(p->conn),
	    g_hash_table_size(p->attempts));
	d->events->peer_silent(d->events_ctx, p->incarnation);
}

/* While this daemon stops, or the peer does, no new calls need a connection
 * that works, and the peer may only stand still: requests that it runs can be
 * answered until the end of the stop. */
static int
answers_awaited(const struct out_peer *p, int64_t now)
{
	const struct data *d = p->data;
	int64_t grace_us = (int64_t)(d->settings.grace_s * 1e6);
	int leaves = p->left_at && now < p->left_at + grace_us;

	return (d->leave.end || leaves) && g_hash_table_size(p->attempts);
}

/* Probes a silent peer. While the probe is unanswered, new calls avoid the
 * peer, then the members check it, so that the others avoid it too, then its
 * idempotent calls are sent again, then its connection is closed. Time by which
 * the check comes @late is not counted: this task did not run, and the peer may
 * not have run either. */
static void
check_peer(struct out_peer *p, int64_t now, int64_t late)
{
	if (p->suspected && p->service)
		pick_note_unresponsive(p->service->pick, p->handle, now);
	if (!p->conn || !peer_is_open(p->conn))
		return;
	if (peer_last_record_time(p->conn) >= p->probed_at)
		p->probed_at = p->calls_resent = p->check_asked = 0;
	if (!p->probed_at) {
		if (g_hash_table_size(p->attempts) &&
		    now - peer_last_record_time(p->conn) > PROBE_AFTER_US)
			send_probe(p, now);
		return;
	}
	p->probed_at += late;
	if (now - p->probed_at > AVOID_AFTER_US && p->service)
		pick_note_unresponsive(p->service->pick, p->handle, now);
	if (now - p->probed_at > CHECK_AFTER_US && !p->check_asked) {
		p->check_asked = 1;
		ask_check(p, now);
	}
	if (now - p->probed_at > CLOSE_AFTER_US && !answers_awaited(p, now)) {
		log_event(EVENT_PEER_TIMEOUT, G_LOG_LEVEL_WARNING, now,
		    "unresponsive connection closed "
		    "incarnation=%016" G_GINT64_MODIFIER
		    "x silent_us=%" G_GINT64_FORMAT " attempts=%u",
		    p->incarnation, now - p->probed_at,
		    g_hash_table_size(p->attempts));
		p->probed_at = p->calls_resent = p->check_asked = 0;
		peer_close(p->conn);
	} else if (now - p->probed_at > RESEND_AFTER_US && !p->calls_resent) {
		p->calls_resent = 1;
		resend_calls(p, now);
	}
}

static void
check_peers(void *ctx, int64_t now)
{
	struct data *d = ctx;
	GList *peers = g_hash_table_get_values(d->peers), *l;
	int64_t late = MAX(0, now - d->silence_due);

	for (l = peers; l; l = l->next)
		check_peer(l->data, now, late);
	g_list_free(peers);
	d->silence_due = now + CHECK_PERIOD_US;
	io_timer_set(d->task.loop, &d->silence_timer, d->silence_due);
}

void
outbound_allow_silence(struct data *d)
{
	GHashTableIter it;
	struct out_peer *p;
	gpointer v;

	g_hash_table_iter_init(&it, d->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		p = v;
		if (p->conn && peer_is_open(p->conn))
			peer_allow_silence(p->conn);
	}
}

void
outbound_silence_start(struct data *d)
{
	d->silence_timer.fire = check_peers;
	d->silence_timer.ctx = d;
	d->silence_due = io_clock() + CHECK_PERIOD_US;
	io_timer_set(d->task.loop, &d->silence_timer, d->silence_due);
}
