#include <string.h>

#include "daemon/inbound/inbound.h"

/* Until a route's time at the target is known, it is taken to be its objective
 * divided by this. */
#define OBJECTIVE_DIVISOR 3
#define VERSION_WAIT_US 1000000 /* longest wait for a newer configuration */

/* Calls of an accepted connection: xid to struct in_call. */
static GHashTable *
conn_calls(struct peer_conn *conn)
{
	struct in_conn *ic = peer_ctx(conn);

	return ic->calls;
}

/* Returns the record of the usual time of requests of route @i; makes an empty
 * one for a route not seen yet. */
static struct work *
work_of_route(const struct data *d, const struct routing *r, int i)
{
	struct work *w;
	char *key;

	key = g_strconcat(r->route[i].host, r->route[i].prefix, NULL);
	w = g_hash_table_lookup(d->route_work, key);
	if (w) {
		g_free(key);
		return w;
	}
	w = g_new0(struct work, 1);
	g_hash_table_insert(d->route_work, key, w);
	return w;
}

/* Name of a call's organisation, which its outbound side set; NULL for none. */
static const char *
organisation_of(const struct in_call *c)
{
	const char *field = c->data->dialect->organisation_field;
	const struct routing *r = c->data->view->routing;

	return field && r && r->needs_key ? head_copy_find(&c->head, field)
					  : NULL;
}

/* The digest of a route must not be that of ROLLOUT_ROUTE_OTHER, nor the one
 * that stands for all routes. */
static uint32_t
route_digest(const struct route *r)
{
	char *key = g_strconcat(r->host, r->prefix, NULL);
	uint32_t digest = (uint32_t)rollout_digest(key);

	g_free(key);
	return CLAMP(digest, 1, ROLLOUT_ROUTE_ALL - 1);
}

/* Sets rank and expected time of a call from its organisation and its route, if
 * it has one. */
static void
set_route(struct in_call *c)
{
	const struct routing *r = c->data->view->routing;
	const char *host = r ? head_copy_find(&c->head, "Host") : NULL;
	int i = host ? routing_find(r, host, c->head.path) : ROUTE_NONE;
	const char *name = organisation_of(c);

	c->organisation = name ? data_text_digest(name) | 1 : 0;
	c->time = &c->data->target_time;
	if (i == ROUTE_NONE)
		return;
	c->route = route_digest(&r->route[i]);
	c->work = work_of_route(c->data, r, i);
	c->time = &c->work->time;
	c->rank = data_rank(c->data, name, r->route[i].priority);
	c->default_need_us =
	    r->route[i].objective_ms * INT64_C(1000) / OBJECTIVE_DIVISOR;
}

static struct in_call *
call_new(struct data *d, struct peer_conn *conn, uint32_t xid,
    const struct wire_call *m)
{
	struct in_call *c = g_new0(struct in_call, 1);

	c->data = d;
	c->conn = conn;
	c->xid = xid;
	do {
		c->tag = ++d->next_tag;
	} while (!c->tag ||
		 g_hash_table_contains(d->in_calls, GUINT_TO_POINTER(c->tag)));
	head_copy(&c->head, m->method, m->path, m->length, m->field, m->nfield);
	c->idempotent = !!(m->flags & WIRE_CALL_IDEMPOTENT);
	c->repeat = !!(m->flags & WIRE_CALL_REPEAT);
	c->refuse_if_crowded = !!(m->flags & WIRE_CALL_REFUSE_CROWDED);
	c->refuse_if_slow = !!(m->flags & WIRE_CALL_HAS_ALTERNATIVE);
	c->nowhere_else = !!(m->flags & WIRE_CALL_NOWHERE_ELSE);
	c->started = data_now(d);
	c->deadline = c->started + m->left_us;
	c->objective = c->started + m->objective_us;
	c->config_version = m->config_version;
	c->sender_incarnation = peer_incarnation(conn);
	c->retries_left = m->retries_left;
	c->depth = m->depth;
	g_strlcpy(c->id, m->id, sizeof c->id);
	inbound_trace_begin(c, m->trace);
	set_route(c);
	c->body = g_byte_array_new();
	g_byte_array_append(c->body, m->body, m->body_len);
	byte_limit_take(&d->call_bytes, m->body_len);
	c->body_last = !(m->flags & WIRE_CALL_MORE);
	c->digest =
	    data_request_digest(c->data, &c->head, m->body, m->body_len);
	c->answer_credit = wire_window(m->flags);
	g_hash_table_insert(d->in_calls, GUINT_TO_POINTER(c->tag), c);
	g_hash_table_insert(conn_calls(conn), GUINT_TO_POINTER(xid), c);
	d->counters.in_calls++;
	return c;
}

void
inbound_call_free(struct in_call *c)
{
	struct data *d = c->data;

	inbound_log_call(c);
	inbound_trace_call(c);
	io_timer_clear(d->task.loop, &c->timer);
	io_timer_clear(d->task.loop, &c->overrun_timer);
	if (c->conn)
		g_hash_table_remove(conn_calls(c->conn),
		    GUINT_TO_POINTER(c->xid));
	g_hash_table_remove(d->in_calls, GUINT_TO_POINTER(c->tag));
	head_copy_clear(&c->head);
	head_copy_clear(&c->answer);
	byte_limit_give(&d->call_bytes, c->body->len);
	g_byte_array_unref(c->body);
	inbound_drop_answer(c);
	g_free(c);
	data_check_drained(d);
}

