#include <string.h>

#include "daemon/outbound/outbound.h"

/* Classes of candidates of a service with an order. */
enum {
	CLASS_OLD = 1, /* of another version */
	CLASS_NEW = 2, /* of the version of the order */
	CLASS_TRIAL = 4, /* of these, those that get the share */
	CLASS_UNKNOWN = 8 /* whose version is not known yet */
};

#define CHOOSE_US 200000 /* between two choices of the targets on trial */

static void
set_classes(struct out_service *s, struct out_peer *p)
{
	uint32_t classes = PICK_ANY;

	if (s->rollout && !p->version[0])
		classes = CLASS_UNKNOWN;
	else if (s->rollout)
		classes = strcmp(p->version, s->rollout->order.version)
			      ? CLASS_OLD
			      : CLASS_NEW;
	p->classes = classes;
	pick_set_classes(s->pick, p->handle, classes);
}

static void
set_all_classes(struct out_service *s)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->by_handle);
	while (g_hash_table_iter_next(&it, NULL, &v))
		set_classes(s, v);
	if (s->rollout)
		s->rollout->chosen_at = 0;
}

static void
begin_order(struct out_service *s, const struct view_rollout *v)
{
	const struct settings *set = &s->data->settings;
	struct rollout_limits limits = { set->rollout_share,
		set->rollout_slack };

	if (!s->rollout)
		s->rollout = g_new0(struct out_rollout, 1);
	s->rollout->order = v->order;
	rollout_share_init(&s->rollout->count, &v->order, &limits,
	    s->data->incarnation);
}

static void
update_service(struct out_service *s)
{
	const struct view_rollout *v =
	    view_rollout(s->data->view, s->conf.name);

	if (!v && !s->rollout)
		return;
	if (!v)
		g_clear_pointer(&s->rollout, g_free);
	else if (!s->rollout || s->rollout->order.id != v->order.id)
		begin_order(s, v);
	if (v)
		s->rollout->status = v->status;
	set_all_classes(s);
}

void
outbound_update_rollouts(struct data *d)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, d->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		update_service(v);
}

/* Digest of the address of a daemon, which stays the same after a restart. */
static uint64_t
target_digest(const struct out_peer *p)
{
	char text[IP_TEXT_MAX + 8];

	g_snprintf(text, sizeof text, "%s:%d", p->ip, p->port);
	return rollout_digest(text);
}

/* Puts the new targets that are to get the share into their class: the same at
 * each daemon, as far as these know which targets are cold. */
static void
choose_trial(struct out_service *s, int64_t now)
{
	struct out_rollout *r = s->rollout;
	guint n = g_hash_table_size(s->by_handle);
	struct out_peer **peer = g_new(struct out_peer *, n + 1);
	uint64_t *target = g_new(uint64_t, n + 1);
	int *chosen = g_new(int, n + 1);
	int i, k, nnew = 0, nold = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->by_handle);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct out_peer *p = v;

		set_classes(s, p);
		nold += p->classes == CLASS_OLD;
		if (p->classes != CLASS_NEW ||
		    pick_is_cold(s->pick, p->handle, now))
			continue;
		peer[nnew] = p;
		target[nnew++] = target_digest(p);
	}
	k = MIN(rollout_wanted(r->status.share, nold), nnew);
	k = rollout_chosen(target, nnew, k, r->order.id, chosen);
	for (i = 0; i < k; i++) {
		struct out_peer *p = peer[chosen[i]];

		pick_set_classes(s->pick, p->handle, CLASS_NEW | CLASS_TRIAL);
	}
	r->chosen_at = now;
	g_free(peer);
	g_free(target);
	g_free(chosen);
}

static uint32_t
next_of(struct out_call *c, uint32_t classes, int64_t now)
{
	c->tried.classes = classes;
	return tried_next(&c->tried, c->service->pick, now);
}

/* Next target that is not of the new version. One of an unknown version may be,
 * so that it counts only while no old one is known: after a start of the fleet,
 * versions come with the first heartbeats. */
static uint32_t
next_old(struct out_call *c, int64_t now)
{
	uint32_t classes = CLASS_OLD;

	if (!pick_count_of(c->service->pick, CLASS_OLD))
		classes |= CLASS_UNKNOWN;
	c->tried.others |= classes;
	return next_of(c, classes, now);
}

/* While an order runs, this daemon counts its attempts and sends the share in
 * force to the new version. */
static uint32_t
next_by_share(struct out_call *c, int64_t now)
{
	struct out_service *s = c->service;
	struct out_rollout *r = s->rollout;
	uint32_t h;

	c->tried.others =
	    r->status.share >= 1 ? CLASS_NEW : CLASS_OLD | CLASS_TRIAL;
	if (!rollout_take(&r->count, r->status.share))
		return next_old(c, now);
	if (r->status.share >= 1)
		return next_of(c, CLASS_NEW, now);
	if (!r->chosen_at || now - r->chosen_at > CHOOSE_US)
		choose_trial(s, now);
	c->tried.classes = CLASS_TRIAL;
	h = tried_next_now(&c->tried, s->pick, now);
	if (h != PICK_NONE)
		return h;
	rollout_give_back(&r->count);
	return next_old(c, now);
}

/* After a completed roll-out others get requests only where no target of its
 * version is left, such as targets of a later version without an order. */
static uint32_t
next_new(struct out_call *c, int64_t now)
{
	uint32_t h;

	c->tried.others = PICK_ANY;
	c->tried.classes = CLASS_NEW;
	h = tried_next_now(&c->tried, c->service->pick, now);
	return h != PICK_NONE ? h : next_of(c, PICK_ANY, now);
}

uint32_t
outbound_next_target(struct out_call *c, int64_t now)
{
	const struct out_rollout *r = c->service->rollout;

	if (!r) {
		c->tried.others = PICK_ANY;
		return next_of(c, PICK_ANY, now);
	}
	if (r->status.state == ROLLOUT_ROLLED_BACK) {
		c->tried.others = CLASS_OLD;
		return next_old(c, now);
	}
	if (r->status.state == ROLLOUT_COMPLETED)
		return next_new(c, now);
	return next_by_share(c, now);
}
