#include "daemon/control/rollout.h"

#include <string.h>

#define STEP_US 100000 /* between two steps of the decider */

int
rollout_is_final(enum rollout_state s)
{
	return s == ROLLOUT_COMPLETED || s == ROLLOUT_ROLLED_BACK;
}

static void
rollout_entry_free(gpointer p)
{
	struct control_rollout *o = p;

	rollout_free(o->core);
	g_free(o);
}

void
control_rollouts_new(struct control *c)
{
	struct control_rollouts *r;

	if (c->settings.rollout_share <= 0)
		return;
	r = g_new0(struct control_rollouts, 1);
	r->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
	    rollout_entry_free);
	r->rolled_back =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	c->rollouts = r;
}

void
control_rollouts_free(struct control *c)
{
	struct control_rollouts *r = c->rollouts;

	if (!r)
		return;
	io_timer_clear(c->task.loop, &r->timer);
	g_hash_table_unref(r->by_name);
	g_hash_table_unref(r->rolled_back);
	g_free(r);
	c->rollouts = NULL;
}

int
control_rollout_set(struct control_rollout *o, const struct rollout_status *s)
{
	struct control *c = o->control;

	if (o->status.state == s->state && o->status.share == s->share &&
	    o->status.started_ms == s->started_ms)
		return 0;
	o->status = *s;
	c->view_dirty = 1;
	log_event(EVENT_ROLLOUT_SHARE, G_LOG_LEVEL_INFO, control_now(c),
	    "roll-out order=%016" G_GINT64_MODIFIER
	    "x service=%s version=%s state=%s share=%.3f",
	    o->object.order.id, o->object.order.service,
	    o->object.order.version, rollout_state_name(s->state), s->share);
	return 1;
}

/* Starts with another order: nothing is known of it but its object. */
static void
begin_order(struct control_rollout *o)
{
	struct control *c = o->control;

	rollout_free(o->core);
	o->core = NULL;
	memset(&o->status, 0, sizeof o->status);
	memset(&o->verdict, 0, sizeof o->verdict);
	memset(&o->logged, 0, sizeof o->logged);
	memset(&o->totals, 0, sizeof o->totals);
	o->stored_final = 0;
	o->write_after = 0;
	o->seen_at = control_now(c);
	c->view_dirty = 1;
	log_event(EVENT_ROLLOUT_ORDERED, G_LOG_LEVEL_MESSAGE, control_now(c),
	    "roll-out ordered order=%016" G_GINT64_MODIFIER
	    "x service=%s version=%s duration_ms=%" G_GINT64_FORMAT,
	    o->object.order.id, o->object.order.service,
	    o->object.order.version, o->object.order.duration_us / 1000);
}

struct rollout_status
control_rollout_stored(const struct control_rollout *o)
{
	const struct rollout_object *r = &o->object;
	struct rollout_status s = { rollout_state_of(r->state, r->share),
		r->share, r->started_ms };

	if (s.state == ROLLOUT_COMPLETED)
		s.share = 1;
	else if (s.state == ROLLOUT_ROLLED_BACK || s.state == ROLLOUT_NONE)
		s.share = 0;
	return s;
}

/* Takes over the status of the object. A final one that is known stays: a store
 * that came back from an older copy shows an earlier one. Of a roll-back by a
 * note and a final status of the store, the latter counts. */
static void
take_status(struct control_rollout *o)
{
	struct rollout_status s = control_rollout_stored(o);

	if (o->stored_final ||
	    (rollout_is_final(o->status.state) && !rollout_is_final(s.state)))
		return;
	o->stored_final = rollout_is_final(s.state);
	control_rollout_set(o, &s);
}

static void
apply_known_roll_back(struct control_rollout *o)
{
	struct rollout_status s = { ROLLOUT_ROLLED_BACK, 0,
		o->status.started_ms };

	if (!o->stored_final &&
	    g_hash_table_contains(o->control->rollouts->rolled_back,
		&o->object.order.id))
		control_rollout_set(o, &s);
}