/* @outcome is any but WIRE_ANSWER and WIRE_KEPT, which come with an answer of
 * the target. */
void
inbound_reply_outcome(struct in_call *c, uint32_t outcome, uint32_t reason)
{
	struct data *d = c->data;
	struct wire_reply m;

	memset(&m, 0, G_STRUCT_OFFSET(struct wire_reply, field));
	m.clock = data_now(d);
	m.outcome = outcome;
	c->outcome = outcome;
	m.reason = reason;
	c->reason = reason;
	m.config_version = d->view->rules_version;
	m.length = HTTP_LENGTH_NONE;
	m.body_len = 0;
	inbound_fill_load(d, &m.load);
	if (outcome == WIRE_NOT_RUN && reason < WIRE_REASONS)
		d->counters.in_refused[reason]++;
	if (c->conn)
		peer_send_reply(c->conn, c->xid, &m);
	inbound_call_free(c);
}

/* ADMIT_OK stands for a call that finds no usable target. */
static uint32_t
admit_to_wire(enum admit_reason r)
{
	static const uint32_t map[ADMIT_REASONS] = {
		[ADMIT_OK] = WIRE_REASON_NO_TARGET,
		[ADMIT_FULL] = WIRE_REASON_FULL,
		[ADMIT_DEADLINE] = WIRE_REASON_DEADLINE,
		[ADMIT_COLD] = WIRE_REASON_COLD,
		[ADMIT_DRAINING] = WIRE_REASON_DRAINING,
		[ADMIT_OUT] = WIRE_REASON_OUT,
	};

	return map[r];
}

/* The refusal is final: the request does not run later under its id. A
 * refusal for lack of room or time counts in the route's share of refused
 * requests. */
void
inbound_refuse_call(struct in_call *c, uint32_t reason)
{
	if (c->once_entry)
		once_not_run(c->data->once, c->once_entry);
	c->once_entry = 0;
	if (c->work &&
	    (reason == WIRE_REASON_FULL || reason == WIRE_REASON_DEADLINE))
		work_note_admission(c->work, 0);
	inbound_reply_outcome(c, WIRE_NOT_RUN, reason);
}

static void
refuse_not_admitted(struct in_call *c, enum admit_reason r)
{
	inbound_refuse_call(c, admit_to_wire(r));
}

/* Looks up the request id in the at-most-once table. Returns 1 if this call may
 * run; else 0, and the call waits or was replied to. */
static int
claim_run(struct in_call *c)
{
	struct once_request r = { c->id, c->deadline, c };
	const struct once_answer *kept;
	struct data *d = c->data;
	uint64_t handle;

	switch (
	    once_receive_request(d->once, &r, data_now(d), &handle, &kept)) {
	case ONCE_RUN:
		c->once_entry = handle;
		return 1;
	case ONCE_WAIT:
		c->once_waiter = handle;
		c->state = IN_WAITING_ANSWER;
		d->counters.in_repeats++;
		inbound_set_once_timer(d);
		return 0;
	case ONCE_ANSWER:
		d->counters.in_repeats++;
		inbound_reply_kept(c, kept);
		return 0;
	case ONCE_NOT_RUN:
		inbound_reply_outcome(c, WIRE_NOT_RUN, WIRE_REASON_DEADLINE);
		return 0;
	case ONCE_ELSEWHERE:
		inbound_reply_outcome(c, WIRE_OTHER_INCARNATION,
		    WIRE_REASON_FORGOTTEN);
		return 0;
	default:
		inbound_reply_outcome(c, WIRE_UNKNOWN, WIRE_REASON_FORGOTTEN);
		return 0;
	}
}

static int
target_takes_work(const struct data *d, const struct in_call *c)
{
	return d->has_target && !d->target_draining && !d->target_unusable &&
	       d->admit;
}

/* The expected time is that at the usual pace, so it is scaled by the base
 * pace: on a machine that stays slow, work takes longer by that factor. */
static void
fill_want(struct in_call *c, struct admit_want *w)
{
	const struct pace *p = &c->data->pace;

	c->need_us =
	    work_us(c->work, c->default_need_us) * pace_base(p) / PACE_USUAL;
	w->deadline = c->deadline;
	w->need_us = c->need_us;
	w->start_by = MIN(c->objective - w->need_us, c->deadline);
	w->other_target = c->refuse_if_slow;
	w->ignore_hold = pace_worth_starting(p, w->need_us);
	w->rank = c->rank;
	w->organisation = c->organisation;
	w->refused_share = c->work ? c->work->refused_share : 0;
}

