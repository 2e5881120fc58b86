#include "daemon/control/rollout.h"

#include <string.h>

/* Data tasks connect only to daemons that have a target, so that reports reach
 * these. */
static int
can_decide(const struct member *m, int handle)
{
	return m && m->state == MEMBER_ALIVE && (m->confirmed || !handle) &&
	       m->info.service[0];
}

uint64_t
control_rollout_decider(const struct control *c, const char *service)
{
	int h, n = 0, first, end = member_handle_end(c->members);
	uint64_t id, *ids = g_new(uint64_t, end + 1);

	for (h = 0; h < end; h++) {
		const struct member *m = member_at(c->members, h);

		if (can_decide(m, h))
			ids[n++] = m->info.id;
	}
	first = rollout_decider(ids, n, rollout_digest(service));
	id = first < 0 ? 0 : ids[first];
	g_free(ids);
	return id;
}

static void
start_core(struct control_rollout *o, int64_t now)
{
	const struct settings *s = &o->control->settings;
	struct rollout_limits limits = { s->rollout_share, s->rollout_slack };
	int64_t elapsed = now - o->seen_at;

	if (o->status.started_ms)
		elapsed = g_get_real_time() - o->status.started_ms * 1000;
	o->core = rollout_new(&o->object.order, &limits, now, MAX(elapsed, 0));
}

/* Only one daemon gathers evidence; a new one gets all totals within a round of
 * reports. */
static void
update_decider(struct control_rollout *o, int64_t now)
{
	struct control *c = o->control;
	uint64_t decider = control_rollout_decider(c, o->object.order.service);
	int mine = decider == c->incarnation && c->may_act && !c->leaving;

	if (decider != o->decider) {
		o->decider = decider;
		c->view_dirty = 1;
	}
	if (mine && !o->core && !rollout_is_final(o->status.state))
		start_core(o, now);
	if (o->core && (!mine || rollout_is_final(o->status.state))) {
		rollout_free(o->core);
		o->core = NULL;
	}
}

static void
log_verdict(struct control_rollout *o, const struct rollout_status *next)
{
	const struct rollout_verdict *v = &o->verdict;
	enum rollout_state state = next->state;

	if (state == o->logged.state && next->share == o->logged.share)
		return;
	o->logged = *next;
	o->reason = v->reason;
	log_event(EVENT_ROLLOUT_VERDICT,
	    state == ROLLOUT_ROLLED_BACK ? G_LOG_LEVEL_WARNING
					 : G_LOG_LEVEL_MESSAGE,
	    control_now(o->control),
	    "roll-out verdict order=%016" G_GINT64_MODIFIER
	    "x service=%s version=%s state=%s share=%.3f reason=%s route=%08x"
	    " answers=%" G_GUINT64_FORMAT " failed=%" G_GUINT64_FORMAT
	    " slow=%" G_GUINT64_FORMAT " old_answers=%" G_GUINT64_FORMAT
	    " old_bad=%" G_GUINT64_FORMAT " score=%.2f threshold=%.2f"
	    " bad_targets=%d old_targets=%d warm_targets=%d",
	    o->object.order.id, o->object.order.service,
	    o->object.order.version, rollout_state_name(state), v->share,
	    rollout_reason_name(v->reason), v->route, v->answers, v->failed,
	    v->slow, v->old_answers, v->old_bad, v->score, v->threshold,
	    v->bad_targets, v->old_targets, v->warm_targets);
}

/* Time of the order, Unix milliseconds: that at which this daemon read it,
 * unless a status names it. */
static int64_t
started_ms(const struct control_rollout *o, int64_t now)
{
	if (o->status.started_ms)
		return o->status.started_ms;
	return (g_get_real_time() - (now - o->seen_at)) / 1000;
}

/* A roll-back takes effect at once. Any other state does when it is written:
 * its status is what the other daemons follow. */
static void
decide(struct control_rollout *o, int64_t now)
{
	struct rollout_status next = o->status;

	if (!o->core)
		return;
	next.state = rollout_step(o->core, &o->status, now, &o->verdict);
	next.share = o->verdict.share;
	rollout_totals(o->core, &o->totals);
	next.started_ms = started_ms(o, now);
	if (next.state == o->status.state && next.share == o->status.share)
		return;
	if (next.state == ROLLOUT_ROLLED_BACK) {
		control_rollout_set(o, &next);
		control_rollout_tell(o);
	}
	/* A share that can't be written changes with each step. */
	if (control_rollout_write(o, &next) || next.state != o->logged.state)
		log_verdict(o, &next);
}

/* The status of the store is to be what is in force, if that is final. */
static void
restore_final(struct control_rollout *o, int64_t now)
{
	struct rollout_status stored = control_rollout_stored(o);
	struct rollout_status s = o->status;

	if (!rollout_is_final(s.state) || rollout_is_final(stored.state) ||
	    o->decider != o->control->incarnation)
		return;
	s.started_ms = started_ms(o, now);
	control_rollout_write(o, &s);
}

/* Whether nothing is left to do for an order. */
static int
is_settled(const struct control_rollout *o)
{
	return !o->core && rollout_is_final(o->status.state) &&
	       rollout_is_final(control_rollout_stored(o).state);
}

void
control_rollouts_step(struct control *c, int64_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->rollouts->by_name);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct control_rollout *o = v;

		if (!o->object.order.id || is_settled(o))
			continue;
		update_decider(o, now);
		if (!o->control->may_act || o->control->leaving)
			continue;
		decide(o, now);
		restore_final(o, now);
	}
}
