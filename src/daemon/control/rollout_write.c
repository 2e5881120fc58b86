#include "daemon/control/rollout.h"

#include <string.h>

/* News of a roll-back are kept for daemons that start while the status can't be
 * written. */
#define NEWS_KEEP_MS 600000
#define RETRY_MIN_US 100000 /* after a write that lost */

void
control_rollout_tell(struct control_rollout *o)
{
	const struct rollout_order *order = &o->object.order;
	struct control *c = o->control;
	struct rollout_news n = { .order = order->id,
		.state = o->status.state };
	struct member_note note = { 0 };

	G_STATIC_ASSERT(ROLLOUT_NEWS_BYTES <= MEMBER_NOTE_BYTES);
	g_strlcpy(n.service, order->service, sizeof n.service);
	g_strlcpy(n.version, order->version, sizeof n.version);
	g_hash_table_add(c->rollouts->rolled_back,
	    g_memdup2(&order->id, sizeof order->id));
	note.id = order->id;
	note.keep_ms = NEWS_KEEP_MS;
	note.len =
	    (uint32_t)rollout_news_encode(&n, note.data, sizeof note.data);
	member_tell(c->members, &note, control_now(c));
	control_schedule_member_tick(c);
}

/* Takes the object that an answer of the store holds, which the watch brings
 * only later. */
static void
take_answer(struct control_rollout *o, struct platform_result *r)
{
	struct config_object x = { .kind = CONFIG_ROLLOUT,
		.version = r->version };
	struct config_batch b = { .source = CONFIG_SOURCE_PLATFORM,
		.nobject = 1,
		.object = &x };

	if (!r->version || !r->value || !r->value[0])
		return;
	g_strlcpy(x.name, o->name, sizeof x.name);
	x.value = g_bytes_new(r->value, strlen(r->value));
	control_apply_batch(o->control, &b);
	g_bytes_unref(x.value);
}

static void
read_done(void *ctx, struct platform_result *r)
{
	struct control_rollout *o = ctx;
	struct control *c = o->control;

	control_note_platform_result(c, r);
	if (r->status == PLATFORM_OK)
		take_answer(o, r);
	o->writing = 0;
	o->write_after = control_now(c) + RETRY_MIN_US;
}

static void
log_lost(const struct control_rollout *o, const struct platform_result *r)
{
	log_event(EVENT_ROLLOUT_WRITE_LOST, G_LOG_LEVEL_INFO,
	    control_now(o->control),
	    "status of a roll-out not written order=%016" G_GINT64_MODIFIER
	    "x state=%s share=%.3f result=%s error=\"%s\"",
	    o->object.order.id, rollout_state_name(o->wanted.state),
	    o->wanted.share, platform_status_name(r->status), r->error.text);
}

/* The condition of a write that took effect although its answer was lost fails
 * when it is repeated. So the object is read then, as it is after the write of
 * another daemon. */
static void
write_done(void *ctx, struct platform_result *r)
{
	struct control_rollout *o = ctx;
	struct control *c = o->control;

	control_note_platform_result(c, r);
	if (r->status == PLATFORM_CONFLICT) {
		log_lost(o, r);
		platform_get(c->platform, CONFIG_ROLLOUT, o->name, read_done,
		    o);
		return;
	}
	o->writing = 0;
	if (r->status != PLATFORM_OK) {
		log_lost(o, r);
		o->write_after = control_now(c) + control_platform_backoff(c);
		return;
	}
	o->write_after = control_now(c) + RETRY_MIN_US;
	log_event(EVENT_ROLLOUT_STATUS, G_LOG_LEVEL_INFO, control_now(c),
	    "status of a roll-out written order=%016" G_GINT64_MODIFIER
	    "x service=%s version=%s state=%s share=%.3f",
	    o->object.order.id, o->object.order.service,
	    o->object.order.version, rollout_state_name(o->wanted.state),
	    o->wanted.share);
	take_answer(o, r);
}

int
control_rollout_write(struct control_rollout *o, const struct rollout_status *s)
{
	struct control *c = o->control;
	struct rollout_object object = o->object;

	if (o->writing || !c->platform || control_now(c) < o->write_after)
		return 0;
	o->writing = 1;
	o->wanted = *s;
	g_strlcpy(object.state, rollout_state_name(s->state),
	    sizeof object.state);
	object.share = s->share;
	object.started_ms = s->started_ms;
	platform_put_status(c->platform, o->name, &object, o->version,
	    write_done, o);
	return 1;
}