void
inbound_admit_call(struct in_call *c)
{
	struct data *d = c->data;
	enum admit_reason reason;
	struct admit_want want;

	if (!c->idempotent && !claim_run(c))
		return;
	if (!inbound_fits(c)) {
		inbound_refuse_leaving(c);
		return;
	}
	if (inbound_crashes_targets(c)) {
		inbound_refuse_call(c, WIRE_REASON_CRASHES);
		return;
	}
	if (inbound_version_refused(d)) {
		inbound_refuse_call(c, WIRE_REASON_VERSION);
		return;
	}
	if (!target_takes_work(d, c)) {
		refuse_not_admitted(c,
		    d->target_draining ? ADMIT_DRAINING : ADMIT_OK);
		return;
	}
	if (c->refuse_if_crowded && admit_crowded(d->admit, data_now(d))) {
		refuse_not_admitted(c, ADMIT_FULL);
		return;
	}
	inbound_judge_pace(d);
	if (c->refuse_if_slow && pace_slow(&d->pace, data_now(d))) {
		inbound_refuse_call(c, WIRE_REASON_SLOW);
		return;
	}
	fill_want(c, &want);
	switch (admit_request_for(d->admit, data_now(d), &want, c->tag, &c->run,
	    &c->queue_handle, &reason)) {
	case ADMIT_RUN:
		inbound_run_call(c);
		return;
	case ADMIT_WAIT:
		c->state = IN_QUEUED;
		inbound_process_queue(d);
		return;
	default:
		refuse_not_admitted(c, reason);
	}
}

/* No newer configuration came in time. */
static void
version_timeout(void *ctx, int64_t now)
{
	struct in_call *c = ctx;

	/* The call was not looked up in the at-most-once table yet: a repeat
	 * may have run before. */
	inbound_reply_outcome(c, c->repeat ? WIRE_UNKNOWN : WIRE_NOT_RUN,
	    WIRE_REASON_BEHIND);
}

/* The version under which a call is picked may be that of a removal. A daemon
 * that starts later never sees the removed object; its own configuration is
 * complete up to there all the same. */
static int
is_behind(const struct data *d, uint64_t version)
{
	return version > d->view->complete_version;
}

/* The outbound side picked this target under a newer configuration than the one
 * held here: asks for it and lets the call wait. */
static void
wait_for_version(struct in_call *c)
{
	struct data *d = c->data;

	c->state = IN_WAITING_VERSION;
	c->timer.fire = version_timeout;
	c->timer.ctx = c;
	io_timer_set(d->task.loop, &c->timer,
	    MIN(c->deadline, c->started + VERSION_WAIT_US));
	d->events->config_behind(d->events_ctx, c->config_version,
	    c->sender_incarnation);
}

void
inbound_receive_call(void *ctx, struct peer_conn *conn, uint32_t xid,
    const struct wire_call *m)
{
	struct data *d = ctx;
	struct in_call *c;

	if (g_hash_table_contains(conn_calls(conn), GUINT_TO_POINTER(xid)))
		return;
	c = call_new(d, conn, xid, m);
	if (m->incarnation != d->incarnation) {
		inbound_reply_outcome(c, WIRE_OTHER_INCARNATION,
		    WIRE_REASON_NO_TARGET);
		return;
	}
	if ((inbound_detect_pause(d) || !d->view->may_act) && !c->repeat) {
		inbound_reply_outcome(c, WIRE_NOT_RUN, WIRE_REASON_PAUSED);
		return;
	}
	if (strcmp(m->service, d->target.service) && !c->repeat) {
		inbound_reply_outcome(c, WIRE_NOT_RUN, WIRE_REASON_NO_TARGET);
		return;
	}
	data_make_room(d);
	if (byte_limit_reached(&d->call_bytes) && !c->repeat) {
		inbound_reply_outcome(c, WIRE_NOT_RUN, WIRE_REASON_FULL);
		return;
	}
	if (is_behind(d, c->config_version))
		wait_for_version(c);
	else
		inbound_admit_call(c);
}

/* Admits the calls that waited for the configuration that is now in force. */
static void
admit_version_waiters(struct data *d)
{
	GHashTableIter it;
	GPtrArray *ready = g_ptr_array_new();
	struct in_call *c;
	gpointer v;
	guint i;

	g_hash_table_iter_init(&it, d->in_calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		c = v;
		if (c->state == IN_WAITING_VERSION &&
		    !is_behind(d, c->config_version))
			g_ptr_array_add(ready, GUINT_TO_POINTER(c->tag));
	}
	for (i = 0; i < ready->len; i++) {
		c = g_hash_table_lookup(d->in_calls,
		    g_ptr_array_index(ready, i));
		if (!c || c->state != IN_WAITING_VERSION)
			continue;
		io_timer_clear(d->task.loop, &c->timer);
		set_route(c);
		inbound_admit_call(c);
	}
	g_ptr_array_unref(ready);
}

void
inbound_take_view(struct data *d)
{
	const struct service *s;

	inbound_end_pause(d);
	if (d->admit) {
		admit_set_out(d->admit,
		    view_datacentre_out(d->view, d->settings.datacentre));
		s = view_service(d->view, d->target.service);
		if (s)
			inbound_set_service(d, s);
		inbound_process_queue(d);
	}
	inbound_update_rollout(d);
	admit_version_waiters(d);
}