static void
take_object(struct control *c, const struct config_object *x)
{
	struct control_rollout *o =
	    g_hash_table_lookup(c->rollouts->by_name, x->name);
	struct rollout_object got;
	struct kq_error e = { 0 };
	const char *text;
	gsize n;

	if (!o) {
		o = g_new0(struct control_rollout, 1);
		o->control = c;
		g_strlcpy(o->name, x->name, sizeof o->name);
		g_hash_table_insert(c->rollouts->by_name, o->name, o);
	}
	o->listed = 1;
	if (o->version == x->version)
		return;
	o->version = x->version;
	text = g_bytes_get_data(x->value, &n);
	if (rollout_object_read(&got, x->version, text, n, &e)) {
		control_log_bad_object(c, x, 0, &e);
		return;
	}
	if (got.order.id != o->object.order.id) {
		o->object = got;
		begin_order(o);
	}
	o->object = got;
	take_status(o);
	apply_known_roll_back(o);
}

static gboolean
is_unlisted(gpointer key, gpointer value, gpointer ctx)
{
	const struct control_rollout *o = value;

	return !o->listed && !o->writing;
}

static void
take_objects(struct control *c, const struct config_snapshot *s)
{
	GHashTableIter it;
	gpointer v;
	int i;

	g_hash_table_iter_init(&it, c->rollouts->by_name);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct control_rollout *)v)->listed = 0;
	for (i = 0; i < s->nobject; i++)
		if (s->object[i].kind == CONFIG_ROLLOUT)
			take_object(c, &s->object[i]);
	g_hash_table_foreach_remove(c->rollouts->by_name, is_unlisted, NULL);
}

static void
step_due(void *ctx, int64_t now)
{
	struct control *c = ctx;

	control_rollouts_step(c, now);
	if (g_hash_table_size(c->rollouts->by_name))
		io_timer_set(c->task.loop, &c->rollouts->timer, now + STEP_US);
	if (c->view_dirty)
		control_publish_view(c);
}

void
control_rollouts_take(struct control *c, const struct config_snapshot *s,
    struct view *v)
{
	struct control_rollouts *r = c->rollouts;
	struct view_rollout *x;
	GHashTableIter it;
	gpointer p;

	if (!r)
		return;
	take_objects(c, s);
	v->rollout =
	    g_new0(struct view_rollout, g_hash_table_size(r->by_name) + 1);
	g_hash_table_iter_init(&it, r->by_name);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct control_rollout *o = p;

		if (!o->object.order.id)
			continue;
		o->decider =
		    control_rollout_decider(c, o->object.order.service);
		x = &v->rollout[v->nrollout++];
		x->order = o->object.order;
		x->status = o->status;
		x->decider = o->decider;
	}
	if (v->nrollout && !r->timer.pos) {
		r->timer.fire = step_due;
		r->timer.ctx = c;
		io_timer_set(c->task.loop, &r->timer, control_now(c));
	}
}

static struct control_rollout *
find_order(struct control *c, uint64_t id)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->rollouts->by_name);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct control_rollout *o = v;

		if (o->object.order.id == id)
			return o;
	}
	return NULL;
}

void
control_rollout_report(void *ctx, void *message)
{
	struct rollout_report *m = message;
	struct control *c = ctx;
	struct control_rollout *o =
	    c->rollouts ? find_order(c, m->order) : NULL;

	if (o && o->core)
		rollout_note_report(o->core, m, control_now(c));
	g_free(m);
}

void
control_rollout_news(struct control *c, const struct rollout_news *n)
{
	struct control_rollout *o;

	if (!c->rollouts || n->state != ROLLOUT_ROLLED_BACK)
		return;
	log_event(EVENT_ROLLOUT_NOTE, G_LOG_LEVEL_MESSAGE, control_now(c),
	    "roll-out is rolled back, as another daemon tells"
	    " order=%016" G_GINT64_MODIFIER "x service=%s version=%s",
	    n->order, n->service, n->version);
	g_hash_table_add(c->rollouts->rolled_back,
	    g_memdup2(&n->order, sizeof n->order));
	o = find_order(c, n->order);
	if (o)
		apply_known_roll_back(o);
	if (c->view_dirty)
		control_schedule_member_tick(c);
}

void
control_rollout_forget(struct control *c, uint64_t incarnation)
{
	GHashTableIter it;
	gpointer v;

	if (!c->rollouts)
		return;
	g_hash_table_iter_init(&it, c->rollouts->by_name);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct control_rollout *o = v;

		if (o->core)
			rollout_forget(o->core, incarnation);
	}
}
